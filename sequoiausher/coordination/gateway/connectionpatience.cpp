#include "sequoiausher/coordination/gateway/connectionpatience.h"

#include <algorithm>

namespace Sequoiausher {

Millis announcedIdleTime(Millis limit)
{
    // Four fifths, as callers are promised by the operators: 3 s less than the usual 15.
    constexpr std::int64_t parts = 4;
    constexpr std::int64_t partsOf = 5;
    return limit * parts / partsOf;
}

IdleClock::IdleClock(Millis now, Millis limit) : answeredAt(now), takenAt(now), promised(limit)
{
}

void IdleClock::answered(Millis now, Millis limit)
{
    this->answeredAt = now;
    this->takenAt.reset();
    this->promised = limit;
}

void IdleClock::observe(Millis now, bool isAcknowledged)
{
    if (isAcknowledged && !this->takenAt) {
        this->takenAt = now;
    }
}

bool IdleClock::isTaken() const
{
    return this->takenAt.has_value();
}

Millis IdleClock::since(Millis now) const
{
    return std::min(this->takenAt.value_or(now), this->answeredAt + this->promised);
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
    return now - request.heardAt >= idleTime ? PartialVerdict::BodyStopped : PartialVerdict::Wait;
}

} // namespace Sequoiausher
