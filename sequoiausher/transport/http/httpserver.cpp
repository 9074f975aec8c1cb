#include "sequoiausher/transport/http/httpserver.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/http/listensocket.h"
#include "sequoiausher/transport/http/serversocket.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponder>
#include <QTimer>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

constexpr std::int64_t longestSweepMs = 1000;
/** The same if the bytes that connections hold are limited. */
constexpr std::int64_t longestSweepOfHeldBytesMs = 40;

std::string toStd(const QByteArray &bytes)
{
    return {bytes.constData(), static_cast<std::size_t>(bytes.size())};
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

/** Returns whether the connection must close after this request: on the caller's wish, or for HTTP/1.0 (no Host). */
bool wantsClose(const HttpHeaders &headers)
{
    return sameHeaderName(headers.value("Connection"), "close") || !headers.has("Host");
}

} // namespace

/** The listener and the QHttpServer, whose requests are passed to the HttpHandler. */
class HttpServer::Private
{
public:
    Private(HttpHandler &to, HttpServerOptions given) : handler(to), options(std::move(given))
    {
        this->state->maximumRequestBytes = this->options.maximumRequestBytes;
        this->state->maximumConnections = this->options.maximumConnections;
        this->state->maximumHeldBytes = this->options.maximumHeldBytes;
        this->state->receiveBytes = this->options.receiveBytes;
        QObject::connect(&this->sweep, &QTimer::timeout, &this->sweep, [this] { this->endUnused(); });
        // QHttpServer owns it, as it does after bind().
        this->listener = new Internal::Listener(this->state, &this->server);
        this->state->makeMemoryRoom
            = [this](const Internal::ServerSocket *reading) { this->listener->limitHeldBytes(reading); };
        this->server.setMissingHandler([this](const QHttpServerRequest &request, QHttpServerResponder &&responder) {
            this->take(request, std::move(responder));
        });
    }

    ~Private()
    {
        for (Internal::ServerSocket *socket : this->sockets()) {
            socket->silence();
        }
        // Sockets and exchanges may outlive the listener.
        this->state->makeMemoryRoom = [](const Internal::ServerSocket * /*reading*/) {};
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    std::vector<Internal::ServerSocket *> sockets() const
    {
        return this->listener->sockets();
    }

    void endUnused() const
    {
        const Millis now = Millis::monotonicNow();
        for (Internal::ServerSocket *socket : this->sockets()) {
            socket->endIfUnused(now, this->options.requestTimeout, this->options.idleTimeout);
        }
        this->listener->limitHeldBytes();
    }

    void take(const QHttpServerRequest &request, QHttpServerResponder &&responder)
    {
        auto *socket = static_cast<Internal::ServerSocket *>(responder.socket());
        socket->requestComplete();
        if (const auto unanswered = socket->current.lock()) {
            unanswered->closeAfterAnswer();
            return;
        }
        if (socket->closing) {
            return;
        }
        // Bytes after the request are a pipelined request, or the rest of a body whose length was not understood. The
        // latter must not be handled as a request that the caller never sent.
        const bool moreFollows = socket->bytesAvailable() > 0;
        ReceivedRequest received = receive(request, *socket);
        // A caller that has not taken its last answer gets no more than this one on the connection.
        const bool closeAfter = moreFollows || wantsClose(received.headers) || socket->bytesToWrite() > 0;
        this->handler.handle(HttpExchange::make(std::move(received), std::move(responder), *socket, closeAfter));
    }

    static ReceivedRequest receive(const QHttpServerRequest &request, const Internal::ServerSocket &socket)
    {
        const QUrl url = request.url();
        ReceivedRequest received;
        received.method = methodName(request.method());
        received.path = url.path(QUrl::FullyDecoded).toStdString();
        received.query = url.query(QUrl::FullyEncoded).toStdString();
        received.body = toStd(request.body());
        received.peer = socket.peerAddress().toString().toStdString() + ":" + std::to_string(socket.peerPort());
        for (const auto &[name, value] : request.headers()) {
            received.headers.add(toStd(name), toStd(value));
        }
        return received;
    }

    HttpHandler &handler;
    HttpServerOptions options;
    std::shared_ptr<Internal::ServerState> state = std::make_shared<Internal::ServerState>();
    std::uint16_t port = 0;
    QTimer sweep;
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
    const Millis shortest = std::min(this->d->options.requestTimeout, this->d->options.idleTimeout);
    const std::int64_t longest = this->d->options.maximumHeldBytes > 0 ? longestSweepOfHeldBytesMs : longestSweepMs;
    this->d->sweep.start(static_cast<int>(std::clamp<std::int64_t>(shortest.count / 4, 1, longest)));
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
    // Closing resets the connections in the accept queue, which callers opened in time.
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

void HttpServer::refuseIncomplete()
{
    for (Internal::ServerSocket *socket : this->d->sockets()) {
        socket->refuseIncomplete();
    }
}

std::size_t HttpServer::openExchanges() const
{
    return this->d->state->openExchanges;
}

std::size_t HttpServer::yieldedConnections() const
{
    return this->d->state->yielded;
}

std::size_t HttpServer::openConnections() const
{
    return this->d->state->openConnections;
}

} // namespace Sequoiausher
