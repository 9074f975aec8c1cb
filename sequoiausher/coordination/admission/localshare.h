#pragma once

// How many requests one router may place on a target without the shard's owner while the owner cannot be reached. The
// bound holds even if every router does so at the same time.
//
//     c        = boundPercent / 100, at least 1
//     headroom = max(0, min(capacity, max(1, floor(c * total / targets))) - load of the target)
//     share    = floor(headroom / routers), and one more for the first (headroom mod routers) routers in the target's
//                rendezvous order
//
// The shares of all routers add up to the headroom, so no place is lost to rounding: with 7 routers and a headroom of
// 2, two routers have one place each on this target, and other routers have places on other targets.
// docs/design/balance.md has the arithmetic.

#include "sequoiausher/coordination/admission/shardmap.h"

namespace Sequoiausher {

/** Input of localHeadroom(), available without the owner. */
struct HeadroomInput
{
    std::uint32_t boundPercent = 125;
    /** Lower bound of the number of requests in flight in the shard. */
    std::uint64_t total = 0;
    /** The number of live targets of the shard. */
    std::uint64_t targets = 0;
    /** The target's load: the larger of its last report and this router's own reservations on it. */
    std::uint64_t load = 0;
    /** The target's capacity; none if it states none. */
    std::optional<std::uint32_t> capacity;
};

/** The places left on a target below the strict load bound and its capacity, for all routers together. */
std::uint64_t localHeadroom(const HeadroomInput &known);

/**
 * How many routers come before self in the target's rendezvous order.
 * @return routers.size() if self is not among the routers.
 */
std::size_t routerRank(const std::vector<InstanceId> &routers, const InstanceId &self, std::uint64_t targetHash);

/** The share of the headroom for the router with this rank. */
std::uint64_t localShare(std::uint64_t headroom, std::size_t rank, std::size_t routers);

} // namespace Sequoiausher
