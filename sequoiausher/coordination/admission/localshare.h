#pragma once

// How many requests one router may place on a target by itself while the shard's owner cannot be reached, so that the
// bound holds though every router does so at once.
//
//     headroom = max(1, floor(c * total / targets)) - load of the target
//     share    = floor(headroom / routers), and one more for the first (headroom mod routers) routers in the target's
//                rendezvous order
//
// The shares of all routers add up to the headroom, so nothing is lost to rounding: with 7 routers and a headroom of
// 2, two routers have one place each on this target, and others on the next. docs/design/balance.md has the arithmetic.

#include "sequoiausher/coordination/admission/shardmap.h"

namespace Sequoiausher {

/** What a router knows of a shard by itself. */
struct HeadroomInput
{
    std::uint32_t boundPercent = 125;
    /** Lower bound of what is in flight in the shard. */
    std::uint64_t total = 0;
    /** The shard's live targets. */
    std::uint64_t targets = 0;
    /** What the one target carries by its last report. */
    std::uint64_t load = 0;
    /** None where it does not say. */
    std::optional<std::uint32_t> capacity;
};

/** The places left on a target below the stricter bound, for all routers together. */
std::uint64_t localHeadroom(const HeadroomInput &known);

/**
 * How many routers come before self in the target's rendezvous order.
 * @return routers.size() where self is not among them.
 */
std::size_t routerRank(const std::vector<InstanceId> &routers, const InstanceId &self, std::uint64_t targetHash);

/** The share of headroom of the router with this rank among so many. */
std::uint64_t localShare(std::uint64_t headroom, std::size_t rank, std::size_t routers);

} // namespace Sequoiausher
