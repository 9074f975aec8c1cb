#include "sequoiausher/transport/http/httpclient.h"

#include "sequoiausher/transport/http/lanepool.h"
#include "sequoiausher/transport/http/onlyoncebody.h"

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QPointer>
#include <QSignalBlocker>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr int firstErrorStatus = 400;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
/** The longest wait for the connection that confirms the end of an answer. */
constexpr Millis confirmTimeout{400};

QByteArray toQt(std::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

std::string toStd(const QByteArray &bytes)
{
    return {bytes.constData(), static_cast<std::size_t>(bytes.size())};
}

/** Returns whether the field belongs to one connection or is written by the client itself. */
bool isConnectionHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names{"Connection",
                                                    "Host",
                                                    "Content-Length",
                                                    "Transfer-Encoding",
                                                    "Accept-Encoding",
                                                    "Expect",
                                                    "TE",
                                                    "Upgrade",
                                                    "Keep-Alive"};
    return std::any_of(names.begin(), names.end(), [name](std::string_view own) { return sameHeaderName(name, own); });
}

HttpHeaders headersOf(const QNetworkReply &reply)
{
    HttpHeaders headers;
    for (const auto &[name, value] : reply.rawHeaderPairs()) {
        headers.add(toStd(name), toStd(value));
    }
    return headers;
}

QNetworkRequest makeRequest(const HttpRequest &asked, const QUrl &url, const Lane &lane)
{
    QNetworkRequest request(url);
    request.setPeerVerifyName(QString::number(lane.number));
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setAttribute(QNetworkRequest::HttpPipeliningAllowedAttribute, false);
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
    request.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
    request.setAttribute(QNetworkRequest::CacheSaveControlAttribute, false);
    request.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
    request.setRawHeader("User-Agent", "sequoiausher");
    // With an explicit encoding Qt does not decompress the answer, so the caller gets the bytes that the target sent.
    request.setRawHeader("Accept-Encoding", "identity");
    request.setRawHeader("Content-Type", "application/octet-stream");
    for (const HttpHeader &header : asked.headers.entries) {
        if (isWritableHeader(header) && !isConnectionHeader(header.name)) {
            request.setRawHeader(toQt(header.name), toQt(header.value));
        }
    }
    if (lane.surplus) {
        request.setRawHeader("Connection", "close");
    }
    return request;
}

/** Returns whether the error only stands for a status of 4xx or 5xx of a complete answer. */
bool isStatusError(QNetworkReply::NetworkError error, int status)
{
    return status >= firstErrorStatus && error >= QNetworkReply::ContentAccessDenied
        && error != QNetworkReply::ContentReSendError;
}

/** Returns whether no connection was opened, so that nothing was written. */
bool isConnectFailure(QNetworkReply::NetworkError error)
{
    return error == QNetworkReply::ConnectionRefusedError || error == QNetworkReply::HostNotFoundError;
}

// Qt starts a request with a body from the event loop, and silently discards a limit that was set before (seen with Qt
// 6.4.2). A paused call would then buffer the whole answer, so the limit is set from the event loop, after the start.
void limitReadBuffer(QNetworkReply *reply, qint64 bytes)
{
    QMetaObject::invokeMethod(
        reply, [reply, bytes] { reply->setReadBufferSize(bytes); }, Qt::QueuedConnection);
}

} // namespace

bool hasOwnEnd(const HttpHeaders &headers)
{
    return headers.has("Content-Length") || headers.has("Transfer-Encoding");
}

/** The state of a call. */
class HttpCall::Private
{
public:
    explicit Private(HttpCallbacks given) : callbacks(std::move(given))
    {
    }

    /** Returns whether the error implies that the target cannot have received the whole request. */
    bool isSurelyNotSent(QNetworkReply::NetworkError error) const
    {
        if (this->headSeen || this->body->wasResendRefused() || this->body->wasRead()) {
            return false;
        }
        return this->body->size() > 0 || isConnectFailure(error);
    }

    void reportHead()
    {
        if (this->headSeen || this->reply.isNull()) {
            return;
        }
        this->status = this->reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        if (this->status == 0) {
            return;
        }
        this->headSeen = true;
        this->timer.start(
            static_cast<int>(std::max<std::int64_t>(0, (this->deadlineAt - Millis::monotonicNow()).count)));
        if (this->callbacks.onHead) {
            const auto callback = this->callbacks.onHead;
            callback(this->status, headersOf(*this->reply));
        }
    }

