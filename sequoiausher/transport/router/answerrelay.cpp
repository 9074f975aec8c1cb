#include "sequoiausher/transport/router/answerrelay.h"

#include "sequoiausher/transport/router/flowresults.h"
#include "sequoiausher/transport/router/node.h"

#include <utility>

namespace Sequoiausher {

namespace {

constexpr int firstErrorStatus = 400;
constexpr int statusUnavailable = 503;
/** Reading from the target pauses above the first number of bytes that wait for the client, until the second. */
constexpr std::size_t pauseAbove = std::size_t{1} << 20U;
constexpr std::size_t resumeBelow = std::size_t{256} << 10U;

} // namespace

AnswerRelay::AnswerRelay(const SessionContext &theContext, const SessionOrder &theOrder)
    : context(theContext)
    , order(theOrder)
    , writer(theOrder.exchange, theOrder.request, theContext.node.self())
    , record(theContext.node.answers(), theOrder.request)
    , clock(theContext.metrics, theOrder.labels)
{
}

RequestTimes &AnswerRelay::times()
{
    return this->clock;
}

AnswerKeeper &AnswerRelay::kept()
{
    return this->record;
}

void AnswerRelay::attachedTo(const RequestId &attempt)
{
    this->writer.attachedTo(attempt);
}

void AnswerRelay::head(int status, const std::string &contentType, const TargetId &target)
{
    // An error of a target does not state whether it ran the request.
    const Ran ran = status < firstErrorStatus ? Ran::Yes : Ran::Unknown;
    this->writer.head(status, contentType, this->order.parsed.streamed, ran, target);
    this->record.setHead(status, contentType);
}

bool AnswerRelay::part(std::string_view bytes)
{
    this->clock.part(Millis::monotonicNow());
    this->record.append(bytes);
    this->writer.part(bytes);
    return this->writer.exchange().bytesToWrite() > pauseAbove;
}

void AnswerRelay::whenDrained(std::function<void()> callback)
{
    this->writer.exchange().onDrained(resumeBelow, std::move(callback));
}

void AnswerRelay::complete(Outcome outcome, bool mayHaveRun)
{
    this->writer.end();
    if (outcome == Outcome::Attached) {
        // Not as soon as another attempt is read: if that one turns out not to have run, this one runs.
        this->record.setCopy();
    }
    this->finishKept(AnswerState::Complete, "", mayHaveRun);
    this->count(outcome);
}

void AnswerRelay::refuse(const Refuse &refusal, bool mayHaveRun, bool answer)
{
    if (answer) {
        this->writer.error(refusalError(refusal), refusal.ran, refusal.retryAfter);
    }
    // The record of a request that may have run is kept; the key of one that did not run is free for the next attempt.
    const AnswerState state = mayHaveRun ? AnswerState::Broken : AnswerState::NotRun;
    this->finishKept(state, std::string(nameOf(refusal.reason)), mayHaveRun);
    this->count(outcomeOf(refusal));
    this->logRefusal(refusal);
}

void AnswerRelay::breakOff(RefusalReason reason, bool mayHaveRun)
{
    this->writer.breakOff(refusalError(Refuse{statusUnavailable, Ran::Unknown, reason, {}}));
    this->finishKept(AnswerState::Broken, std::string(nameOf(reason)), mayHaveRun);
    this->count(Outcome::Broken);
}

void AnswerRelay::joinedHead(const AnswerHead &head)
{
    this->writer.head(static_cast<int>(head.status), head.contentType, this->order.parsed.streamed, Ran::Yes, {});
}

void AnswerRelay::joinedPart(std::string_view bytes)
{
    this->writer.part(bytes);
}

void AnswerRelay::completeJoined()
{
    this->writer.end();
    this->count(Outcome::Attached);
}

void AnswerRelay::breakOffJoined(const Refuse &refusal)
{
    this->writer.breakOff(refusalError(refusal));
    this->count(Outcome::Broken);
}

void AnswerRelay::finishKept(AnswerState state, const std::string &reason, bool mayHaveRun)
{
    const bool wasKept = this->record.finish(Millis::monotonicNow(), state, reason);
    if (wasKept && mayHaveRun) {
        this->context.node.finished(this->order.request);
    }
}

void AnswerRelay::count(Outcome outcome)
{
    if (!std::exchange(this->counted, true)) {
        this->context.metrics.countOutcome(this->order.labels, outcome);
    }
}

void AnswerRelay::logRefusal(const Refuse &refusal) const
{
    if (refusal.retryAfter <= Millis{0} && refusal.ran == Ran::No) {
        return;
    }
    this->context.log.info(LogPart::Entry,
                           "a request is refused",
                           {{"reason", std::string(nameOf(refusal.reason))},
                            {"ran", std::string(nameOf(refusal.ran))},
                            {"organisation", this->order.labels.organisation.value},
                            {"request", this->order.request.toHex()}});
}

} // namespace Sequoiausher
