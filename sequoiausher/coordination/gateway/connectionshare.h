#pragma once

// How many connections this gateway may have open to one target. A target takes so many from all gateways together and
// resets those beyond, with whatever runs on them; the gateways share the number without a word between them.
//
//     const std::size_t most = computeConnectionShare(limit, peers.fleetSize(now));   // 0: no limit

#include <cstddef>

namespace Sequoiausher {

/**
 * This gateway's part of a target's limit, at least one; 0, for no limit, where the target has none.
 * @param gateways how many are known, this one included; 0 counts as one.
 */
std::size_t computeConnectionShare(std::size_t limit, std::size_t gateways);

} // namespace Sequoiausher