    void reportData()
    {
        if (this->paused || this->reply.isNull()) {
            return;
        }
        const QByteArray bytes = this->takeAll();
        if (!bytes.isEmpty() && this->callbacks.onData) {
            const auto callback = this->callbacks.onData;
            callback({bytes.constData(), static_cast<std::size_t>(bytes.size())});
        }
    }

    QByteArray takeAll();

    HttpCallbacks callbacks;
    QPointer<QNetworkReply> reply;
    std::unique_ptr<OnlyOnceBody> body;
    QTimer timer;
    Millis deadlineAt;
    bool isHead = false;
    bool confirmsUnframedEnd = false;
    std::unique_ptr<QTcpSocket> confirmation;
    /** The number of bytes that may still be read without notifying Qt's connection thread. */
    qint64 untoldBytesLeft = 0;
    qint64 readBufferBytes = 0;
    qint64 receivedBytes = 0;
    std::function<void(const std::shared_ptr<HttpCall> &, bool reusable)> release;
    std::weak_ptr<HttpCall> self;
    std::string target;
    std::uint64_t lane = 0;
    int status = 0;
    bool laneMayReturn = false;
    bool headSeen = false;
    bool paused = false;
    bool replyFinished = false;
    bool ended = false;

    /** Whether nothing but its connection marks the end of the answer. */
    bool endsWithConnection() const;
    /** Whether Qt tried to send the request again only because the connection of a begun answer had closed. */
    bool isCloseTakenForRetry(QNetworkReply::NetworkError error) const;
    /** Opens the connection that shows that the target's process has not ended. */
    void confirmEnd();

    // Each of these holds the call by a shared pointer, since a callback may release the last other one.
    void handleFinished();
    void finishWhole();
    void handleUnconfirmed();
    void handleTimeout();
    void end(bool reusable);
    void fail(const ClientError &error);
};

// Qt buffers at most the limit of limitReadBuffer(), so each read notifies the connection thread of the free space.
// That wakes the thread, which polls every connection: a sixth of the cost of a token at low load. So the first bytes,
// up to half of the limit, are read without a notification. Qt counts them as unread and buffers that much less, which
// keeps the bound. Reads after them notify the thread as usual, so a long answer does not stall.
QByteArray HttpCall::Private::takeAll()
{
    const qint64 waiting = this->reply->bytesAvailable();
    this->receivedBytes += waiting;
    if (waiting > this->untoldBytesLeft) {
        return this->reply->readAll();
    }
    this->untoldBytesLeft -= waiting;
    const QSignalBlocker untold(this->reply);
    return this->reply->readAll();
}

void HttpCall::Private::end(bool reusable)
{
    if (this->ended) {
        return;
    }
    this->ended = true;
    this->timer.stop();
    if (this->confirmation) {
        // This may be called from a signal of the socket.
        this->confirmation->disconnect();
        this->confirmation.release()->deleteLater();
    }
    if (!this->reply.isNull()) {
        // Cleared first, since abort() emits finished() at once.
        QNetworkReply *last = this->reply;
        this->reply.clear();
        // A failed reply has closed its connection, and Qt warns if it is aborted too.
        if (!reusable && !last->isFinished()) {
            last->abort();
        }
        // The reply may read from the body until it is destroyed.
        this->body.release()->setParent(last);
        last->deleteLater();
    }
    if (this->release) {
        const auto give = std::exchange(this->release, nullptr);
        give(this->self.lock(), reusable);
    }
}

void HttpCall::Private::fail(const ClientError &error)
{
    if (this->ended) {
        return;
    }
    const HttpCallbacks last = std::exchange(this->callbacks, {});
    this->end(false);
    if (last.onError) {
        last.onError(error);
    }
}

void HttpCall::Private::handleTimeout()
{
    const std::shared_ptr<HttpCall> keep = this->self.lock();
    if (this->confirmation) {
        this->handleUnconfirmed();
        return;
    }
    const bool deadline = this->headSeen || Millis::monotonicNow() >= this->deadlineAt;
    ClientError error;
    error.kind = deadline ? ClientErrorKind::TimedOutDeadline : ClientErrorKind::TimedOutFirstByte;
    error.surelyNotSent = this->isSurelyNotSent(QNetworkReply::TimeoutError);
    error.reason = deadline ? "the deadline passed" : "no answer within the first-byte timeout";
    this->fail(error);
}

