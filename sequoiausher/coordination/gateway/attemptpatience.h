#pragma once

// For how long a request waits at the target that it was sent to: until its time is over, until the target proves dead,
// or until another one would most likely answer sooner. No sockets and no clock: the exchange that carries the request
// asks now and then, and obeys.
//
//     switch (judgeWait(state)) {
//     case WaitVerdict::GoOn: return;
//     case WaitVerdict::BetterElsewhere: ...
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
    Millis targetHeardAt;
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
enum class WaitVerdict {
    GoOn,
    /** The caller's or the route's time is over. */
    TimeUp,
    /** Nobody took the connection: nothing was sent. */
    NoConnection,
    /** The answer will never come. */
    Lost,
    /** Another target would most likely answer sooner, if there is one and the budget has a retry left. */
    BetterElsewhere,
};

template<>
inline constexpr auto nameTable<WaitVerdict> = std::to_array<NameEntry<WaitVerdict>>({
    {WaitVerdict::GoOn, "go-on"},
    {WaitVerdict::TimeUp, "time-up"},
    {WaitVerdict::NoConnection, "no-connection"},
    {WaitVerdict::Lost, "lost"},
    {WaitVerdict::BetterElsewhere, "better-elsewhere"},
});

/** Judges one moment of a wait. */
WaitVerdict judgeWait(const WaitState &state);

} // namespace Sequoiausher
