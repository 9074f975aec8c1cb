#pragma once

// How long ago a caller first asked, as far as it can be told from how long it still waits: callers of one route start
// with about the same estimator, and one that comes back after a refusal has less of it left.
//
//     CallerWaitEstimator estimator;
//     const Millis estimateWaited = estimator.estimateWaited("r-12", timeLeft, now);
//
// A caller with a shorter estimator than others of its route seems to have waited already. That only matters where the
// route's service sheds, and there it is right to serve first who can still be answered in time.

#include "sequoiausher/base/millis.h"

#include <string>
#include <unordered_map>

namespace Sequoiausher {

/** The longest estimator of each route of late. Not thread-safe. */
class CallerWaitEstimator
{
public:
    /** Counts a request, and says how much less time it has than the longest of late. */
    Millis estimateWaited(const std::string &route, Millis timeLeft, Millis now);

private:
    struct Longest
    {
        Millis present;
        Millis before;
        Millis since;
    };

    std::unordered_map<std::string, Longest> routes;
};

} // namespace Sequoiausher
