#include "sequoiausher/transport/router/answerwriter.h"

namespace Sequoiausher {

namespace {

constexpr std::int64_t millisPerSecond = 1000;

std::string sentenceOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::RateLimited:
        return "The organisation's limit is reached.";
    case RefusalReason::NoTarget:
        return "No target can take the request.";
    case RefusalReason::PoolFull:
        return "Every target is busy.";
    case RefusalReason::NoQuorum:
        return "Too few routers could confirm that the idempotency key is unused.";
    case RefusalReason::KeyReused:
        return "The idempotency key was used before for a different request.";
    case RefusalReason::DeadlinePassed:
        return "The deadline has passed.";
    case RefusalReason::RouterPaused:
        return "The router was paused and did not send the request.";
    case RefusalReason::TargetUnreachable:
        return "No target could be reached.";
    case RefusalReason::OutcomeUnknown:
        return "The request may have run, and is not run again.";
    case RefusalReason::ClientGone:
        return "The caller went away.";
    case RefusalReason::Stopping:
        return "The router is stopping.";
    }
    return "The request cannot be served.";
}

} // namespace

ApiError refusalError(const Refuse &refuse)
{
    return ApiError{refuse.status, std::string(nameOf(refuse.reason)), sentenceOf(refuse.reason), ""};
}

AnswerWriter::AnswerWriter(std::shared_ptr<HttpExchange> exchange,
                           const RequestId &theRequest,
                           const InstanceId &theRouter)
    : http(std::move(exchange))
    , request(theRequest)
    , router(theRouter)
{
}

HttpHeaders AnswerWriter::commonHeaders(Ran ran) const
{
    HttpHeaders common;
    common.add("X-Request-Id", this->request.toHex());
    common.add("X-Router", this->router.value);
    common.add("X-Ran", std::string(nameOf(ran)));
    return common;
}

void AnswerWriter::attachedTo(const RequestId &attempt)
{
    this->request = attempt;
}

void AnswerWriter::head(int answerStatus,
                        const std::string &contentType,
                        bool streamed,
                        Ran ran,
                        const TargetId &target)
{
    this->status = answerStatus;
    this->headers = this->commonHeaders(ran);
    if (!target.empty()) {
        this->headers.add("X-Target", target.value);
    }
    if (!contentType.empty()) {
        this->headers.add("Content-Type", contentType);
    }
    this->streaming = streamed;
    if (streamed) {
        this->headers.add("Cache-Control", "no-cache");
        this->http->startStream(answerStatus, this->headers);
    }
}

void AnswerWriter::part(std::string_view bytes)
{
    if (this->ended) {
        return;
    }
    if (this->streaming) {
        this->http->writeChunk(bytes);
    } else {
        this->whole.append(bytes);
    }
}

void AnswerWriter::end()
{
    if (this->ended) {
        return;
    }
    this->ended = true;
    if (this->streaming) {
        this->http->endStream();
    } else {
        this->http->respond(this->status, this->headers, this->whole);
    }
}

void AnswerWriter::error(const ApiError &error, Ran ran, Millis retryAfter)
{
    if (this->ended) {
        return;
    }
    this->ended = true;
    HttpHeaders fields = this->commonHeaders(ran);
    fields.add("Content-Type", "application/json");
    if (retryAfter > Millis{0}) {
        const std::int64_t seconds = (retryAfter.count + millisPerSecond - 1) / millisPerSecond;
        fields.add("Retry-After", std::to_string(seconds));
    }
    this->http->respond(error.status, fields, errorBody(error));
}

void AnswerWriter::breakOff(const ApiError &error)
{
    if (this->ended) {
        return;
    }
    if (!this->streaming) {
        this->error(error, Ran::Unknown, Millis{0});
        return;
    }
    this->ended = true;
    this->http->writeChunk(errorEvent(error));
    this->http->endStream();
}

HttpExchange &AnswerWriter::exchange()
{
    return *this->http;
}

} // namespace Sequoiausher
