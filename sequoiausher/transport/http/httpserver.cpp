#include "sequoiausher/transport/http/httpserver.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/http/listensocket.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrlQuery>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Sequoiausher {

namespace {

/** How long a connection that we close may take to read what was written last. */
constexpr int closingGraceMs = 2000;

std::string toStd(const QByteArray &bytes)
{
    return {bytes.constData(), static_cast<std::size_t>(bytes.size())};
}

QByteArray toQt(std::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

std::string_view methodName(QHttpServerRequest::Method method)
{
    using Method = QHttpServerRequest::Method;
    switch (method) {
    case Method::Get:
        return "GET";
    case Method::Put:
        return "PUT";
    case Method::Delete:
        return "DELETE";
    case Method::Post:
        return "POST";
    case Method::Head:
        return "HEAD";
    case Method::Options:
        return "OPTIONS";
    case Method::Patch:
        return "PATCH";
    case Method::Connect:
        return "CONNECT";
    case Method::Trace:
        return "TRACE";
    default:
        return "UNKNOWN";
    }
}

/** Whether the connection must close after this request: the caller asks for it, or speaks HTTP/1.0 (no Host). */
bool wantsClose(const HttpHeaders &headers)
{
    return sameHeaderName(headers.value("Connection"), "close") || !headers.has("Host");
}

} // namespace

namespace Internal {

/** What the server and its exchanges share; outlives the server while exchanges are held. */
struct ServerState
{
    std::size_t openExchanges = 0;
    std::size_t openConnections = 0;
    bool stopping = false;
    std::size_t maximumRequestBytes = 0;
};

/**
 * A connection. Its slot on readyRead runs before QHttpServer's, since it is connected first, and so can count and
 * refuse what QHttpServer would buffer without a bound.
 */
class ServerSocket : public QTcpSocket
{
public:
    ServerSocket(std::shared_ptr<ServerState> common, QObject *parent) : QTcpSocket(parent), shared(std::move(common))
    {
        ++this->shared->openConnections;
        this->own = {
            QObject::connect(this, &QTcpSocket::readyRead, this, [this] { this->countRead(); }),
            QObject::connect(this, &QTcpSocket::disconnected, this, [this] { this->clientGone(); }),
            QObject::connect(this, &QTcpSocket::bytesWritten, this, [this] { this->written(); }),
        };
    }

    ~ServerSocket() override
    {
        --this->shared->openConnections;
        this->silence();
    }

    ServerSocket(const ServerSocket &) = delete;
    ServerSocket &operator=(const ServerSocket &) = delete;

    /**
     * No more callbacks: for the end of the server, when handlers may be gone already. Only our own connections are
     * cut, since QHttpServer frees its request object by one of its own.
     */
    void silence()
    {
        for (const QMetaObject::Connection &connection : this->own) {
            QObject::disconnect(connection);
        }
    }

    /** Sends what was written and closes; a caller that does not read it in time is cut off. */
    void closeGracefully()
    {
        if (this->closing) {
            return;
        }
        this->closing = true;
        QTimer::singleShot(closingGraceMs, this, [this] { this->abort(); });
        this->disconnectFromHost();
    }

    /** A whole request has been read: the next byte belongs to another one. */
    void requestComplete()
    {
        this->receivedBytes = 0;
    }

    bool isIdle() const
    {
        return this->current.expired() && this->receivedBytes == 0 && !this->closing;
    }

    std::shared_ptr<ServerState> shared;
    std::weak_ptr<HttpExchange> current;
    bool closing = false;

private:
    void countRead();
    void refuseOversize();
    void clientGone();
    void written();

    std::size_t receivedBytes = 0;
    std::array<QMetaObject::Connection, 3> own;
};

/** The listener that makes ServerSockets. */
class Listener : public QTcpServer
{
public:
    Listener(std::shared_ptr<ServerState> common, QObject *parent) : QTcpServer(parent), shared(std::move(common))
    {
    }

protected:
    void incomingConnection(qintptr descriptor) override
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

private:
    std::shared_ptr<ServerState> shared;
};

} // namespace Internal

/** The state of an exchange. */
class HttpExchange::Private
{
public:
    enum class Phase { Waiting, Streaming, Finished };