void HttpCall::Private::handleFinished()
{
    const std::shared_ptr<HttpCall> keep = this->self.lock();
    if (this->ended || this->reply.isNull() || this->confirmation) {
        return;
    }
    this->replyFinished = true;
    this->reportHead();
    if (this->paused || this->ended) {
        return;
    }
    this->reportData();
    if (this->paused || this->ended) {
        return;
    }
    const QNetworkReply::NetworkError error = this->reply->error();
    const bool isComplete = error == QNetworkReply::NoError || isStatusError(error, this->status);
    if (this->headSeen && (isComplete || this->isCloseTakenForRetry(error))) {
        if (this->confirmsUnframedEnd && this->endsWithConnection()) {
            this->confirmEnd();
        } else {
            this->finishWhole();
        }
        return;
    }
    ClientError failure;
    failure.surelyNotSent = this->isSurelyNotSent(error);
    failure.kind = this->headSeen ? ClientErrorKind::BrokenBody
        : failure.surelyNotSent   ? ClientErrorKind::RefusedBeforeSend
                                  : ClientErrorKind::MayHaveRun;
    failure.reason = this->reply->errorString().toStdString();
    this->fail(failure);
}

void HttpCall::Private::finishWhole()
{
    const std::shared_ptr<HttpCall> keep = this->self.lock();
    const HttpCallbacks last = std::exchange(this->callbacks, {});
    this->end(true);
    if (last.onEnd) {
        last.onEnd();
    }
}

bool HttpCall::Private::endsWithConnection() const
{
    return !this->isHead && this->status != statusNoContent && this->status != statusNotModified
        && !hasOwnEnd(headersOf(*this->reply));
}

// A target may answer before it has read the whole request. Qt then reads the answer while it still waits for one, and
// (seen with 6.4.2) sends the request again when the connection closes, which the body refuses. The close is the end of
// an answer without a length. Beyond the read buffer's limit, the rest of the answer may have been left unread.
bool HttpCall::Private::isCloseTakenForRetry(QNetworkReply::NetworkError error) const
{
    return error == QNetworkReply::ContentReSendError && this->body->wasResendRefused() && this->endsWithConnection()
        && this->receivedBytes < this->readBufferBytes;
}

// Qt reports a reset connection as a closed one, so this detects only the end of the target's process.
void HttpCall::Private::confirmEnd()
{
    this->confirmation = std::make_unique<QTcpSocket>();
    this->confirmation->setProxy(QNetworkProxy(QNetworkProxy::NoProxy));
    const std::weak_ptr<HttpCall> weak = this->self;
    QObject::connect(this->confirmation.get(), &QTcpSocket::connected, this->confirmation.get(), [weak] {
        if (const auto held = weak.lock()) {
            held->d->finishWhole();
        }
    });
    QObject::connect(this->confirmation.get(), &QTcpSocket::errorOccurred, this->confirmation.get(), [weak] {
        if (const auto held = weak.lock()) {
            held->d->handleUnconfirmed();
        }
    });
    const Millis left = std::max(Millis{0}, this->deadlineAt - Millis::monotonicNow());
    this->timer.start(static_cast<int>(std::min(confirmTimeout, left).count));
    constexpr int httpPort = 80;
    const QUrl url = this->reply->url();
    this->confirmation->connectToHost(url.host(), static_cast<quint16>(url.port(httpPort)));
}

void HttpCall::Private::handleUnconfirmed()
{
    const std::shared_ptr<HttpCall> keep = this->self.lock();
    ClientError error;
    error.kind = ClientErrorKind::BrokenBody;
    error.reason = "the answer has no length, and its target accepts no other connection";
    this->fail(error);
}

HttpCall::HttpCall(std::unique_ptr<Private> priv) : d(std::move(priv))
{
}

HttpCall::~HttpCall() = default;

void HttpCall::cancel()
{
    const std::shared_ptr<HttpCall> keep = this->d->self.lock();
    const HttpCallbacks dropped = std::exchange(this->d->callbacks, {});
    this->d->end(false);
}

void HttpCall::pause()
{
    this->d->paused = true;
}

void HttpCall::resume()
{
    if (!this->d->paused || this->d->ended) {
        this->d->paused = false;
        return;
    }
    const std::shared_ptr<HttpCall> keep = this->d->self.lock();
    this->d->paused = false;
    if (this->d->replyFinished) {
        this->d->handleFinished();
        return;
    }
    this->d->reportData();
}

