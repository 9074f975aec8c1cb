#include "sequoiausher/coordination/admission/localshare.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/policies/loadbound.h"

#include <algorithm>

namespace Sequoiausher {

std::uint64_t localHeadroom(const HeadroomInput &known)
{
    // One request on an empty target is within every bound, so that an idle pool accepts its first requests.
    std::uint64_t limit = std::max(strictLoadBound(known.boundPercent, known.total, known.targets), std::uint64_t{1});
    if (known.capacity) {
        limit = std::min(limit, std::uint64_t{*known.capacity});
    }
    return limit > known.load ? limit - known.load : 0;
}

std::size_t routerRank(const std::vector<InstanceId> &routers, const InstanceId &self, std::uint64_t targetHash)
{
    if (std::find(routers.begin(), routers.end(), self) == routers.end()) {
        return routers.size();
    }
    const std::uint64_t own = rendezvousWeight(hash64(self.value), targetHash);
    const auto comesBefore = [&](const InstanceId &other) {
        const std::uint64_t weight = rendezvousWeight(hash64(other.value), targetHash);
        return weight != own ? weight > own : other < self;
    };
    return static_cast<std::size_t>(std::count_if(routers.begin(), routers.end(), comesBefore));
}

std::uint64_t localShare(std::uint64_t headroom, std::size_t rank, std::size_t routers)
{
    if (rank >= routers) {
        return 0;
    }
    return headroom / routers + (rank < headroom % routers ? 1 : 0);
}

} // namespace Sequoiausher
