#include "sequoiausher/coordination/gateway/attemptverdict.h"

namespace Sequoiausher {

namespace {

constexpr int statusRequestTimeout = 408;
constexpr int statusMisdirected = 421;
constexpr int statusTooMany = 429;
constexpr int firstFailure = 500;
constexpr int statusUnavailable = 503;

bool saysNotRun(const AnswerState &state)
{
    return state.hasHead && (state.didNotRun || state.isMisdirected);
}

AttemptVerdict notRun(const AnswerState &state)
{
    return {AttemptEnd::NotRun, state.isMisdirected ? TargetOutcome::Lost : TargetOutcome::Full};
}

} // namespace

std::optional<AttemptVerdict> judgeWhole(const AnswerState &state)
{
    if (saysNotRun(state)) {
        return notRun(state);
    }
    const AttemptVerdict failed{AttemptEnd::Failed, TargetOutcome::Failed};
    if (state.isAnswerBegun) {
        // Otherwise the target that was to go on with a stream gives no stream.
        return state.isGivenAsItComes ? std::nullopt : std::optional(failed);
    }
    return state.status >= firstFailure && state.isIdempotent ? std::optional(failed) : std::nullopt;
}

AttemptVerdict judgeLost(const AnswerState &state, AttemptEnd how)
{
    return saysNotRun(state) ? notRun(state) : AttemptVerdict{how, TargetOutcome::Lost};
}

std::optional<AttemptVerdict> judgeGivenUp(WaitVerdict verdict, bool hasHead)
{
    switch (verdict) {
    case WaitVerdict::TimeUp:
        return AttemptVerdict{AttemptEnd::TimeUp, hasHead ? TargetOutcome::Neutral : TargetOutcome::Lost};
    case WaitVerdict::NoConnection:
        return AttemptVerdict{AttemptEnd::NotSent, TargetOutcome::Lost};
    case WaitVerdict::Lost:
        return AttemptVerdict{hasHead ? AttemptEnd::Broken : AttemptEnd::NoAnswer, TargetOutcome::Neutral};
    case WaitVerdict::BetterElsewhere:
        return AttemptVerdict{AttemptEnd::Silent, TargetOutcome::Lost};
    case WaitVerdict::GoOn:
        break;
    }
    return std::nullopt;
}

TargetOutcome markOfAnswer(int status)
{
    return status >= firstFailure ? TargetOutcome::Failed : TargetOutcome::Answered;
}

bool promisesTooMuch(int status, bool didNotRun)
{
    const bool promises = status == statusTooMany || status == statusUnavailable || status == statusRequestTimeout
        || status == statusMisdirected;
    return promises && !didNotRun;
}

} // namespace Sequoiausher