bool HttpCall::isFinished() const
{
    return this->d->ended;
}

/** The manager, the lanes and the calls in progress. */
class HttpClient::Private
{
public:
    explicit Private(HttpClientOptions given)
        : options(given)
        , lanes({given.maximumIdleAge, given.justUsedAge, given.maximumIdlePerTarget})
    {
        this->manager.setProxy(QNetworkProxy(QNetworkProxy::NoProxy));
        this->manager.setAutoDeleteReplies(false);
    }

    void connectReply(const std::shared_ptr<HttpCall> &call)
    {
        HttpCall::Private *state = call->d.get();
        QNetworkReply *reply = state->reply;
        const std::weak_ptr<HttpCall> weak = call;
        QObject::connect(reply, &QNetworkReply::metaDataChanged, reply, [weak] {
            if (const auto held = weak.lock()) {
                held->d->reportHead();
            }
        });
        QObject::connect(reply, &QNetworkReply::readyRead, reply, [weak] {
            if (const auto held = weak.lock()) {
                held->d->reportHead();
                held->d->reportData();
            }
        });
        QObject::connect(reply, &QNetworkReply::finished, reply, [weak] {
            if (const auto held = weak.lock()) {
                held->d->handleFinished();
            }
        });
        QObject::connect(&state->timer, &QTimer::timeout, &state->timer, [weak] {
            if (const auto held = weak.lock()) {
                held->d->handleTimeout();
            }
        });
    }

    HttpClientOptions options;
    QNetworkAccessManager manager;
    LanePool lanes;
    std::unordered_map<HttpCall *, std::shared_ptr<HttpCall>> calls;
};

HttpClient::HttpClient(HttpClientOptions options) : d(std::make_unique<Private>(options))
{
}

HttpClient::~HttpClient()
{
    const auto open = std::exchange(this->d->calls, {});
    for (const auto &[key, call] : open) {
        call->d->release = nullptr;
        call->cancel();
    }
}

std::shared_ptr<HttpCall>
HttpClient::send(const HttpRequest &request, const RequestOptions &options, HttpCallbacks callbacks)
{
    const Millis now = Millis::monotonicNow();
    const QUrl url(QString::fromStdString(request.url), QUrl::StrictMode);
    auto priv = std::make_unique<HttpCall::Private>(std::move(callbacks));
    priv->target = url.authority().toStdString();
    const Lane lane = this->d->lanes.lease(priv->target, options.freshOnly, now);
    priv->lane = lane.number;
    priv->laneMayReturn = !lane.surplus;
    priv->body = std::make_unique<OnlyOnceBody>(toQt(request.body));
    priv->deadlineAt = now + options.deadline;
    priv->isHead = request.method == "HEAD";
    priv->confirmsUnframedEnd = options.confirmsUnframedEnd;
    priv->readBufferBytes = static_cast<qint64>(this->d->options.readBufferBytes);
    priv->untoldBytesLeft = priv->readBufferBytes / 2;
    priv->reply
        = this->d->manager.sendCustomRequest(makeRequest(request, url, lane), toQt(request.method), priv->body.get());
    limitReadBuffer(priv->reply, priv->readBufferBytes);
    priv->timer.setSingleShot(true);
    priv->timer.start(static_cast<int>(std::min(options.firstByteTimeout, options.deadline).count));
    priv->release = [this](const std::shared_ptr<HttpCall> &call, bool reusable) {
        if (reusable && call->d->laneMayReturn) {
            this->d->lanes.giveBack(call->d->target, call->d->lane, Millis::monotonicNow());
        }
        this->d->calls.erase(call.get());
    };
    std::shared_ptr<HttpCall> call(new HttpCall(std::move(priv)));
    call->d->self = call;
    this->d->calls.emplace(call.get(), call);
    this->d->connectReply(call);
    return call;
}

void HttpClient::cancelAll()
{
    const auto open = this->d->calls;
    for (const auto &[key, call] : open) {
        ClientError error;
        error.kind = ClientErrorKind::Cancelled;
        error.surelyNotSent = !call->d->ended && call->d->isSurelyNotSent(QNetworkReply::OperationCanceledError);
        error.reason = "cancelled";
        call->d->fail(error);
    }
}

std::size_t HttpClient::openCalls() const
{
    return this->d->calls.size();
}

std::size_t HttpClient::idleLanes() const
{
    return this->d->lanes.idleCount();
}

} // namespace Sequoiausher
