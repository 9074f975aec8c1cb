#include "sequoiausher/coordination/gateway/watchpatience.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A reading that took long says that the store is slow, and so is the answer of the watch. */
constexpr std::int64_t readingsPerPatience = 2;

} // namespace

StoreTimes timesWithin(StoreTimes longest, Millis leaveBound)
{
    constexpr Millis readingMargin{200};
    constexpr Millis shortestInterval{100};
    // What follows a watch that is given up: ticks, a connection and an answer.
    constexpr Millis nextAnswer{100};
    const Millis watch = leaveBound - nextAnswer;
    StoreTimes times = longest;
    times.callTimeout = std::min(longest.callTimeout, leaveBound / 2);
    times.watchTime = std::min(longest.watchTime, watch * 3 / 4);
    times.watchDelay = std::min(longest.watchDelay, watch / 4);
    times.proofInterval = std::min(longest.proofInterval, std::max(leaveBound / 2 - readingMargin, shortestInterval));
    times.gatherTime = std::min(longest.gatherTime, leaveBound * 3 / 40);
    times.overdueAfter = times.gatherTime + leaveBound / 16;
    times.firstPause = std::min(longest.firstPause, leaveBound / 20);
    return times;
}

WatchPatience::WatchPatience(const StoreTimes &times) : overdueAfter(times.overdueAfter)
{
}

void WatchPatience::setTimes(const StoreTimes &times)
{
    this->overdueAfter = times.overdueAfter;
}

void WatchPatience::storeIsAt(Revision revision, Millis took, Millis now)
{
    if (revision > this->heard && !this->untold) {
        this->untold = Change{revision, now, std::max(this->overdueAfter, took * readingsPerPatience)};
    }
}

void WatchPatience::heardUpTo(Revision revision)
{
    this->heard = std::max(this->heard, revision);
    if (this->untold && this->untold->revision <= this->heard) {
        this->untold.reset();
    }
}

bool WatchPatience::isOverdue(Millis begunAt, Millis now) const
{
    return this->untold && now - std::max(this->untold->knownAt, begunAt) >= this->untold->patience;
}

void WatchPatience::gaveUp()
{
    if (this->untold) {
        this->untold->patience = this->untold->patience * 2;
    }
}

} // namespace Sequoiausher
