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
    this->receivedBytes += static_cast<std::size_t>(this->bytesAvailable());
    if (this->receivedBytes > this->shared->maximumRequestBytes) {
        this->refuseOversize();
    }
}

// QHttpServer buffers a request of any length. A caller that sends without end would fill the memory of the instance;
// one would notice by its resident size. So QHttpServer is cut off from the connection here, what still comes is
// thrown away, and the caller is told.
void ServerSocket::refuseOversize()
{
    QObject::disconnect(this, &QTcpSocket::readyRead, nullptr, nullptr);
    QObject::connect(this, &QTcpSocket::readyRead, this, [this] { this->readAll(); });
    this->commitTransaction();
    this->readAll();
    if (this->current.expired()) {
        constexpr std::string_view text
            = R"({"error":{"message":"the request is too large","type":"invalid_request_error","code":"too_large","param":null}})";
        std::string answer = "HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\nX-Ran: no\r\n";
        answer += "Content-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n";
        answer += text;
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
    if (!socket->setSocketDescriptor(descriptor)) {
        delete socket;
        return;
    }
    // Without it the kernel holds a small event back until the one before it is acknowledged: up to 40 ms.
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    this->addPendingConnection(socket);
}

} // namespace Sequoiausher::Internal
