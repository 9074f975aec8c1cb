#include "sequoiausher/transport/router/targetcall.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/clientapi/ssereader.h"

#include <QJsonDocument>

#include <algorithm>

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusTooMany = 429;
constexpr int firstServerError = 500;
constexpr Millis longestCall{3600000};
constexpr Millis cancelLimit{2000};
/** A whole answer is held until it is checked. */
constexpr std::size_t maximumWholeBytes = std::size_t{64} << 20U;

} // namespace

class TargetCall::Private
{
public:
    Private(HttpClient &theClient, const TargetRequest &theRequest, TargetCallListener &theListener)
        : client(theClient)
        , request(theRequest)
        , listener(theListener)
        , check(theRequest.request)
    {
    }

    void send(const HttpRequest &http, bool fresh, bool resuming);
    void onHead(int status, const HttpHeaders &headers);
    void onData(std::string_view bytes);
    void onEnd();
    void onError(const ClientError &error);
    void takeEvents(std::string_view bytes);
    bool isOwnWholeAnswer() const;
    /** Whether a JSON answer that no length bounds ends in the middle of its text. */
    bool isCutOffJson() const;
    void fail(TargetFailure failure, const std::string &reason);
    void drop();
    RequestOptions options(bool fresh) const;

    HttpClient &client;
    TargetRequest request;
    TargetCallListener &listener;
    AnswerCheck check;
    std::shared_ptr<HttpCall> call;
    /** Counts the calls; callbacks of an earlier one, queued when it was dropped, are ignored. */
    std::uint64_t generation = 0;
    SseReader events;
    bool streaming = false;
    bool resuming = false;
    bool headTold = false;
    bool paused = false;
    bool isFramed = false;
    int status = 0;
    std::string contentType;
    std::string whole;
    Millis heardAt;
};

RequestOptions TargetCall::Private::options(bool fresh) const
{
    const Millis now = Millis::monotonicNow();
    const Millis left = this->request.deadline == Millis::never() ? longestCall : this->request.deadline - now;
    const Millis limit = std::clamp(left, Millis{1}, longestCall);
    RequestOptions options{std::min(this->request.firstByteTimeout, limit), limit, fresh};
    // A stream has an end mark of its own.
    options.confirmsUnframedEnd = !this->request.streamed;
    return options;
}

void TargetCall::Private::send(const HttpRequest &http, bool fresh, bool isResumption)
{
    this->drop();
    this->resuming = isResumption;
    this->streaming = false;
    this->events = SseReader();
    this->whole.clear();
    this->heardAt = Millis::monotonicNow();
    const std::uint64_t current = this->generation;
    HttpCallbacks callbacks;
    callbacks.onHead = [this, current](int code, const HttpHeaders &headers) {
        if (current == this->generation) {
            this->onHead(code, headers);
        }
    };
    callbacks.onData = [this, current](std::string_view bytes) {
        if (current == this->generation) {
            this->onData(bytes);
        }
    };
    callbacks.onEnd = [this, current] {
        if (current == this->generation) {
            this->onEnd();
        }
    };
    callbacks.onError = [this, current](const ClientError &error) {
        if (current == this->generation) {
            this->onError(error);
        }
    };
    this->call = this->client.send(http, this->options(fresh), std::move(callbacks));
}

void TargetCall::Private::onHead(int code, const HttpHeaders &headers)
{
    this->heardAt = Millis::monotonicNow();
    this->status = code;
    this->contentType = std::string(headers.value("Content-Type"));
    this->isFramed = hasOwnEnd(headers);
    if (this->resuming && code != statusOk) {
        this->fail(code == statusNotFound ? TargetFailure::CannotResume : TargetFailure::AnswerTruncated,
                   "resuming: status " + std::to_string(code));
        return;
    }
    const bool saysNotRun = headers.value("X-Ran") == "no";
    if (saysNotRun && (code >= firstServerError || code == statusTooMany)) {
        this->fail(TargetFailure::RefusedByTarget, "status " + std::to_string(code));
        return;
    }
    // Late or crossed answers carry another request's id.
    if (headers.value("X-Request-Id") != this->request.request.toHex()) {
        this->fail(TargetFailure::WrongAnswer, "the answer has another request's id");
        return;
    }
    this->streaming = this->request.streamed && code == statusOk;
    if (this->streaming && !this->headTold) {
        this->headTold = true;
        this->listener.targetHead(code, this->contentType);
    }
}

void TargetCall::Private::onData(std::string_view bytes)
{
    this->heardAt = Millis::monotonicNow();
    if (this->streaming) {
        this->takeEvents(bytes);
        return;
    }
    if (this->whole.size() + bytes.size() > maximumWholeBytes) {
        this->fail(TargetFailure::AnswerTruncated, "the answer is too large");
        return;
    }
    this->whole.append(bytes);
}

