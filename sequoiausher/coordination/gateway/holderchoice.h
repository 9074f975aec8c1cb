#pragma once

// Which of the targets that hold a request's part in their caches gets the request, if any.
//
//     const std::optional<std::size_t> index = chooseHolder(holders, load, unreported, hash64(request));

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Sequoiausher {

/**
 * Chooses a usable holder below load.minimumBound with a probability proportional to its room below the bound. @return
 * its index in load; none where there is no room. Once the total room of all holders is small, also none with a
 * probability that grows as the room shrinks.
 * @param holders those that are not in load are skipped.
 * @param unreported the requests that are likely on their way to the holders unknown to this gateway. Room for fewer
 * than these counts as small.
 * @param requestHash differs from request to request.
 */
std::optional<std::size_t>
chooseHolder(const std::vector<TargetId> &holders, const PoolLoad &load, double unreported, std::uint64_t requestHash);

} // namespace Sequoiausher
