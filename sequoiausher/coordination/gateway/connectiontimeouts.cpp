#include "sequoiausher/coordination/gateway/connectiontimeouts.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/**
 * The time that a body may take from the first byte of its request, in idle limits. It is a minute by the usual limit,
 * enough for the usual 4 MB over a link of 1 Mbit/s. Without this bound, one byte every few seconds would hold a
 * connection for ever.
 */
constexpr std::int64_t maxBodyTimeInIdleLimits = 4;

} // namespace

Millis announcedIdleTime(Millis limit)
{
    // Operators promise callers four fifths of the limit: 3 s less than the usual 15 s.
    constexpr std::int64_t parts = 4;
    constexpr std::int64_t partsOf = 5;
    return limit * parts / partsOf;
}

Millis usableIdleTime(Millis targetIdleTime)
{
    constexpr std::int64_t marginDivisor = 10;
    constexpr Millis minMargin{500};
    return std::max(targetIdleTime - std::max(targetIdleTime / marginDivisor, minMargin), Millis{0});
}

IdleClock::IdleClock(Millis now, Millis limit) : progressAt(now), acknowledgedAt(now), idleLimit(limit)
{
}

void IdleClock::recordAnswer(Millis now, Millis limit)
{
    this->progressAt = now;
    this->unacknowledged.reset();
    this->acknowledgedAt.reset();
    this->idleLimit = limit;
}

void IdleClock::recordUnacknowledged(Millis now, std::size_t unacknowledgedBytes)
{
    if (this->acknowledgedAt) {
        return;
    }
    if (unacknowledgedBytes == 0) {
        this->acknowledgedAt = now;
    } else if (this->unacknowledged && unacknowledgedBytes < *this->unacknowledged) {
        this->progressAt = now;
    }
    this->unacknowledged = unacknowledgedBytes;
}

bool IdleClock::isAcknowledged() const
{
    return this->acknowledgedAt.has_value();
}

Millis IdleClock::idleSince(Millis now) const
{
    return this->acknowledgedAt.value_or(std::min(now, this->progressAt + this->idleLimit));
}

bool IdleClock::isOver(Millis now, Millis limit)
{
    this->idleLimit = std::max(this->idleLimit, limit);
    return now - this->idleSince(now) >= this->idleLimit;
}

PartialRequestDecision checkPartialRequest(const PartialRequest &request, Millis now, Millis headTime, Millis idleTime)
{
    if (!request.hasHead) {
        return now - request.firstByteAt >= headTime ? PartialRequestDecision::HeadTooSlow
                                                     : PartialRequestDecision::Wait;
    }
    if (now - request.lastByteAt >= idleTime) {
        return PartialRequestDecision::BodyStopped;
    }
    return now - request.firstByteAt >= idleTime * maxBodyTimeInIdleLimits ? PartialRequestDecision::BodyTooSlow
                                                                           : PartialRequestDecision::Wait;
}

} // namespace Sequoiausher
