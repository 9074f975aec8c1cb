#pragma once

// What one target carries: what is counted of it, corrected by what it reports itself.
//
//     TargetCount count(now);
//     count.change(now, 1);             // a grant
//     count.report(load, measuredAt);   // late
//     count.estimate(now - Millis{3000});
//
// A report lags, so it is compared with what was counted when it was measured. The difference is carried on until the
// next report.

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

    /** The load changes now: a grant or a release. */
    void change(Millis now, int delta);

    /** What is known changes, not the load: work that ran before is counted now, or no longer. */
    void adjustCounted(int delta);

    /** What the target said of its load; ignored unless measured later than the last. */
    void report(std::uint32_t load, Millis measuredAt);

    std::uint32_t counted() const;

    /** The last report, or the count where there is none. */
    std::uint32_t reported() const;

    /** The count, corrected by the last report where that was measured at oldest or later. */
    std::uint32_t estimate(Millis oldest) const;

private:
    struct Past
    {
        Millis since;
        std::int64_t counted;
    };

    std::int64_t current = 0;
    /** The counts of the last seconds, oldest first; never empty. */
    std::deque<Past> history;
    std::uint32_t lastLoad = 0;
    std::optional<Millis> reportedAt;
    /** What the last report had more than was counted at the moment it was measured. */
    std::int64_t uncounted = 0;
};

} // namespace Sequoiausher
