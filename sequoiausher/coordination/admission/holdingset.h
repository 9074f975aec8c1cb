#pragma once

// A digest of a set of reservations that two routers can compare: an entry computes it from what it holds in a shard,
// and the shard's owner from what it counts for that entry.
//
//     HoldingSet set;
//     set.add(reservation);
//     if (set == HoldingSet{digest.count, digest.digest}) { both sets are equal }

#include "sequoiausher/base/identifiers.h"

#include <cstdint>

namespace Sequoiausher {

/**
 * The number of the ids and the sum of their hashes (XXH3 with 64 bits), independent of the order. The ids come from
 * routers of the fleet and not from callers, so nobody chooses them to collide. Two different sets of the same size
 * have the same digest with a probability of 1 in 2^64, until one of them changes.
 */
struct HoldingSet
{
    void add(const RequestId &reservation);

    std::uint32_t count = 0;
    std::uint64_t digest = 0;

    bool operator==(const HoldingSet &) const = default;
};

} // namespace Sequoiausher
