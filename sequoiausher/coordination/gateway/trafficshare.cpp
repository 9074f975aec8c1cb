#include "sequoiausher/coordination/gateway/trafficshare.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** The weight of the present round in the average. */
constexpr double roundWeight = 0.5;
/** With fewer requests in flight on average, a share would follow single requests. */
constexpr double minAverage = 1;

} // namespace

void TrafficShare::recordRound(double own, double others)
{
    const double reported = *std::min_element(this->recentOwn.begin(), this->recentOwn.end());
    this->recentOwn[this->rounds++ % this->recentOwn.size()] = own;
    this->averageOwn += (reported - this->averageOwn) * roundWeight;
    this->averageAll += (reported + others - this->averageAll) * roundWeight;
}

double TrafficShare::of(std::size_t gateways) const
{
    if (this->averageAll < minAverage) {
        return 1 / static_cast<double>(std::max<std::size_t>(gateways, 1));
    }
    return std::min(this->averageOwn / this->averageAll, 1.0);
}

} // namespace Sequoiausher
