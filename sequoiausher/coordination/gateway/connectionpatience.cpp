#include "sequoiausher/coordination/gateway/connectionpatience.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/**
 * A body may take so many idle limits from the first byte of its request: a minute by the usual limit, enough for the
 * usual 4 MB over a link of 1 Mbit/s. Without it one byte each few seconds would hold a connection for ever.
 */
constexpr std::int64_t mostBodyLimits = 4;

} // namespace

Millis announcedIdleTime(Millis limit)
{
    // Four fifths, as callers are promised by the operators: 3 s less than the usual 15.
    constexpr std::int64_t parts = 4;
    constexpr std::int64_t partsOf = 5;
    return limit * parts / partsOf;
}

IdleClock::IdleClock(Millis now, Millis limit) : progressAt(now), takenAt(now), promised(limit)
{
}

void IdleClock::answered(Millis now, Millis limit)
{
    this->progressAt = now;
    this->unacknowledged.reset();
    this->takenAt.reset();
    this->promised = limit;
}

void IdleClock::observe(Millis now, std::size_t unacknowledgedBytes)
{
    if (this->takenAt) {
        return;
    }
    if (unacknowledgedBytes == 0) {
        this->takenAt = now;
    } else if (this->unacknowledged && unacknowledgedBytes < *this->unacknowledged) {
        this->progressAt = now;
    }
    this->unacknowledged = unacknowledgedBytes;
}

bool IdleClock::isTaken() const
{
    return this->takenAt.has_value();
}

Millis IdleClock::since(Millis now) const
{
    return this->takenAt.value_or(std::min(now, this->progressAt + this->promised));
}

bool IdleClock::isOver(Millis now, Millis limit)
{
    this->promised = std::max(this->promised, limit);
    return now - this->since(now) >= this->promised;
}

PartialVerdict judgePartial(const PartialRequest &request, Millis now, Millis headTime, Millis idleTime)
{
    if (!request.hasHead) {
        return now - request.begunAt >= headTime ? PartialVerdict::HeadTooSlow : PartialVerdict::Wait;
    }
    if (now - request.heardAt >= idleTime) {
        return PartialVerdict::BodyStopped;
    }
    return now - request.begunAt >= idleTime * mostBodyLimits ? PartialVerdict::BodyTooSlow : PartialVerdict::Wait;
}

} // namespace Sequoiausher
