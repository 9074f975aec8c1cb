#pragma once

// Computes the maximum load of a target: a configured multiple of the mean load, as a whole number of requests.
//
//     loadBound(125, 99, 10); // 13: the 100th request may go to a target that has up to 12 in flight

#include <algorithm>
#include <cstdint>

namespace Sequoiausher {

/** Lower percentages are raised to this one: not all targets can stay below their mean load. */
constexpr std::uint32_t minimumBoundPercent = 100;

/**
 * The maximum load of a target once one more request is admitted: ceil(percent / 100 * (total + 1) / targets).
 * At least one target is always below this bound. Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
 * Bounded Loads", 2016.
 * @param total the number of requests in flight on all targets before the new request.
 * @return 0 if there are no targets.
 */
constexpr std::uint64_t loadBound(std::uint32_t percent, std::uint64_t total, std::uint64_t targets)
{
    if (targets == 0) {
        return 0;
    }
    const std::uint64_t scaled = std::max(percent, minimumBoundPercent) * (total + 1);
    const std::uint64_t divisor = targets * 100;
    return (scaled + divisor - 1) / divisor;
}

/**
 * The maximum load of a target for the current total, without another request: floor(percent / 100 * total / targets).
 */
constexpr std::uint64_t strictLoadBound(std::uint32_t percent, std::uint64_t total, std::uint64_t targets)
{
    return targets == 0 ? 0 : std::max(percent, minimumBoundPercent) * total / (targets * 100);
}

} // namespace Sequoiausher
