#include "sequoiausher/transport/http/serversocket.h"

#include <QTimer>

#include <string>
#include <string_view>
#include <utility>

namespace Sequoiausher::Internal {

namespace {

/** How long a connection whose request was refused is read on, so that its caller can read the refusal. */
constexpr int refusedGraceMs = 2000;
/** A closing connection whose caller takes nothing for so long is cut off. */
constexpr int stalledAfterMs = 30000;

} // namespace

ServerSocket::ServerSocket(std::shared_ptr<ServerState> common, QObject *parent)
    : QTcpSocket(parent)
    , shared(std::move(common))
{
    ++this->shared->openConnections;
    this->beyondLimit = this->shared->openConnections > this->shared->maximumConnections;
    this->own = {
        QObject::connect(this, &QTcpSocket::readyRead, this, [this] { this->countRead(); }),
        QObject::connect(this, &QTcpSocket::disconnected, this, [this] { this->clientGone(); }),
        QObject::connect(this, &QTcpSocket::bytesWritten, this, [this] { this->written(); }),
    };
}

ServerSocket::~ServerSocket()
{
    --this->shared->openConnections;
    this->silence();
}

void ServerSocket::silence()
{
    for (const QMetaObject::Connection &connection : this->own) {
        QObject::disconnect(connection);
    }
}

void ServerSocket::closeGracefully()
{
    if (this->closing) {
        return;
    }
    this->closing = true;
    // Counted from the last progress: a slow caller must get its answer whole, also during a graceful stop.
    auto *stalled = new QTimer(this);
    QObject::connect(stalled, &QTimer::timeout, this, [this] { this->abort(); });
    QObject::connect(this, &QTcpSocket::bytesWritten, stalled, [stalled] { stalled->start(stalledAfterMs); });
    stalled->start(stalledAfterMs);
    this->disconnectFromHost();
}

void ServerSocket::countRead()
{
    if (this->closing) {
        this->readAll();
        return;
    }
    if (this->receivedBytes == 0) {
        this->since = Millis::monotonicNow();
    }
    this->receivedBytes += static_cast<std::size_t>(this->bytesAvailable());
    // QHttpServer buffers a request of any length. A caller that sends without end would fill the memory of the
    // instance; one would notice by its resident size.
    if (this->receivedBytes > this->shared->maximumRequestBytes) {
        this->refuse("413 Payload Too Large", "too_large", "the request is too large");
    } else if (this->beyondLimit) {
        this->refuse("503 Service Unavailable", "too_many_connections", "too many connections are open");
    }
}

// A caller that opens connections and sends nothing, or a byte now and then, would hold descriptors and memory for
// good; one would notice by connections that grow while requests do not, and in the end nobody could connect.
void ServerSocket::endIfUnused(Millis now, Millis requestTimeout, Millis idleTimeout)
{
    if (!this->current.expired()) {
        // The time without a request begins at the end of the answer.
        this->since = now;
        return;
    }
    if (this->closing) {
        return;
    }
    if (this->receivedBytes > 0 && now - this->since >= requestTimeout) {
        this->refuse("408 Request Timeout", "request_timeout", "the request did not arrive whole in time");
    } else if (this->receivedBytes == 0 && now - this->since >= idleTimeout) {
        this->closeGracefully();
    }
}

// So QHttpServer is cut off from the connection, what still comes is thrown away, and the caller is told.
void ServerSocket::refuse(std::string_view status, std::string_view code, std::string_view message)
{
    QObject::disconnect(this, &QTcpSocket::readyRead, nullptr, nullptr);
    QObject::connect(this, &QTcpSocket::readyRead, this, [this] { this->readAll(); });
    if (this->isTransactionStarted()) {
        this->commitTransaction();
    }
    this->readAll();
    if (this->current.expired()) {
        std::string body = R"({"error":{"message":")" + std::string(message);
        body += R"(","type":"invalid_request_error","code":")" + std::string(code) + R"(","param":null}})";
        std::string answer = "HTTP/1.1 " + std::string(status) + "\r\nConnection: close\r\nX-Ran: no\r\n";
        answer += this->beyondLimit ? "Retry-After: 1\r\n" : "";
        answer += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        answer += body;
        this->write(answer.data(), static_cast<qint64>(answer.size()));
    }
    // Closing with bytes unread resets the connection, and the caller may lose the answer: read on for a while.
    this->closing = true;
    QTimer::singleShot(refusedGraceMs, this, [this] { this->abort(); });
}

void ServerSocket::clientGone()
{
    const std::shared_ptr<ConnectionUser> user = this->current.lock();
    this->current.reset();
    if (user) {
        user->handleClientGone();
    }
}

void ServerSocket::written()
{
    if (const std::shared_ptr<ConnectionUser> user = this->current.lock()) {
        user->handleWritten();
    }
}

void Listener::incomingConnection(qintptr descriptor)
{
    auto *socket = new ServerSocket(this->shared, this);
    // Refusals take a while to be read; a flood of them is not answered any more.
    const bool flooded = this->shared->openConnections / 2 > this->shared->maximumConnections;
    if (!socket->setSocketDescriptor(descriptor) || flooded) {
        delete socket;
        return;
    }
    // Without it the kernel holds a small event back until the one before it is acknowledged: up to 40 ms.
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    this->addPendingConnection(socket);
}

} // namespace Sequoiausher::Internal
