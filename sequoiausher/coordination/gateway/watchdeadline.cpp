#include "sequoiausher/coordination/gateway/watchdeadline.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/**
 * A watch gets at least this multiple of the time that the read took: after a slow read, the watch is probably slow
 * too.
 */
constexpr std::int64_t readTimeFactor = 2;

} // namespace

StoreTimes limitStoreTimes(StoreTimes longest, Millis leaveBound)
{
    constexpr Millis readMargin{200};
    constexpr Millis shortestInterval{100};
    // The time from abandoning a watch to the answer of the next call: timer ticks, a new connection and the answer.
    constexpr Millis nextAnswer{100};
    const Millis watch = leaveBound - nextAnswer;
    StoreTimes times = longest;
    times.callTimeout = std::min(longest.callTimeout, leaveBound / 2);
    times.watchTime = std::min(longest.watchTime, watch * 3 / 4);
    times.watchDelay = std::min(longest.watchDelay, watch / 4);
    times.proofInterval = std::min(longest.proofInterval, std::max(leaveBound / 2 - readMargin, shortestInterval));
    times.batchDelay = std::min(longest.batchDelay, leaveBound * 3 / 40);
    times.overdueAfter = times.batchDelay + leaveBound / 16;
    times.firstPause = std::min(longest.firstPause, leaveBound / 20);
    return times;
}

WatchDeadline::WatchDeadline(const StoreTimes &times) : overdueAfter(times.overdueAfter)
{
}

void WatchDeadline::setTimes(const StoreTimes &times)
{
    this->overdueAfter = times.overdueAfter;
}

void WatchDeadline::recordStoreRevision(Revision revision, Millis took, Millis now)
{
    if (revision > this->reportedUpTo && !this->unreported) {
        this->unreported = Change{revision, now, std::max(this->overdueAfter, took * readTimeFactor)};
    }
}

void WatchDeadline::recordReportedUpTo(Revision revision)
{
    this->reportedUpTo = std::max(this->reportedUpTo, revision);
    if (this->unreported && this->unreported->revision <= this->reportedUpTo) {
        this->unreported.reset();
    }
}

bool WatchDeadline::isOverdue(Millis begunAt, Millis now) const
{
    return this->unreported && now - std::max(this->unreported->knownAt, begunAt) >= this->unreported->timeout;
}

void WatchDeadline::recordAbandonedCall()
{
    if (this->unreported) {
        this->unreported->timeout = this->unreported->timeout * 2;
    }
}

} // namespace Sequoiausher
