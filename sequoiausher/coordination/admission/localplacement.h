#pragma once

// Chooses a target without its owner, within this router's share of the places that the stricter bound leaves.
//
//     LocalPlacement placement(self, Millis{3000}, seed);
//     placement.recordLoad(target, load);
//     const std::optional<TargetId> target = placement.choose(now, wanted, targets, routers, own);
//     placement.placed(*target);   // and removed(*target) at the end

#include "sequoiausher/coordination/admission/placementrequest.h"
#include "sequoiausher/state/targets/targettable.h"

#include <memory>
#include <unordered_map>

namespace Sequoiausher {

/** How many requests on each target; targets with none are left out. */
using TargetCounts = std::unordered_map<TargetId, std::uint32_t>;

/** One fewer on the target, which has at least one. */
void decrementCount(TargetCounts &counts, const TargetId &target);

/** The choices that one router makes alone. */
class LocalPlacement
{
public:
    /** @param reportedLoadTtl a target whose last report is older takes nothing: what it carries is not known. */
    LocalPlacement(InstanceId self, Millis reportedLoadTtl, std::uint64_t seed);
    ~LocalPlacement();
    LocalPlacement(const LocalPlacement &) = delete;
    LocalPlacement &operator=(const LocalPlacement &) = delete;

    void recordLoad(const TargetId &target, const ReportedLoad &load);

    /** A request was placed on the target by this router alone. */
    void recordPlacement(const TargetId &target);
    /** That request ended. */
    void recordRemoval(const TargetId &target);

    /**
     * @param targets of the shard.
     * @param routers the live ones.
     * @param own what this router holds on each target, however granted.
     * @return none where this router has no place left.
     */
    std::optional<TargetId> choose(Millis now,
                                   const PlacementRequest &wanted,
                                   const std::vector<TargetView> &targets,
                                   const std::vector<InstanceId> &routers,
                                   const TargetCounts &own);

    /** Drops the loads that are too old to be acted on. */
    void dropStaleLoads(Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
