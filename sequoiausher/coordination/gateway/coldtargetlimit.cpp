#include "sequoiausher/coordination/gateway/coldtargetlimit.h"

#include <utility>

namespace Sequoiausher {

namespace {

/** How long a computed share is used; gateways are learnt of about as late. */
constexpr Millis shareTtl{1000};
/** The shares of targets that are gone are dropped once there are this many. */
constexpr std::size_t maxCachedShares = 4096;

} // namespace

SharedColdTargetLimit::SharedColdTargetLimit(const PeerDirectory &peers, ColdTargetUse of) : directory(peers), use(of)
{
}

void SharedColdTargetLimit::setUse(ColdTargetUse to)
{
    this->use = to;
}

void SharedColdTargetLimit::setServiceLimits(std::map<PoolId, std::uint32_t> to)
{
    if (this->limits != to) {
        this->limits = std::move(to);
        this->shares.clear();
    }
}

std::uint32_t SharedColdTargetLimit::requestsPerSecond(const PoolId &service, std::uint64_t targetHash, Millis now)
{
    const auto limit = this->limits.find(service);
    if (this->use == ColdTargetUse::Unlimited || limit == this->limits.end()) {
        return ColdTargetLimit::unlimited;
    }
    if (!this->directory.knowsFleet(now)) {
        return 0;
    }
    if (this->shares.size() >= maxCachedShares) {
        this->shares.clear();
    }
    const auto [entry, isNew] = this->shares.try_emplace(targetHash);
    if (isNew || now - entry->second.computedAt >= shareTtl) {
        const auto gateways
            = this->directory.hasPeers() ? static_cast<std::uint32_t>(this->directory.fleetSize(now)) : 1;
        const bool isAmongFirst = this->directory.rendezvousRank(targetHash) < limit->second % gateways;
        entry->second = {limit->second / gateways + (isAmongFirst ? 1 : 0), now};
    }
    return entry->second.requests;
}

bool SharedColdTargetLimit::isLastResort() const
{
    return this->use == ColdTargetUse::LastResort;
}

} // namespace Sequoiausher
