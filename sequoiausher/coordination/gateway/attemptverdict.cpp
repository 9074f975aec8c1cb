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
    return {AttemptEnd::NotRun, state.isMisdirected ? AttemptMark::Lost : AttemptMark::Full};
}

} // namespace

std::optional<AttemptVerdict> judgeWhole(const AnswerState &state)
{
    if (saysNotRun(state)) {
        return notRun(state);
    }
    const AttemptVerdict failed{AttemptEnd::Failed, AttemptMark::Failed};
    if (state.isAnswerBegun) {
        // Otherwise the target that was to go on with a stream gives no stream.
        return state.isGivenAsItComes ? std::nullopt : std::optional(failed);
    }
    return state.status >= firstFailure && state.isIdempotent ? std::optional(failed) : std::nullopt;
}

AttemptVerdict judgeLost(const AnswerState &state, AttemptEnd how)
{
    return saysNotRun(state) ? notRun(state) : AttemptVerdict{how, AttemptMark::Lost};
}

std::optional<AttemptVerdict> judgeGivenUp(WaitVerdict verdict, bool hasHead)
{
    switch (verdict) {
    case WaitVerdict::TimeUp:
        return AttemptVerdict{AttemptEnd::TimeUp, hasHead ? AttemptMark::Neutral : AttemptMark::Lost};
    case WaitVerdict::NoConnection:
        return AttemptVerdict{AttemptEnd::NotSent, AttemptMark::Lost};
    case WaitVerdict::Lost:
        return AttemptVerdict{hasHead ? AttemptEnd::Broken : AttemptEnd::NoAnswer, AttemptMark::Neutral};
    case WaitVerdict::BetterElsewhere:
        return AttemptVerdict{AttemptEnd::Silent, AttemptMark::Lost};
    case WaitVerdict::GoOn:
        break;
    }
    return std::nullopt;
}

AttemptMark markOfAnswer(int status)
{
    return status >= firstFailure ? AttemptMark::Failed : AttemptMark::Answered;
}

bool promisesTooMuch(int status, bool didNotRun)
{
    const bool promises = status == statusTooMany || status == statusUnavailable || status == statusRequestTimeout
        || status == statusMisdirected;
    return promises && !didNotRun;
}

} // namespace Sequoiausher
