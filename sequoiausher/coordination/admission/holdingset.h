#pragma once

// A set of reservations boiled down to a number that two routers can compare: an entry over what it holds in a shard,
// and the shard's owner over what it counts for that entry.
//
//     HoldingSet set;
//     set.add(reservation);
//     if (set == HoldingSet{digest.count, digest.digest}) { both know the same }

#include "sequoiausher/base/identifiers.h"

#include <cstdint>

namespace Sequoiausher {

/**
 * A count and the sum of the ids' hashes (XXH3 with 64 bits), whatever the order. Ids come from routers of the fleet,
 * not from callers, so nobody picks them to collide; two different sets look alike once in 2^64, until either changes.
 */
struct HoldingSet
{
    void add(const RequestId &reservation);

    std::uint32_t count = 0;
    std::uint64_t digest = 0;

    bool operator==(const HoldingSet &) const = default;
};

} // namespace Sequoiausher
