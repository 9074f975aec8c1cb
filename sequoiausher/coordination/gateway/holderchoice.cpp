#include "sequoiausher/coordination/gateway/holderchoice.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

/** Holders with less room than this part of the bound take a request only by chance. */
constexpr double scarcePart = 0.3;

/**
 * Whether holders with so much room together take the request. Were all gateways to stop at the bound and not before,
 * those that hear late would all send until it is passed, and then all stay away until the target is nearly empty.
 */
bool isTaken(std::uint64_t room, std::uint64_t bound, std::uint64_t requestHash)
{
    const double enough = scarcePart * static_cast<double>(bound);
    return unitDraw(rendezvousWeight(requestHash, bound)) * enough <= static_cast<double>(room);
}

} // namespace

std::optional<std::size_t>
chooseHolder(const std::vector<TargetId> &holders, const PoolLoad &load, std::uint64_t requestHash)
{
    std::vector<std::pair<std::size_t, std::uint64_t>> rooms;
    std::uint64_t total = 0;
    for (const TargetId &holder : holders) {
        const auto found = std::find_if(
            load.targets.begin(), load.targets.end(), [&holder](const TargetLoad &t) { return t.target == holder; });
        if (found != load.targets.end() && found->usable && found->inFlight < load.minimumBound) {
            rooms.emplace_back(found - load.targets.begin(), load.minimumBound - found->inFlight);
            total += rooms.back().second;
        }
    }
    if (total == 0 || !isTaken(total, load.minimumBound, requestHash)) {
        return std::nullopt;
    }
    // A part in heavy use is held by several: were all gateways to take the first one with room, they would fill it
    // together before any of them hears of it.
    std::uint64_t place = requestHash % total;
    for (const auto &[index, room] : rooms) {
        if (place < room) {
            return index;
        }
        place -= room;
    }
    return std::nullopt;
}

} // namespace Sequoiausher
