#include "sequoiausher/coordination/gateway/connectionshare.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A tenth is reserved for gateways that are not known yet, since a target resets connections beyond its limit. */
constexpr std::size_t sharedTenths = 9;
constexpr std::size_t tenths = 10;

} // namespace

std::size_t computeConnectionShare(std::size_t limit, std::size_t gateways, double shareOfTraffic)
{
    if (limit == 0) {
        return 0;
    }
    const std::size_t sharers = std::max<std::size_t>(gateways, 1);
    const std::size_t shared = limit * sharedTenths / tenths;
    const std::size_t even = std::max<std::size_t>(shared / (2 * sharers), 1);
    const std::size_t rest = shared - std::min(shared, even * sharers);
    return even + static_cast<std::size_t>(static_cast<double>(rest) * shareOfTraffic);
}

} // namespace Sequoiausher
