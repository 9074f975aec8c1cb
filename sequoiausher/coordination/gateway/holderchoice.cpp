#include "sequoiausher/coordination/gateway/holderchoice.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

/** Holders with less room in total than this fraction of the bound accept a request only with some probability. */
constexpr double scarceRoomFraction = 0.3;

/**
 * Whether holders with this much room in total accept the request. If all gateways accepted requests up to the bound,
 * gateways with late reports would all send until the bound is exceeded, and then all avoid the target until it is
 * nearly empty. So together they send no more than the room while no gateway knows what the others send.
 */
bool acceptsRequest(std::uint64_t room, std::uint64_t bound, double unreported, std::uint64_t requestHash)
{
    const double ampleRoom = std::max(scarceRoomFraction * static_cast<double>(bound), unreported);
    return unitDraw(rendezvousWeight(requestHash, bound)) * ampleRoom <= static_cast<double>(room);
}

} // namespace

std::optional<std::size_t>
chooseHolder(const std::vector<TargetId> &holders, const PoolLoad &load, double unreported, std::uint64_t requestHash)
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
    if (total == 0 || !acceptsRequest(total, load.minimumBound, unreported, requestHash)) {
        return std::nullopt;
    }
    // A hot part has several holders. If all gateways chose the first holder with room, they would fill it together
    // before any of them learns of the others' requests.
    std::uint64_t position = requestHash % total;
    for (const auto &[index, room] : rooms) {
        if (position < room) {
            return index;
        }
        position -= room;
    }
    return std::nullopt;
}

} // namespace Sequoiausher
