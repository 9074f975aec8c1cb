#include "sequoiausher/coordination/gateway/callerwaitestimator.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A longest timeout expires after one to two windows: the callers of a route rarely change their timeout. */
constexpr Millis windowLength{30000};

} // namespace

Millis CallerWaitEstimator::estimateWaited(const std::string &route, Millis timeLeft, Millis now)
{
    LongestTimeLeft &longest = this->routes[route];
    if (now >= longest.windowStart + windowLength * 2) {
        longest = {Millis{0}, Millis{0}, now};
    } else if (now >= longest.windowStart + windowLength) {
        longest = {Millis{0}, longest.inCurrentWindow, now};
    }
    longest.inCurrentWindow = std::max(longest.inCurrentWindow, timeLeft);
    return std::max(longest.inCurrentWindow, longest.inPreviousWindow) - timeLeft;
}

} // namespace Sequoiausher
