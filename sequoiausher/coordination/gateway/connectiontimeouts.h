#pragma once

// For how long a caller's connection on which no answer is under way stays open, and when a request that stops in the
// middle is given up. No sockets and no clock: the connection asks now and then, and obeys.
//
//     IdleClock idle(now, limits.idleTime);
//     idle.recordAnswer(now, limits.idleTime);            // an answer was handed to the kernel
//     idle.observe(now, unacknowledgedBytes);         // later, until it is taken
//     if (idle.isOver(now, limits.idleTime)) { ... }
//
// What goes wrong without it: callers count their idle time from when they have an answer, and by the limit that they
// know. A gateway that counts from when it wrote the answer, or by a limit that shrank meanwhile, closes connections
// that are still in use, and the next request meets the close.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <optional>

namespace Sequoiausher {

/**
 * For how long callers are told that they may leave a connection idle: so much less than the limit that a request of a
 * caller that keeps to it does not meet the close, also where it is seconds on its way over a link that is full.
 */
Millis announcedIdleTime(Millis limit);

/** Counts how long a connection has been idle as its caller counts it. */
class IdleClock
{
public:
    /** A connection that was just accepted. @param idleLimit the idle limit in force. */
    IdleClock(Millis now, Millis idleLimit);

    /** An answer was handed to the kernel; the connection is idle from when its caller has it. */
    void recordAnswer(Millis now, Millis idleLimit);
    /** How much of it the caller has not acknowledged yet. Need not be called again once isAcknowledged(). */
    void observe(Millis now, std::size_t unacknowledgedBytes);
    /** The caller has the last answer. */
    bool isAcknowledged() const;

    /**
     * Since when the connection is idle. An answer of which nothing was taken for one limit counts as taken, so that a
     * caller that is gone without a word does not hold its connection for ever; one that takes it slowly gets it whole.
     */
    Millis since(Millis now) const;
    /**
     * Whether it may be closed: the longest limit that was in force since the answer is over.
     * @param limit the one in force now.
     */
    bool isOver(Millis now, Millis limit);

private:
    /** When the answer was handed over, or the caller last acknowledged a part of it. */
    Millis progressAt;
    std::optional<std::size_t> unacknowledged;
    std::optional<Millis> acknowledgedAt;
    Millis idleLimit;
};

/** A request of which a part has come. */
struct PartialRequest
{
    /** When its first byte came. */
    Millis firstByteAt;
    /** When its last byte so far came. */
    Millis lastByteAt;
    bool hasHead = false;
};

/** What to do with it. */
enum class PartialRequestDecision {
    Wait,
    /** The head takes longer than allowed. */
    HeadTooSlow,
    /** The head is there, and nothing of the body came for longer than a connection may be idle. */
    BodyStopped,
    /** The body comes, but so slowly that it would hold its connection and memory for minutes. */
    BodyTooSlow,
};

template<>
inline constexpr auto nameTable<PartialRequestDecision> = std::to_array<NameEntry<PartialRequestDecision>>({
    {PartialRequestDecision::Wait, "wait"},
    {PartialRequestDecision::HeadTooSlow, "the head took too long"},
    {PartialRequestDecision::BodyStopped, "the body stopped"},
    {PartialRequestDecision::BodyTooSlow, "the body took too long"},
});

/** Judges one moment of it. */
PartialRequestDecision checkPartialRequest(const PartialRequest &request, Millis now, Millis headTime, Millis idleTime);

} // namespace Sequoiausher
