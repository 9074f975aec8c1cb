#pragma once

// The set multiple of the mean as a whole number of requests.
//
//     loadBound(125, 99, 10); // 13: the 100th request may go to a target with up to 12

#include <algorithm>
#include <cstdint>

namespace Sequoiausher {

/** A multiple below the mean itself could not hold for any target. */
constexpr std::uint32_t minimumBoundPercent = 100;

/**
 * The most that a target may carry once one more request is admitted: ceil(percent / 100 * (total + 1) / targets).
 * At least one target is always below it. Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
 * Loads", 2016.
 * @param total what is in flight on all targets before the request.
 * @return 0 where there are no targets.
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

/** The bound that holds whatever is admitted or not: floor(percent / 100 * total / targets). */
constexpr std::uint64_t strictLoadBound(std::uint32_t percent, std::uint64_t total, std::uint64_t targets)
{
    return targets == 0 ? 0 : std::max(percent, minimumBoundPercent) * total / (targets * 100);
}

} // namespace Sequoiausher
