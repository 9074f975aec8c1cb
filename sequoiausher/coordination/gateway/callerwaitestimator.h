#pragma once

// Estimates how long a caller has been waiting, from the time that it still has left. Callers of one route start with
// about the same timeout, and a caller that retries after a refusal has less time left.
//
//     CallerWaitEstimator estimator;
//     const Millis waited = estimator.estimateWaited("r-12", timeLeft, now);
//
// A caller with a shorter timeout than others of its route looks as if it had waited already. The estimate is used only
// while the service of the route sheds load, and then callers that can still be answered in time rightly go first.

#include "sequoiausher/base/millis.h"

#include <string>
#include <unordered_map>

namespace Sequoiausher {

/** Keeps the longest recent timeout of each route. Not thread-safe. */
class CallerWaitEstimator
{
public:
    /**
     * Records a request. Returns how much less time it has left than the longest that a recent request of the route
     * had.
     */
    Millis estimateWaited(const std::string &route, Millis timeLeft, Millis now);

private:
    struct LongestTimeLeft
    {
        Millis inCurrentWindow;
        Millis inPreviousWindow;
        Millis windowStart;
    };

    std::unordered_map<std::string, LongestTimeLeft> routes;
};

} // namespace Sequoiausher
