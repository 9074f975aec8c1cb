#pragma once

// Computes how many connections this gateway may open to one target. A target accepts a limited number from all
// gateways together and resets connections beyond it, along with the requests on them. The gateways divide the limit
// among themselves without exchanging messages about it: one half evenly, so that each has connections at any moment,
// the rest by the traffic that each carries.
//
//     // 0: no limit
//     const std::size_t maxConnections = computeConnectionShare(limit, peers.fleetSize(now), shareOfTraffic);

#include <cstddef>

namespace Sequoiausher {

/**
 * Returns this gateway's share of a target's limit, at least one; 0, for no limit, where the target has none.
 * @param gateways number of known gateways, this one included; 0 counts as one.
 * @param shareOfTraffic the part of the target's service's traffic that this gateway carries, 0 to 1.
 */
std::size_t computeConnectionShare(std::size_t limit, std::size_t gateways, double shareOfTraffic);

} // namespace Sequoiausher