void TargetCall::Private::takeEvents(std::string_view bytes)
{
    std::vector<SseEvent> complete;
    try {
        complete = this->events.push(bytes);
    } catch (const Error &error) {
        this->fail(TargetFailure::WrongAnswer, error.what());
        return;
    }
    std::string relayed;
    for (const SseEvent &event : complete) {
        const ChunkVerdict verdict = this->check.accept(event.data);
        if (verdict == ChunkVerdict::Pass) {
            relayed += "data: ";
            relayed += event.data;
            relayed += "\n\n";
        } else if (verdict != ChunkVerdict::Repeated) {
            if (!relayed.empty()) {
                this->listener.targetPart(relayed);
            }
            const bool gap = verdict == ChunkVerdict::Gap;
            this->fail(gap ? TargetFailure::AnswerTruncated : TargetFailure::WrongAnswer,
                       gap ? "chunks are missing" : "a chunk of another answer");
            return;
        }
    }
    if (!relayed.empty()) {
        this->listener.targetPart(relayed);
    }
}

// A chat's whole answer names the request within; a plain service's is known by the echoed header alone.
bool TargetCall::Private::isOwnWholeAnswer() const
{
    if (!this->request.isChat || this->status != statusOk) {
        return true;
    }
    return this->whole.find("chatcmpl-" + this->request.request.toHex()) != std::string::npos;
}

bool TargetCall::Private::isCutOffJson() const
{
    if (this->isFramed || !this->contentType.starts_with("application/json")) {
        return false;
    }
    const QByteArray text = QByteArray::fromRawData(this->whole.data(), static_cast<qsizetype>(this->whole.size()));
    return QJsonDocument::fromJson(text).isNull();
}

void TargetCall::Private::onEnd()
{
    const std::uint64_t current = this->generation;
    if (this->streaming) {
        if (this->check.isComplete()) {
            this->drop();
            this->listener.targetComplete(this->check.usage());
        } else {
            this->fail(TargetFailure::AnswerTruncated, "the stream ended without its end mark");
        }
        return;
    }
    if (this->isCutOffJson()) {
        this->fail(TargetFailure::NoHead, "the answer has no length and is no whole JSON text");
        return;
    }
    if (!this->isOwnWholeAnswer()) {
        this->fail(TargetFailure::WrongAnswer, "the body is another request's");
        return;
    }
    this->headTold = true;
    this->listener.targetHead(this->status, this->contentType);
    if (current != this->generation) {
        return;
    }
    this->listener.targetPart(this->whole);
    if (current != this->generation) {
        return;
    }
    this->drop();
    this->listener.targetComplete(this->check.usage());
}

void TargetCall::Private::onError(const ClientError &error)
{
    if (error.kind == ClientErrorKind::RefusedBeforeSend || error.surelyNotSent) {
        this->fail(this->resuming ? TargetFailure::AnswerTruncated : TargetFailure::NeverSent, error.reason);
        return;
    }
    const bool begun = this->headTold || this->resuming;
    this->fail(begun ? TargetFailure::AnswerTruncated : TargetFailure::NoHead, error.reason);
}

void TargetCall::Private::fail(TargetFailure failure, const std::string &reason)
{
    this->drop();
    this->listener.targetFailed(failure, reason);
}

void TargetCall::Private::drop()
{
    this->generation += 1;
    if (this->call) {
        this->call->cancel();
        this->call.reset();
    }
}

TargetCall::TargetCall(HttpClient &client, const TargetRequest &request, TargetCallListener &listener)
    : d(std::make_unique<Private>(client, request, listener))
{
}

TargetCall::~TargetCall()
{
    this->d->drop();
}

void TargetCall::dispatch(const std::string &address, bool fresh)
{
    const TargetRequest &request = this->d->request;
    HttpRequest http{request.method, "http://" + address + request.path, request.headers, request.body};
    http.headers.set("X-Request-Id", request.request.toHex());
    this->d->send(http, fresh, false);
}

void TargetCall::resumeStream(const std::string &address)
{
    const std::string path
        = "/v1/streams/" + this->d->request.request.toHex() + "?offset=" + std::to_string(this->d->check.nextOffset());
    HttpRequest http{"GET", "http://" + address + path, {}, {}};
    http.headers.set("X-Request-Id", this->d->request.request.toHex());
    // Over a fresh connection: the old one may be silent for good while new ones work.
    this->d->send(http, true, true);
}

void TargetCall::cancel(const std::string &address)
{
    this->d->drop();
    if (this->d->request.isChat) {
        const std::string url = "http://" + address + "/v1/streams/" + this->d->request.request.toHex();
        this->d->client.send(HttpRequest{"DELETE", url, {}, {}}, RequestOptions{cancelLimit, cancelLimit, false}, {});
    }
}

void TargetCall::tick(Millis now)
{
    const bool silent = now - this->d->heardAt >= this->d->request.streamSilence;
    if (this->d->call && this->d->streaming && !this->d->paused && silent) {
        this->d->fail(TargetFailure::AnswerTruncated, "the stream went silent");
    }
}

void TargetCall::setPaused(bool paused)
{
    if (!this->d->call || this->d->paused == paused) {
        return;
    }
    this->d->paused = paused;
    this->d->heardAt = Millis::monotonicNow();
    const std::shared_ptr<HttpCall> call = this->d->call;
    if (paused) {
        call->pause();
    } else {
        call->resume();
    }
}

} // namespace Sequoiausher
