#pragma once

// Decides how long a request waits at the target that it was sent to: until its deadline, until the target is known to
// be dead, or until another target would most likely answer sooner. Uses no sockets and no clock. The exchange that
// carries the request calls checkWait() periodically and acts on the result.
//
//     switch (checkWait(state)) {
//     case WaitDecision::KeepWaiting: return;
//     case WaitDecision::RetryElsewhere: ...
//     }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstdint>

namespace Sequoiausher {

/** What is known of a request that is in flight at a target. */
struct WaitState
{
    Millis now;
    /** When the final answer of the request is due. */
    Millis deadline;
    Millis sentAt;
    /** When a part of the answer last arrived; sentAt before the first part. */
    Millis lastPartAt;
    /** When the target last sent anything for any request; 0 for never. */
    Millis targetActiveAt;
    bool isConnected = false;
    /** The answer is a stream, and the target has sent events of it. */
    bool hasEvents = false;
    /** The caller reads more slowly than the target sends, so reading from the target is paused. */
    bool isReadingPaused = false;
    /**
     * The process that received the request is gone: the target has restarted since, or another instance has taken its
     * name.
     */
    bool isProcessGone = false;
    /** The connection to the target goes over a path that has been cut since. */
    bool isPathCut = false;
    /** The request may also run at another target, and has attempts left. */
    bool mayRunElsewhere = false;
    /** The request may run at two targets at the same time. */
    bool mayRunTwiceAtOnce = false;
    Millis latencyAim;
    /** The longest pause between two events that the route counts as on time. */
    Millis gapAim;
    /** How long the service usually takes to begin an answer. */
    Millis usualFirstAnswer;
};

/** What to do with a request that waits for its answer. */
enum class WaitDecision {
    KeepWaiting,
    /** The deadline of the caller or of the route has passed. */
    DeadlineExceeded,
    /** The connection was not accepted; nothing was sent. */
    NoConnection,
    /** The answer will never come. */
    Lost,
    /** Another target would most likely answer sooner, if one is available and the budget has a retry left. */
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

/** Decides whether the request keeps waiting at state.now. */
WaitDecision checkWait(const WaitState &state);

} // namespace Sequoiausher
