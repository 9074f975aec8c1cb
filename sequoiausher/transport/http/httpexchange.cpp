#include "sequoiausher/transport/http/httpexchange.h"

#include "sequoiausher/transport/http/serversocket.h"

#include <QHttpServerResponder>
#include <QPointer>
#include <QUrlQuery>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Sequoiausher {

namespace {

QByteArray toQt(std::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

} // namespace

/** The state of an exchange. */
class HttpExchange::Private : public Internal::ConnectionUser
{
public:
    enum class Phase { Waiting, Streaming, Finished };

    Private(ReceivedRequest received, QHttpServerResponder &&own, Internal::ServerSocket &from, bool close)
        : request(std::move(received))
        , responder(std::move(own))
        , socket(&from)
        , state(from.shared)
        , closeAfter(close)
    {
        ++this->state->openExchanges;
    }

    /** Whether the caller is connected. Otherwise the responder's pointer to the socket dangles. */
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

    /** Releases the callbacks too, since they may hold the exchange. */
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

    void handleClientGone() override
    {
        this->gone = true;
        this->leaveOpen();
        this->whenDrained = nullptr;
        const Callback callback = std::exchange(this->whenGone, nullptr);
        if (callback) {
            callback();
        }
    }

    void handleWritten() override
    {
        if (!this->whenDrained || static_cast<std::size_t>(this->socket->bytesToWrite()) > this->drainedBelow) {
            return;
        }
        const Callback callback = std::exchange(this->whenDrained, nullptr);
        callback();
    }

    void closeAfterAnswer() override
    {
        this->closeAfter = true;
    }

    static bool isFramingHeader(std::string_view name)
    {
        constexpr std::array<std::string_view, 4> framing{
            "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive"};
        return std::any_of(
            framing.begin(), framing.end(), [name](std::string_view other) { return sameHeaderName(name, other); });
    }

    ReceivedRequest request;
    QHttpServerResponder responder;
    QPointer<Internal::ServerSocket> socket;
    std::shared_ptr<Internal::ServerState> state;
    bool closeAfter;
    Phase phase = Phase::Waiting;
    bool counted = true;
    bool gone = false;
    std::size_t drainedBelow = 0;
    Callback whenGone;
    Callback whenDrained;
};

HttpExchange::HttpExchange(std::shared_ptr<Private> priv) : d(std::move(priv))
{
}

std::shared_ptr<HttpExchange> HttpExchange::make(ReceivedRequest request,
                                                 QHttpServerResponder &&responder,
                                                 Internal::ServerSocket &socket,
                                                 bool closeAfter)
{
    auto priv = std::make_shared<Private>(std::move(request), std::move(responder), socket, closeAfter);
    socket.current = priv;
    return std::shared_ptr<HttpExchange>(new HttpExchange(std::move(priv)));
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
    return this->d->request.method;
}

const std::string &HttpExchange::path() const
{
    return this->d->request.path;
}

const std::string &HttpExchange::query() const
{
    return this->d->request.query;
}

std::string HttpExchange::queryItem(const std::string &name) const
{
    const QUrlQuery items(QString::fromStdString(this->d->request.query));
    return items.queryItemValue(QString::fromStdString(name), QUrl::FullyDecoded).toStdString();
}

const HttpHeaders &HttpExchange::headers() const
{
    return this->d->request.headers;
}

const std::string &HttpExchange::body() const
{
    return this->d->request.body;
}

const std::string &HttpExchange::peer() const
{
    return this->d->request.peer;
}

void HttpExchange::respond(int status, const HttpHeaders &headers, std::string_view body)
{
    if (this->d->phase != Private::Phase::Waiting || !this->d->canWrite()) {
        return;
    }
    this->d->writeHead(status, headers);
    this->d->responder.writeHeader("Content-Length", QByteArray::number(static_cast<qulonglong>(body.size())));
    const bool headOnly = this->d->request.method == "HEAD";
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

void HttpExchange::closeAfterAnswer()
{
    this->d->closeAfterAnswer();
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

} // namespace Sequoiausher
