#include "sequoiausher/coordination/gateway/attemptoutcome.h"

namespace Sequoiausher {

namespace {

constexpr int statusRequestTimeout = 408;
constexpr int statusMisdirected = 421;
constexpr int statusTooManyRequests = 429;
constexpr int firstServerError = 500;
constexpr int statusUnavailable = 503;

bool isDeclaredNotRun(const AnswerState &state)
{
    return state.hasHead && (state.didNotRun || state.isMisdirected);
}

AttemptOutcome notRun(const AnswerState &state)
{
    return {AttemptEnd::NotRun, state.isMisdirected ? TargetOutcome::Misdirected : TargetOutcome::Full};
}

} // namespace

std::optional<AttemptOutcome> classifyCompleteAnswer(const AnswerState &state)
{
    if (isDeclaredNotRun(state)) {
        return notRun(state);
    }
    // A target whose run crashed ends its answer as it would end a whole one, in each framing.
    const AttemptOutcome broken{AttemptEnd::Broken, TargetOutcome::Lost};
    if (state.isInsideEvent || (state.isEmptyStream && state.end != AnswerEnd::Framing)) {
        return broken;
    }
    // An answer that is not forwarded as it arrives cannot continue the stream that the caller has in part.
    const bool isRetried = state.status >= firstServerError && state.isIdempotent;
    if (state.isAnswerBegun ? !state.isForwardedAsItArrives : isRetried) {
        return AttemptOutcome{AttemptEnd::Failed, TargetOutcome::Failed};
    }
    return state.end == AnswerEnd::UnconfirmedClose ? std::optional(broken) : std::nullopt;
}

AttemptOutcome classifyLostAnswer(const AnswerState &state, AttemptEnd how)
{
    return isDeclaredNotRun(state) ? notRun(state) : AttemptOutcome{how, TargetOutcome::Lost};
}

std::optional<AttemptOutcome> classifyAbandonedWait(WaitDecision decision, bool hasHead)
{
    switch (decision) {
    case WaitDecision::DeadlineExceeded:
        return AttemptOutcome{AttemptEnd::DeadlineExceeded, hasHead ? TargetOutcome::Neutral : TargetOutcome::Lost};
    case WaitDecision::NoConnection:
        return AttemptOutcome{AttemptEnd::NotSent, TargetOutcome::Lost};
    case WaitDecision::Lost:
        return AttemptOutcome{hasHead ? AttemptEnd::Broken : AttemptEnd::NoAnswer, TargetOutcome::Neutral};
    case WaitDecision::RetryElsewhere:
        return AttemptOutcome{AttemptEnd::Silent, TargetOutcome::Lost};
    case WaitDecision::KeepWaiting:
        break;
    }
    return std::nullopt;
}

TargetOutcome markForStatus(int status)
{
    return status >= firstServerError ? TargetOutcome::Failed : TargetOutcome::Answered;
}

bool falselyImpliesNotRun(int status, bool didNotRun)
{
    const bool impliesNotRun = status == statusTooManyRequests || status == statusUnavailable
        || status == statusRequestTimeout || status == statusMisdirected;
    return impliesNotRun && !didNotRun;
}

} // namespace Sequoiausher