    Private(QHttpServerResponder &&own, Internal::ServerSocket *from)
        : responder(std::move(own))
        , socket(from)
        , state(from->shared)
    {
        ++this->state->openExchanges;
    }

    /** Whether something can still be written: the responder's own pointer dangles once the caller is gone. */
    bool canWrite() const
    {
        return !this->gone && !this->socket.isNull() && this->socket->state() == QAbstractSocket::ConnectedState;
    }

    void writeHead(int status, const HttpHeaders &fields)
    {
        this->responder.writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(status));
        for (const HttpHeader &header : fields.entries) {
            if (isWritableHeader(header) && !isFramingHeader(header.name)) {
                this->responder.writeHeader(toQt(header.name), toQt(header.value));
            }
        }
        this->closeAfter = this->closeAfter || this->state->stopping;
        if (this->closeAfter) {
            this->responder.writeHeader("Connection", "close");
        }
    }

    void leaveOpen()
    {
        if (!this->counted) {
            return;
        }
        this->counted = false;
        --this->state->openExchanges;
    }

    /** Lets go of the callbacks too, since they may hold the exchange itself. */
    void finish()
    {
        this->phase = Phase::Finished;
        this->leaveOpen();
        this->whenGone = nullptr;
        this->whenDrained = nullptr;
        if (!this->socket.isNull()) {
            this->socket->current.reset();
        }
    }

    void closeIfAsked()
    {
        if (!this->socket.isNull() && (this->closeAfter || this->state->stopping)) {
            this->socket->closeGracefully();
        }
    }

    void handleClientGone()
    {
        this->gone = true;
        this->leaveOpen();
        this->whenDrained = nullptr;
        const Callback callback = std::exchange(this->whenGone, nullptr);
        if (callback) {
            callback();
        }
    }

    void handleWritten()
    {
        if (!this->whenDrained || static_cast<std::size_t>(this->socket->bytesToWrite()) > this->drainedBelow) {
            return;
        }
        const Callback callback = std::exchange(this->whenDrained, nullptr);
        callback();
    }

    static bool isFramingHeader(std::string_view name)
    {
        constexpr std::array<std::string_view, 4> framing{
            "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive"};
        return std::any_of(
            framing.begin(), framing.end(), [name](std::string_view other) { return sameHeaderName(name, other); });
    }

    QHttpServerResponder responder;
    QPointer<Internal::ServerSocket> socket;
    std::shared_ptr<Internal::ServerState> state;
    std::string method;
    std::string path;
    std::string query;
    std::string peer;
    std::string body;
    HttpHeaders headers;
    Phase phase = Phase::Waiting;
    bool counted = true;
    bool gone = false;
    bool closeAfter = false;
    std::size_t drainedBelow = 0;
    Callback whenGone;
    Callback whenDrained;
};

namespace Internal {

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
    QTimer::singleShot(closingGraceMs, this, [this] { this->abort(); });
}

void ServerSocket::clientGone()
{
    const std::shared_ptr<HttpExchange> exchange = this->current.lock();
    this->current.reset();
    if (exchange) {
        exchange->d->handleClientGone();
    }
}

void ServerSocket::written()
{
    if (const std::shared_ptr<HttpExchange> exchange = this->current.lock()) {
        exchange->d->handleWritten();
    }
}

} // namespace Internal

HttpExchange::HttpExchange(std::unique_ptr<Private> priv) : d(std::move(priv))
{
}

HttpExchange::~HttpExchange()
{
    if (this->d->phase != Private::Phase::Finished && this->d->canWrite()) {
        this->abortStream();
    }
    this->d->leaveOpen();
}

const std::string &HttpExchange::method() const
{
    return this->d->method;
}

const std::string &HttpExchange::path() const
{
    return this->d->path;
}

