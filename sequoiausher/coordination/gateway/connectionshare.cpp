#include "sequoiausher/coordination/gateway/connectionshare.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A tenth is reserved for gateways that are not known yet, since a target resets connections beyond its limit. */
constexpr std::size_t sharedTenths = 9;
constexpr std::size_t tenths = 10;

} // namespace

std::size_t computeConnectionShare(std::size_t limit, std::size_t gateways)
{
    if (limit == 0) {
        return 0;
    }
    const std::size_t sharers = std::max<std::size_t>(gateways, 1);
    return std::max<std::size_t>(limit * sharedTenths / (tenths * sharers), 1);
}

} // namespace Sequoiausher
