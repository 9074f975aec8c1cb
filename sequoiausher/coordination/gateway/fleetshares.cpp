#include "sequoiausher/coordination/gateway/fleetshares.h"

namespace Sequoiausher {

namespace {

/** How long a computed share is used; gateways are learnt of about as late. */
constexpr Millis shareTtl{1000};
/** The shares of keys that are gone are dropped once there are this many. */
constexpr std::size_t maxCachedShares = 4096;

} // namespace

FleetShares::FleetShares(const PeerDirectory &peers) : directory(peers)
{
}

std::uint32_t FleetShares::shareOf(std::uint32_t limit, std::uint64_t key, Millis now)
{
    if (!this->directory.knowsFleet(now)) {
        return 0;
    }
    if (this->shares.size() >= maxCachedShares) {
        this->shares.clear();
    }
    const auto [entry, isNew] = this->shares.try_emplace(key);
    if (isNew || entry->second.limit != limit || now - entry->second.computedAt >= shareTtl) {
        const auto gateways
            = this->directory.hasPeers() ? static_cast<std::uint32_t>(this->directory.fleetSize(now)) : 1;
        const bool isAmongFirst = this->directory.rendezvousRank(key) < limit % gateways;
        entry->second = {limit, limit / gateways + (isAmongFirst ? 1 : 0), now};
    }
    return entry->second.requests;
}

} // namespace Sequoiausher
