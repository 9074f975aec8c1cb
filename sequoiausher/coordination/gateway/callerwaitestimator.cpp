#include "sequoiausher/coordination/gateway/callerwaitestimator.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A longest timeout expires after one to two windows: the callers of a route rarely change their timeout. */
constexpr Millis windowLength{30000};

} // namespace

Millis CallerWaitEstimator::estimateWaited(const std::string &route, Millis timeLeft, Millis now)
{
    Longest &longest = this->routes[route];
    if (now >= longest.since + windowLength * 2) {
        longest = {Millis{0}, Millis{0}, now};
    } else if (now >= longest.since + windowLength) {
        longest = {Millis{0}, longest.present, now};
    }
    longest.present = std::max(longest.present, timeLeft);
    return std::max(longest.present, longest.before) - timeLeft;
}

} // namespace Sequoiausher
