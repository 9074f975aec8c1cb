#include "sequoiausher/coordination/gateway/requestattempts.h"

#include <utility>

namespace Sequoiausher {

RequestAttempts::RequestAttempts(const AttemptBounds &given) : bounds(given)
{
}

void RequestAttempts::recordTarget(const TargetId &target)
{
    this->triedTargets.push_back(target);
}

void RequestAttempts::recordSent()
{
    this->used += 1;
}

void RequestAttempts::markAnswerNotResumable()
{
    this->canResumeAnswer = false;
}

void RequestAttempts::recordEnd(AttemptEnd end, bool mayHaveArrived)
{
    if (end == AttemptEnd::NotSent) {
        this->used -= 1;
    } else if (end != AttemptEnd::NotRun) {
        this->hasPerhapsRun = this->hasPerhapsRun || mayHaveArrived;
    }
}

NextStep RequestAttempts::decideNext(AttemptEnd end, bool isAnswerBegun, Millis now, RetrySource &source)
{
    AttemptState state;
    state.isIdempotent = this->bounds.isIdempotent;
    state.mayHaveRun = this->hasPerhapsRun;
    state.isAnswerBegun = isAnswerBegun;
    state.targetsUsed = this->used;
    state.mostTargets = this->bounds.mostTargets;
    state.timeLeft = this->bounds.deadline - now;
    state.isRetryAllowed = this->bounds.mayRetry;
    state.canResumeAnswer = this->canResumeAnswer;
    if (decideNextStep(state, end) == NextStep::SendAgain) {
        state.isRetryAllowed = source.findTarget(now) && (this->used == 0 || this->takeRetryOnce(now, source));
    }
    return decideNextStep(state, end);
}

LeaveDecision RequestAttempts::tryLeaveTarget(Millis now, RetrySource &source)
{
    if (!source.findTarget(now)) {
        return LeaveDecision::NoTarget;
    }
    this->hasTakenRetry = this->takeRetryOnce(now, source);
    return this->hasTakenRetry ? LeaveDecision::Leave : LeaveDecision::NoRetry;
}

bool RequestAttempts::takeRetryOnce(Millis now, RetrySource &source)
{
    return std::exchange(this->hasTakenRetry, false) || source.takeRetry(now);
}

bool RequestAttempts::mayHaveRun() const
{
    return this->hasPerhapsRun;
}

bool RequestAttempts::mayRunElsewhere() const
{
    const bool hasAttemptsLeft = this->bounds.mayRetry && this->used < this->bounds.mostTargets;
    return hasAttemptsLeft && this->bounds.isIdempotent && this->canResumeAnswer;
}

const std::vector<TargetId> &RequestAttempts::tried() const
{
    return this->triedTargets;
}

std::uint32_t RequestAttempts::targetsUsed() const
{
    return this->used;
}

} // namespace Sequoiausher