const std::string &HttpExchange::query() const
{
    return this->d->query;
}

std::string HttpExchange::queryItem(const std::string &name) const
{
    const QUrlQuery items(QString::fromStdString(this->d->query));
    return items.queryItemValue(QString::fromStdString(name), QUrl::FullyDecoded).toStdString();
}

const HttpHeaders &HttpExchange::headers() const
{
    return this->d->headers;
}

const std::string &HttpExchange::body() const
{
    return this->d->body;
}

const std::string &HttpExchange::peer() const
{
    return this->d->peer;
}

void HttpExchange::respond(int status, const HttpHeaders &headers, std::string_view body)
{
    if (this->d->phase != Private::Phase::Waiting || !this->d->canWrite()) {
        return;
    }
    this->d->writeHead(status, headers);
    this->d->responder.writeHeader("Content-Length", QByteArray::number(static_cast<qulonglong>(body.size())));
    const bool headOnly = this->d->method == "HEAD";
    this->d->responder.writeBody(body.data(), headOnly ? 0 : static_cast<qint64>(body.size()));
    this->d->finish();
    this->d->closeIfAsked();
}

void HttpExchange::startStream(int status, const HttpHeaders &headers)
{
    if (this->d->phase != Private::Phase::Waiting || !this->d->canWrite()) {
        return;
    }
    this->d->phase = Private::Phase::Streaming;
    this->d->writeHead(status, headers);
    this->d->responder.writeHeader("Transfer-Encoding", "chunked");
    this->d->responder.writeBody("", 0);
}

bool HttpExchange::writeChunk(std::string_view bytes)
{
    if (this->d->phase != Private::Phase::Streaming || !this->d->canWrite()) {
        return false;
    }
    if (bytes.empty()) {
        return true;
    }
    constexpr int hexadecimal = 16;
    std::array<char, sizeof(std::size_t) * 2> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal);
    std::string chunk;
    chunk.reserve(bytes.size() + size.size() + 4);
    chunk.append(size.data(), end.ptr);
    chunk.append("\r\n");
    chunk.append(bytes);
    chunk.append("\r\n");
    this->d->responder.writeBody(chunk.data(), static_cast<qint64>(chunk.size()));
    return true;
}

void HttpExchange::endStream()
{
    if (this->d->phase != Private::Phase::Streaming || !this->d->canWrite()) {
        return;
    }
    this->d->responder.writeBody("0\r\n\r\n", 5);
    this->d->finish();
    this->d->closeIfAsked();
}

void HttpExchange::abortStream()
{
    if (this->d->phase == Private::Phase::Finished || !this->d->canWrite()) {
        return;
    }
    const QPointer<Internal::ServerSocket> socket = this->d->socket;
    this->d->finish();
    socket->closeGracefully();
}

std::size_t HttpExchange::bytesToWrite() const
{
    return this->d->canWrite() ? static_cast<std::size_t>(this->d->socket->bytesToWrite()) : 0;
}

bool HttpExchange::isFinished() const
{
    return this->d->phase == Private::Phase::Finished;
}

bool HttpExchange::isStreaming() const
{
    return this->d->phase == Private::Phase::Streaming;
}

bool HttpExchange::isClientGone() const
{
    return this->d->gone || (this->d->phase != Private::Phase::Finished && !this->d->canWrite());
}

void HttpExchange::onClientGone(Callback callback)
{
    if (this->d->phase != Private::Phase::Finished) {
        this->d->whenGone = std::move(callback);
    }
}

void HttpExchange::onDrained(std::size_t lowWater, Callback callback)
{
    if (this->d->phase == Private::Phase::Finished) {
        return;
    }
    this->d->drainedBelow = lowWater;
    this->d->whenDrained = std::move(callback);
}

