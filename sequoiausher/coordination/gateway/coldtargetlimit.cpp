#include "sequoiausher/coordination/gateway/coldtargetlimit.h"

#include <utility>

namespace Sequoiausher {

SharedColdTargetLimit::SharedColdTargetLimit(const PeerDirectory &directory, ColdTargetUse of)
    : use(of)
    , shares(directory)
{
}

void SharedColdTargetLimit::setUse(ColdTargetUse to)
{
    this->use = to;
}

void SharedColdTargetLimit::setServiceLimits(std::map<PoolId, std::uint32_t> to)
{
    this->limits = std::move(to);
}

std::uint32_t SharedColdTargetLimit::requestsPerSecond(const PoolId &service, std::uint64_t targetHash, Millis now)
{
    const auto limit = this->limits.find(service);
    if (this->use == ColdTargetUse::Unlimited || limit == this->limits.end()) {
        return ColdTargetLimit::unlimited;
    }
    return this->shares.shareOf(limit->second, targetHash, now);
}

bool SharedColdTargetLimit::isLastResort() const
{
    return this->use == ColdTargetUse::LastResort;
}

} // namespace Sequoiausher
