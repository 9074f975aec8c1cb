#include "sequoiausher/coordination/gateway/attempttimeout.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A target in the same region answers a connection within a few milliseconds; a dead one never does. */
constexpr Millis connectTimeout{400};
/**
 * The part of the aim after which a request that may run twice is better off elsewhere: less where its target has said
 * nothing to anybody since it was sent, and is most likely dead; more where the target is at work and only slow, since
 * another one would have to read the prompt anew.
 */
constexpr double quietTargetAimFactor = 0.7;
constexpr double activeTargetAimFactor = 1.5;
/** And how many times the usual time a target may take before that. */
constexpr std::int64_t usualTimeFactor = 4;
/** A stream that pauses for so many times what its route calls late has lost its target. */
constexpr std::int64_t gapAimFactor = 4;
constexpr Millis minGapTimeout{1200};
/** What a life that is over had sent is here after so long: an answer that was ready is still given. */
constexpr Millis restartGrace{400};

Millis computeFirstAnswerTimeout(const WaitState &state)
{
    const bool isAtWork = state.targetActiveAt > state.sentAt;
    const double share = isAtWork ? activeTargetAimFactor : quietTargetAimFactor;
    const auto part = static_cast<std::int64_t>(static_cast<double>(state.latencyAim.count) * share);
    return std::max(Millis{part}, state.usualFirstAnswer * usualTimeFactor);
}

Millis computeAnswerTimeout(const WaitState &state)
{
    return state.hasEvents ? std::max(state.gapAim * gapAimFactor, minGapTimeout) : computeFirstAnswerTimeout(state);
}

} // namespace

WaitDecision checkWait(const WaitState &state)
{
    if (state.now >= state.deadline) {
        return WaitDecision::DeadlineExceeded;
    }
    if (!state.isConnected) {
        return state.now - state.sentAt >= connectTimeout ? WaitDecision::NoConnection : WaitDecision::KeepWaiting;
    }
    if (state.isReadingPaused) {
        return WaitDecision::KeepWaiting;
    }
    const Millis silence = state.now - state.lastPartAt;
    if (state.isLifeOver && silence >= restartGrace) {
        return WaitDecision::Lost;
    }
    const bool isOverdue = silence >= computeAnswerTimeout(state);
    return isOverdue && state.mayRunElsewhere ? WaitDecision::RetryElsewhere : WaitDecision::KeepWaiting;
}

} // namespace Sequoiausher
