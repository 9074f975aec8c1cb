#include "sequoiausher/coordination/gateway/attempttimeout.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A live target in the same region accepts a connection within a few milliseconds; a dead one never does. */
constexpr Millis connectTimeout{400};
/**
 * The multiple of the latency aim after which a request that may run twice leaves its target. The multiple is smaller
 * for a target that has sent nothing for any request since this one was sent, and so is most likely dead. It is larger
 * for a target that is active and only slow, since another target would have to process the prompt again.
 */
constexpr double quietTargetAimFactor = 0.7;
constexpr double activeTargetAimFactor = 1.5;
/** A request also stays at its target for at least this multiple of the usual time to the first part of an answer. */
constexpr std::int64_t usualTimeFactor = 4;
/**
 * A stream that has paused for this multiple of its route's gap aim, and for at least minGapTimeout, is resumed at
 * another target if that is allowed.
 */
constexpr std::int64_t gapAimFactor = 4;
constexpr Millis minGapTimeout{1200};
/**
 * A request to a target that has restarted is given up once nothing has arrived for this long. By then everything that
 * the old process sent has arrived, so an answer that was already sent is still delivered.
 */
constexpr Millis restartGrace{400};
/** The same for a path that was cut: what the target sent before the cut has arrived by then. */
constexpr Millis cutPathGrace{250};

/**
 * A sound target may stand still for this long and then go on with all that it has. A request that must run at one
 * target at a time does not go on elsewhere meanwhile. A target that sent something, to whomever, within activeTime
 * does not stand still, and notices at once that the request leaves it.
 */
constexpr Millis longestPause{1500};
constexpr Millis activeTime{150};

bool mayStandStill(const WaitState &state)
{
    const Millis silence = state.now - std::max(state.targetActiveAt, std::max(state.sentAt, state.lastPartAt));
    return silence >= activeTime && silence < longestPause;
}

Millis computeFirstAnswerTimeout(const WaitState &state)
{
    const bool isTargetActive = state.targetActiveAt > state.sentAt;
    const double factor = isTargetActive ? activeTargetAimFactor : quietTargetAimFactor;
    const auto fromAim = static_cast<std::int64_t>(static_cast<double>(state.latencyAim.count) * factor);
    return std::max(Millis{fromAim}, state.usualFirstAnswer * usualTimeFactor);
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
    if (state.isProcessGone && silence >= restartGrace) {
        return WaitDecision::Lost;
    }
    if (!state.mayRunTwiceAtOnce && !state.isPathCut && mayStandStill(state)) {
        return WaitDecision::KeepWaiting;
    }
    const bool isOverdue = silence >= (state.isPathCut ? cutPathGrace : computeAnswerTimeout(state));
    return isOverdue && state.mayRunElsewhere ? WaitDecision::RetryElsewhere : WaitDecision::KeepWaiting;
}

} // namespace Sequoiausher
