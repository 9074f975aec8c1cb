#pragma once

// Decides how long a caller's connection without a request in flight stays open, and when a request that stops arriving
// is rejected. Uses no sockets and no clock: the connection calls this code periodically and acts on the result.
//
//     IdleClock idle(now, limits.idleTime);
//     idle.recordAnswer(now, limits.idleTime);                // an answer was handed to the kernel
//     idle.recordUnacknowledged(now, unacknowledgedBytes);    // periodically, until the caller has the answer
//     if (idle.isOver(now, limits.idleTime)) { ... }
//
// Callers count their idle time from when they received an answer, and by the limit that was announced to them. A
// gateway that counted from when it wrote the answer, or by a limit that was reduced meanwhile, would close connections
// that are still in use, and the next request would race with the close.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <optional>

namespace Sequoiausher {

/**
 * Returns the idle time that is announced to callers. It is so much shorter than the limit that a request of a caller
 * which keeps to it does not race with the close, even if the request takes seconds over a congested link.
 */
Millis announcedIdleTime(Millis limit);

/**
 * Returns for how long an idle connection to a target may still be used. The target closes it after its idle time, and
 * whether a request that crosses the close ran is unknown. So the connection is used for a tenth less, and at least
 * half a second less, which covers the time on a congested link. A shorter time would open connections needlessly: in a
 * large fleet a gateway uses the same target only every few seconds.
 */
Millis usableIdleTime(Millis targetIdleTime);

/** Measures how long a connection has been idle from the point of view of its caller. */
class IdleClock
{
public:
    /** Starts for a connection that was just accepted. @param idleLimit the idle limit in force. */
    IdleClock(Millis now, Millis idleLimit);

    /** Records that an answer was handed to the kernel; the connection is idle once its caller has the answer. */
    void recordAnswer(Millis now, Millis idleLimit);
    /** Records how much of the answer the caller has not acknowledged yet. Not needed once isAcknowledged(). */
    void recordUnacknowledged(Millis now, std::size_t unacknowledgedBytes);
    /** Whether the caller has acknowledged the whole of the last answer. */
    bool isAcknowledged() const;

    /**
     * Returns since when the connection has been idle. An answer without progress for one limit counts as acknowledged,
     * so that a caller that vanished without closing does not keep its connection open for ever. A caller that reads
     * slowly still gets the whole answer.
     */
    Millis idleSince(Millis now) const;
    /**
     * Whether the connection may be closed: it has been idle for the longest limit in force since the last answer.
     * @param limit the limit in force now.
     */
    bool isOver(Millis now, Millis limit);

private:
    /** When the answer was handed to the kernel, or the caller last acknowledged a part of it. */
    Millis progressAt;
    std::optional<std::size_t> unacknowledged;
    std::optional<Millis> acknowledgedAt;
    Millis idleLimit;
};

/** A request of which a part has arrived. */
struct PartialRequest
{
    /** When the first byte of the request arrived. */
    Millis firstByteAt;
    /** When the latest byte of the request arrived. */
    Millis lastByteAt;
    bool hasHead = false;
};

/** What to do with a partial request. */
enum class PartialRequestDecision {
    Wait,
    /** The head takes longer than its limit. */
    HeadTooSlow,
    /** The head is complete, and nothing of the body arrived for the idle limit of a connection. */
    BodyStopped,
    /** The body arrives so slowly that it would hold its connection and memory for minutes. */
    BodyTooSlow,
};

template<>
inline constexpr auto nameTable<PartialRequestDecision> = std::to_array<NameEntry<PartialRequestDecision>>({
    {PartialRequestDecision::Wait, "wait"},
    {PartialRequestDecision::HeadTooSlow, "the head took too long"},
    {PartialRequestDecision::BodyStopped, "the body stopped"},
    {PartialRequestDecision::BodyTooSlow, "the body took too long"},
});

/** Decides whether to keep waiting for the rest of the request at now. */
PartialRequestDecision checkPartialRequest(const PartialRequest &request, Millis now, Millis headTime, Millis idleTime);

} // namespace Sequoiausher
