#include "sequoiausher/transport/http/serversocket.h"

#include "sequoiausher/transport/stream/ipv4socket.h"

#include <QTimer>

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Sequoiausher::Internal {

namespace {

/** The time for which a connection is read after its request was refused, so that the caller can read the refusal. */
constexpr int refusedGraceMs = 2000;
/** QHttpServer keeps the bytes of a request beside those in the socket's buffer. */
constexpr std::size_t receivedCopies = 2;
/** A closing connection whose caller reads nothing for this time is aborted. */
constexpr int stalledAfterMs = 30000;

} // namespace

ServerSocket::ServerSocket(std::shared_ptr<ServerState> common, QObject *parent, bool hasRoom)
    : QTcpSocket(parent)
    , shared(std::move(common))
    , received(this->shared->received)
    , beyondLimit(!hasRoom)
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
    // Since the last progress, so that a slow caller gets its whole answer even during a graceful stop.
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
    if (this->received.bytes() == 0) {
        this->since = Millis::monotonicNow();
    }
    this->received.set(this->received.bytes() + static_cast<std::size_t>(this->bytesAvailable()));
    // QHttpServer buffers requests of any length, so an endless one would fill the memory.
    if (this->received.bytes() > this->shared->maximumRequestBytes) {
        this->refuse({"413 Payload Too Large", "too_large", "the request is too large"});
    } else if (this->beyondLimit) {
        this->refuse({"503 Service Unavailable", "too_many_connections", "too many connections are open", "no", true});
    } else if (this->isBeyondMemory()) {
        this->shared->makeMemoryRoom(this);
        if (this->isBeyondMemory()) {
            this->refuse({"503 Service Unavailable", "no_room", "the server has no room", "unknown", true});
        }
    }
}

bool ServerSocket::isBeyondMemory() const
{
    const std::size_t limit = this->shared->maximumHeldBytes;
    return limit > 0 && *this->shared->received * receivedCopies > limit;
}

// Without a time limit, callers that open connections and send nothing, or a byte now and then, would use up the
// descriptors, and nobody else could connect.
void ServerSocket::endIfUnused(Millis now, Millis requestTimeout, Millis idleTimeout)
{
    if (!this->current.expired()) {
        // The idle time begins at the end of the answer.
        this->since = now;
        return;
    }
    if (this->closing) {
        return;
    }
    if (this->received.bytes() > 0 && now - this->since >= requestTimeout) {
        this->refuse({"408 Request Timeout", "request_timeout", "the request did not arrive whole in time"});
    } else if (this->received.bytes() == 0 && now - this->since >= idleTimeout) {
        this->closeGracefully();
    }
}

// Its head was not looked at: with an idempotency key, an earlier attempt may have run.
void ServerSocket::refuseIncomplete()
{
    if (this->current.expired() && this->received.bytes() > 0 && !this->closing) {
        this->refuse({"503 Service Unavailable", "stopping", "the server is stopping", "unknown", true});
    }
}

// So QHttpServer is disconnected from the socket, further bytes are discarded, and the caller is informed.
void ServerSocket::refuse(const Refusal &refusal)
{
    QObject::disconnect(this, &QTcpSocket::readyRead, nullptr, nullptr);
    QObject::connect(this, &QTcpSocket::readyRead, this, [this] { this->readAll(); });
    if (this->isTransactionStarted()) {
        this->commitTransaction();
    }
    this->readAll();
    this->writeRefusal(refusal);
    this->received.set(0);
    // Closing with unread bytes resets the connection, and the caller may lose the answer, so reading continues.
    this->closing = true;
    QTimer::singleShot(refusedGraceMs, this, [this] { this->abort(); });
}

void ServerSocket::writeRefusal(const Refusal &refusal)
{
    if (this->current.expired()) {
        std::string body = R"({"error":{"message":")" + std::string(refusal.message);
        body += R"(","type":"invalid_request_error","code":")" + std::string(refusal.code) + R"(","param":null}})";
        std::string answer = "HTTP/1.1 " + std::string(refusal.status) + "\r\nConnection: close\r\n";
        answer += "X-Ran: " + std::string(refusal.ran) + "\r\n";
        answer += refusal.mayRetry ? "Retry-After: 1\r\n" : "";
        answer += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        answer += body;
        this->write(answer.data(), static_cast<qint64>(answer.size()));
    }
}

std::size_t ServerSocket::heldBytes() const
{
    return this->received.bytes() * receivedCopies + static_cast<std::size_t>(this->bytesToWrite());
}

void ServerSocket::yield()
{
    this->shared->yielded += 1;
    if (this->received.bytes() > 0 && !this->closing && this->current.expired()) {
        this->writeRefusal({"503 Service Unavailable", "no_room", "the server has no room", "unknown", true});
        this->flush();
    }
    this->received.set(0);
    this->abort();
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
    if (this->received.bytes() == 0) {
        this->since = Millis::monotonicNow();
    }
    if (const std::shared_ptr<ConnectionUser> user = this->current.lock()) {
        user->handleWritten();
    }
}

std::vector<ServerSocket *> Listener::sockets() const
{
    std::vector<ServerSocket *> found;
    for (QObject *child : this->children()) {
        if (auto *socket = dynamic_cast<ServerSocket *>(child)) {
            found.push_back(socket);
        }
    }
    return found;
}

bool Listener::makeRoom() const
{
    ServerSocket *least = nullptr;
    for (ServerSocket *socket : this->sockets()) {
        const bool mayYield = !socket->isInUse() && socket->state() == QAbstractSocket::ConnectedState;
        if (mayYield && (least == nullptr || socket->movedAt() < least->movedAt())) {
            least = socket;
        }
    }
    if (least == nullptr) {
        return false;
    }
    least->yield();
    return true;
}

void Listener::limitHeldBytes(const ServerSocket *reading) const
{
    if (this->shared->maximumHeldBytes == 0) {
        return;
    }
    const Millis now = Millis::monotonicNow();
    std::size_t held = 0;
    std::vector<std::pair<double, ServerSocket *>> holders;
    for (ServerSocket *socket : this->sockets()) {
        const std::size_t bytes = socket->heldBytes();
        held += bytes;
        if (bytes > 0 && socket != reading) {
            const auto still = static_cast<double>((now - socket->movedAt()).count + 1);
            holders.emplace_back(static_cast<double>(bytes) * still, socket);
        }
    }
    std::sort(holders.begin(), holders.end(), std::greater<>());
    for (const auto &[cost, socket] : holders) {
        if (held <= this->shared->maximumHeldBytes) {
            return;
        }
        held -= socket->heldBytes();
        socket->yield();
    }
}

void Listener::incomingConnection(qintptr descriptor)
{
    // Closing the connections that do not move leaves room for one whose caller asks something.
    const bool isFull = this->shared->openConnections >= this->shared->maximumConnections;
    const bool hasRoom = !isFull || this->makeRoom();
    auto *socket = new ServerSocket(this->shared, this, hasRoom);
    // A connection with a refusal stays open for a while, so only a limited number of refusals is answered.
    const bool flooded = this->shared->openConnections / 2 > this->shared->maximumConnections;
    if (!socket->setSocketDescriptor(descriptor) || flooded) {
        delete socket;
        return;
    }
    // Otherwise the kernel delays a small event until the one before it is acknowledged, for up to 40 ms.
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    limitUnsentBytes(static_cast<int>(descriptor));
    if (this->shared->receiveBytes > 0) {
        socket->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption,
                                static_cast<int>(this->shared->receiveBytes));
    }
    this->addPendingConnection(socket);
}

} // namespace Sequoiausher::Internal
