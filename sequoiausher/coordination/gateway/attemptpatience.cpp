#include "sequoiausher/coordination/gateway/attemptpatience.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A target in the same region answers a connection within a few milliseconds; a dead one never does. */
constexpr Millis connectPatience{400};
/**
 * The part of the aim after which a request that may run twice is better off elsewhere: less where its target has said
 * nothing to anybody since it was sent, and is most likely dead; more where the target is at work and only slow, since
 * another one would have to read the prompt anew.
 */
constexpr double patientPart = 0.7;
constexpr double patientPartAtWork = 1.5;
/** And how many times the usual time a target may take before that. */
constexpr std::int64_t patientTimes = 4;
/** A stream that pauses for so many times what its route calls late has lost its target. */
constexpr std::int64_t patientGaps = 4;
constexpr Millis leastGapPatience{1200};
/** What a life that is over had sent is here after so long: an answer that was ready is still given. */
constexpr Millis lastWordsTime{400};

Millis firstAnswerPatience(const WaitState &state)
{
    const bool isAtWork = state.targetHeardAt > state.sentAt;
    const double share = isAtWork ? patientPartAtWork : patientPart;
    const auto part = static_cast<std::int64_t>(static_cast<double>(state.latencyAim.count) * share);
    return std::max(Millis{part}, state.usualFirstAnswer * patientTimes);
}

Millis patience(const WaitState &state)
{
    return state.hasEvents ? std::max(state.gapAim * patientGaps, leastGapPatience) : firstAnswerPatience(state);
}

} // namespace

WaitVerdict judgeWait(const WaitState &state)
{
    if (state.now >= state.deadline) {
        return WaitVerdict::TimeUp;
    }
    if (!state.isConnected) {
        return state.now - state.sentAt >= connectPatience ? WaitVerdict::NoConnection : WaitVerdict::GoOn;
    }
    if (state.isReadingPaused) {
        return WaitVerdict::GoOn;
    }
    const Millis silence = state.now - state.lastPartAt;
    if (state.isLifeOver && silence >= lastWordsTime) {
        return WaitVerdict::Lost;
    }
    const bool isOverdue = silence >= patience(state);
    return isOverdue && state.mayRunElsewhere ? WaitVerdict::BetterElsewhere : WaitVerdict::GoOn;
}

} // namespace Sequoiausher
