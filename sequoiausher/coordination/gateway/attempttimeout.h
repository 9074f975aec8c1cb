#pragma once

// For how long a request waits at the target that it was sent to: until its time is over, until the target proves dead,
// or until another one would most likely answer sooner. No sockets and no clock: the exchange that carries the request
// asks now and then, and obeys.
//
//     switch (checkWait(state)) {
//     case WaitDecision::KeepWaiting: return;
//     case WaitDecision::RetryElsewhere: ...
//     }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstdint>

namespace Sequoiausher {

/** What is known of a request that is at a target. */
struct WaitState
{
    Millis now;
    /** When its final answer is due. */
    Millis deadline;
    Millis sentAt;
    /** When something of its answer last arrived; sentAt before the first. */
    Millis lastPartAt;
    /** When the target last sent anything, to whichever request; 0 for never. */
    Millis targetActiveAt;
    bool isConnected = false;
    /** A stream of which the target has sent events. */
    bool hasEvents = false;
    /** The caller takes less than the target sends, so that the target is not read. */
    bool isReadingPaused = false;
    /** The target has started again since, or another instance has its name: whoever had the request is gone. */
    bool isLifeOver = false;
    /** It may run at another target too, and has tries left. */
    bool mayRunElsewhere = false;
    Millis latencyAim;
    /** The longest pause between two events that is still on time. */
    Millis gapAim;
    /** How long the service usually takes to begin an answer. */
    Millis usualFirstAnswer;
};

/** What to do. */
enum class WaitDecision {
    KeepWaiting,
    /** The caller's or the route's time is over. */
    DeadlineExceeded,
    /** Nobody took the connection: nothing was sent. */
    NoConnection,
    /** The answer will never come. */
    Lost,
    /** Another target would most likely answer sooner, if there is one and the budget has a retry left. */
    RetryElsewhere,
};

template<>
inline constexpr auto nameTable<WaitDecision> = std::to_array<NameEntry<WaitDecision>>({
    {WaitDecision::KeepWaiting, "go-on"},
    {WaitDecision::DeadlineExceeded, "time-up"},
    {WaitDecision::NoConnection, "no-connection"},
    {WaitDecision::Lost, "lost"},
    {WaitDecision::RetryElsewhere, "better-elsewhere"},
});

/** Judges one moment of a wait. */
WaitDecision checkWait(const WaitState &state);

} // namespace Sequoiausher