/** The listener, QHttpServer and the way from its handler to ours. */
class HttpServer::Private
{
public:
    Private(HttpHandler &to, HttpServerOptions given) : handler(to), options(std::move(given))
    {
        this->state->maximumRequestBytes = this->options.maximumRequestBytes;
        // A child of QHttpServer, as bind() makes it later too: it goes with the server.
        this->listener = new Internal::Listener(this->state, &this->server);
        this->server.setMissingHandler([this](const QHttpServerRequest &request, QHttpServerResponder &&responder) {
            this->take(request, std::move(responder));
        });
    }

    ~Private()
    {
        for (Internal::ServerSocket *socket : this->sockets()) {
            socket->silence();
        }
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    std::vector<Internal::ServerSocket *> sockets() const
    {
        std::vector<Internal::ServerSocket *> found;
        for (QObject *child : this->listener->children()) {
            if (auto *socket = dynamic_cast<Internal::ServerSocket *>(child)) {
                found.push_back(socket);
            }
        }
        return found;
    }

    void take(const QHttpServerRequest &request, QHttpServerResponder &&responder)
    {
        auto *socket = static_cast<Internal::ServerSocket *>(responder.socket());
        socket->requestComplete();
        if (const auto unanswered = socket->current.lock()) {
            unanswered->d->closeAfter = true;
            return;
        }
        if (socket->closing) {
            return;
        }
        // Bytes behind the request are a pipelined one, or the rest of a body whose length could not be read. The
        // latter must not be taken for a request that the caller never made.
        const bool moreFollows = socket->bytesAvailable() > 0;
        auto priv = std::make_unique<HttpExchange::Private>(std::move(responder), socket);
        fill(*priv, request, *socket);
        priv->closeAfter = moreFollows || wantsClose(priv->headers);
        const std::shared_ptr<HttpExchange> exchange(new HttpExchange(std::move(priv)));
        socket->current = exchange;
        this->handler.handle(exchange);
    }

    static void
    fill(HttpExchange::Private &priv, const QHttpServerRequest &request, const Internal::ServerSocket &socket)
    {
        const QUrl url = request.url();
        priv.method = methodName(request.method());
        priv.path = url.path(QUrl::FullyDecoded).toStdString();
        priv.query = url.query(QUrl::FullyEncoded).toStdString();
        priv.body = toStd(request.body());
        priv.peer = socket.peerAddress().toString().toStdString() + ":" + std::to_string(socket.peerPort());
        for (const auto &[name, value] : request.headers()) {
            priv.headers.add(toStd(name), toStd(value));
        }
    }

    HttpHandler &handler;
    HttpServerOptions options;
    std::shared_ptr<Internal::ServerState> state = std::make_shared<Internal::ServerState>();
    std::uint16_t port = 0;
    QHttpServer server;
    Internal::Listener *listener = nullptr;
};

HttpServer::HttpServer(HttpHandler &handler, HttpServerOptions options)
    : d(std::make_unique<Private>(handler, std::move(options)))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::listen()
{
    const ListenSocketOptions wanted{
        this->d->options.address, this->d->options.port, this->d->options.sharePort, this->d->options.backlog};
    if (!this->d->listener->setSocketDescriptor(openListenSocket(wanted))) {
        throw Error(Step::Listen, this->d->options.address, this->d->listener->errorString().toStdString());
    }
    this->d->server.bind(this->d->listener);
    this->d->port = this->d->listener->serverPort();
}

std::uint16_t HttpServer::port() const
{
    return this->d->port;
}

void HttpServer::stopAccepting()
{
    this->d->state->stopping = true;
    if (!this->d->listener->isListening()) {
        return;
    }
    // Closing resets what waits in the accept queue, so a caller that connected in time would see a broken connection.
    while (this->d->listener->waitForNewConnection(0)) {
    }
    this->d->listener->close();
}

void HttpServer::closeIdleConnections()
{
    for (Internal::ServerSocket *socket : this->d->sockets()) {
        if (socket->isIdle()) {
            socket->closeGracefully();
        }
    }
}

std::size_t HttpServer::openExchanges() const
{
    return this->d->state->openExchanges;
}

std::size_t HttpServer::openConnections() const
{
    return this->d->state->openConnections;
}

} // namespace Sequoiausher
