#pragma once

// Chooses a target without asking the shard's owner, within this router's share of the places left below the strict
// load bound.
//
//     LocalPlacement placement(self, Millis{3000}, seed);
//     placement.recordLoad(target, load);
//     const std::optional<TargetId> target = placement.choose(now, request, targets, routers, heldCounts);
//     placement.recordPlacement(*target);   // and recordRemoval(*target) at the end

#include "sequoiausher/coordination/admission/placementrequest.h"
#include "sequoiausher/state/targets/targettable.h"

#include <memory>
#include <unordered_map>

namespace Sequoiausher {

/** The number of requests on each target; targets without requests have no element. */
using TargetCounts = std::unordered_map<TargetId, std::uint32_t>;

/** Subtracts one from the target's count, which must be at least one. */
void decrementCount(TargetCounts &counts, const TargetId &target);

/** The local placements of one router. */
class LocalPlacement
{
public:
    /** @param reportedLoadTtl a target whose last report is older gets no requests, since its load is not known. */
    LocalPlacement(InstanceId self, Millis reportedLoadTtl, std::uint64_t seed);
    ~LocalPlacement();
    LocalPlacement(const LocalPlacement &) = delete;
    LocalPlacement &operator=(const LocalPlacement &) = delete;

    void recordLoad(const TargetId &target, const ReportedLoad &load);

    /** Records that this router placed a request on the target without its owner. */
    void recordPlacement(const TargetId &target);
    /** Records that a request counted by recordPlacement() ended. */
    void recordRemoval(const TargetId &target);

    /**
     * @param targets the targets of the shard.
     * @param routers the live routers.
     * @param heldCounts what this router holds on each target, whether granted by an owner or locally.
     * @return none if this router has no place left or no usable target has a recent load.
     */
    std::optional<TargetId> choose(Millis now,
                                   const PlacementRequest &placementRequest,
                                   const std::vector<TargetView> &targets,
                                   const std::vector<InstanceId> &routers,
                                   const TargetCounts &heldCounts);

    /** Drops the loads that are too old to be used. */
    void dropStaleLoads(Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
