#pragma once

// The number of requests on one target: a count of grants and releases, corrected by the load that the target reports.
//
//     TargetCount count(now);
//     count.change(now, 1);             // a grant
//     count.report(load, measuredAt);   // measured in the past
//     count.estimate(now - Millis{3000});
//
// A report lags, so it is compared with the count at the time of its measurement. The difference is added to the count
// until the next report, as long as the last report is not older than the caller allows.

#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Sequoiausher {

/** The count of one target. */
class TargetCount
{
public:
    explicit TargetCount(Millis now = Millis{});

    /** Records a change of the target's load at this moment: a grant or a release. */
    void change(Millis now, int delta);

    /** Changes the count while the load stays the same: work that already ran is counted from now on, or no longer. */
    void adjustCounted(int delta);

    /** Records the load that the target reported. Ignored unless it was measured later than the last report. */
    void report(std::uint32_t load, Millis measuredAt);

    std::uint32_t counted() const;

    /** The last reported load, or the count if there is no report. */
    std::uint32_t reported() const;

    /** The count, corrected by the last report if that was measured at oldest or later. */
    std::uint32_t estimate(Millis oldest) const;

private:
    struct PastCount
    {
        Millis since;
        std::int64_t counted;
    };

    std::int64_t current = 0;
    /** The counts of the last seconds, oldest first; never empty. */
    std::deque<PastCount> history;
    std::uint32_t lastLoad = 0;
    std::optional<Millis> reportedAt;
    /** The last reported load minus the count at the time of its measurement. */
    std::int64_t uncountedLoad = 0;
};

} // namespace Sequoiausher
