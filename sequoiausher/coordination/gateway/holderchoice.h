#pragma once

// Which of the targets that hold a request's part in their caches it goes to, if to any.
//
//     const std::optional<std::size_t> index = chooseHolder(holders, load, hash64(request));

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Sequoiausher {

/**
 * The index in load of a usable holder below load.minimumBound, drawn in proportion to the room below it; none where
 * there is no room, and the more often none the less room all holders have together, once that is little.
 * @param holders those that are not in load are passed over.
 * @param requestHash differs from request to request.
 */
std::optional<std::size_t>
chooseHolder(const std::vector<TargetId> &holders, const PoolLoad &load, std::uint64_t requestHash);

} // namespace Sequoiausher
