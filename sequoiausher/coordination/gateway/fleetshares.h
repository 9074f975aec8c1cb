#pragma once

// Divides limits of whole requests a second among the gateways of a fleet. Each gateway gets the whole part of a limit,
// and the remainder goes to those that come first in the rendezvous order of the limit's key, so that over all gateways
// the shares add up to the limit exactly, as long as they know the same gateways. A gateway that does not know the
// fleet yet has no share.
//
//     FleetShares shares(directory);
//     const std::uint32_t mine = shares.shareOf(14, targetHash, now);

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/peerdirectory.h"

#include <cstdint>
#include <unordered_map>

namespace Sequoiausher {

/** This gateway's shares. Not thread-safe. */
class FleetShares
{
public:
    /** The directory outlives this. */
    explicit FleetShares(const PeerDirectory &directory);

    /** The share of the limit with this key. It is computed once a second, since that visits every known gateway. */
    std::uint32_t shareOf(std::uint32_t limit, std::uint64_t key, Millis now);

private:
    struct Share
    {
        std::uint32_t limit = 0;
        std::uint32_t requests = 0;
        Millis computedAt;
    };

    const PeerDirectory &directory;
    std::unordered_map<std::uint64_t, Share> shares;
};

} // namespace Sequoiausher
