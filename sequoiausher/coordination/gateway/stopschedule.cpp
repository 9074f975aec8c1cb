#include "sequoiausher/coordination/gateway/stopschedule.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** The fraction of the grace after which the remaining requests are cut off. */
constexpr std::int64_t cutAfterNumerator = 15;
constexpr std::int64_t cutAfterDenominator = 16;
/**
 * The fraction of the notice at its end in which nothing is begun on a guess. The notice counts from when the process
 * reads the signal, which may be later than it was sent.
 */
constexpr std::int64_t signalDelayDivisor = 60;

} // namespace

StopSchedule::StopSchedule(const OverrunLimits &given) : limits(given)
{
}

void StopSchedule::begin(const StopTimes &given, Millis now)
{
    if (!this->begunAt) {
        this->times = given;
        this->begunAt = now;
    }
}

bool StopSchedule::isBegun() const
{
    return this->begunAt.has_value();
}

std::optional<Millis> StopSchedule::timeInStop(Millis at) const
{
    return this->begunAt ? std::optional(at - *this->begunAt) : std::nullopt;
}

bool StopSchedule::isNoticeOver(Millis now) const
{
    return this->begunAt && now - *this->begunAt >= this->times.notice;
}

Millis StopSchedule::cutAt() const
{
    return this->begunAt ? *this->begunAt + this->times.grace * cutAfterNumerator / cutAfterDenominator
                         : Millis::never();
}

Millis StopSchedule::endAt() const
{
    return this->begunAt ? this->cutAt() + (*this->begunAt + this->times.grace - this->cutAt()) / 2 : Millis::never();
}

Millis StopSchedule::timeUntilTaken(StopSuccessor successor, Millis now) const
{
    if (!this->begunAt || successor == StopSuccessor::Neighbour) {
        return Millis{0};
    }
    const Millis span = successor == StopSuccessor::Elsewhere ? this->times.notice : this->times.grace;
    return std::max(*this->begunAt + span - now, Millis{0});
}

bool StopSchedule::mayBegin(const ExpectedWork &work, StopSuccessor successor, Millis now) const
{
    if (!this->isBegun()) {
        return true;
    }
    const Millis left = this->cutAt() - now;
    if (work.timeLeft <= left) {
        return left > Millis{0};
    }
    const bool mayGuess = now - *this->begunAt < this->times.notice - this->times.notice / signalDelayDivisor;
    if (left <= Millis{0} || !mayGuess) {
        return false;
    }
    const double maxShare
        = successor == StopSuccessor::Neighbour ? this->limits.maxShareInNotice : this->limits.maxShareWithoutNeighbour;
    const std::optional<double> overrun = work.shareLongerThan(left / this->limits.marginInNotice);
    return overrun && *overrun <= maxShare;
}

} // namespace Sequoiausher
