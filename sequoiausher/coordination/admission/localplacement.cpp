#include "sequoiausher/coordination/admission/localplacement.h"

#include "sequoiausher/coordination/admission/localshare.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <algorithm>
#include <map>

namespace Sequoiausher {

namespace {

std::uint32_t countOf(const TargetCounts &counts, const TargetId &target)
{
    const auto entry = counts.find(target);
    return entry == counts.end() ? 0 : entry->second;
}

} // namespace

void decrementCount(TargetCounts &counts, const TargetId &target)
{
    const auto entry = counts.find(target);
    entry->second -= 1;
    if (entry->second == 0) {
        counts.erase(entry);
    }
}

class LocalPlacement::Private
{
public:
    const ReportedLoad *freshLoad(Millis now, const TargetView &target) const;
    PoolLoad loadOf(Millis now, const std::vector<TargetView> &live, const TargetCounts &heldCounts) const;
    std::uint64_t freePlacesOn(const TargetView &target,
                               const TargetLoad &targetLoad,
                               const PoolLoad &load,
                               std::uint32_t boundPercent,
                               const std::vector<InstanceId> &routers) const;

    InstanceId self;
    Millis reportedLoadTtl;
    std::uint64_t seed = 0;
    std::unordered_map<TargetId, ReportedLoad> loads;
    TargetCounts localCounts;
    std::map<PolicyKind, std::unique_ptr<Policy>> policies;
};

const ReportedLoad *LocalPlacement::Private::freshLoad(Millis now, const TargetView &target) const
{
    const auto entry = this->loads.find(target.description.target);
    if (entry == this->loads.end() || entry->second.incarnation != target.description.life.incarnation) {
        return nullptr;
    }
    return now <= entry->second.measuredAt + this->reportedLoadTtl ? &entry->second : nullptr;
}

PoolLoad
LocalPlacement::Private::loadOf(Millis now, const std::vector<TargetView> &live, const TargetCounts &heldCounts) const
{
    PoolLoad load;
    for (const TargetView &target : live) {
        const TargetId &name = target.description.target;
        const ReportedLoad *reported = this->freshLoad(now, target);
        // Without a report, only this router's own requests are known. The total and the bound are then too low, which
        // is the safe side.
        const std::uint32_t carried = std::max(countOf(heldCounts, name), reported == nullptr ? 0 : reported->load);
        load.targets.push_back(TargetLoad{name, target.hash, carried, carried, reported != nullptr});
        load.total += carried;
    }
    load.counted = live.size();
    return load;
}

std::uint64_t LocalPlacement::Private::freePlacesOn(const TargetView &target,
                                                    const TargetLoad &targetLoad,
                                                    const PoolLoad &load,
                                                    std::uint32_t boundPercent,
                                                    const std::vector<InstanceId> &routers) const
{
    const HeadroomInput known{boundPercent, load.total, load.counted, targetLoad.inFlight, target.description.capacity};
    const std::size_t rank = routerRank(routers, this->self, target.hash);
    const std::uint64_t share = localShare(localHeadroom(known), rank, routers.size());
    // All local placements count, although the target's report may include some of them already: the report lags, and
    // it does not show which requests it includes.
    const std::uint64_t used = countOf(this->localCounts, targetLoad.target);
    return share > used ? share - used : 0;
}

LocalPlacement::LocalPlacement(InstanceId self, Millis reportedLoadTtl, std::uint64_t seed)
    : d(std::make_unique<Private>())
{
    this->d->self = std::move(self);
    this->d->reportedLoadTtl = reportedLoadTtl;
    this->d->seed = seed;
}

LocalPlacement::~LocalPlacement() = default;

void LocalPlacement::recordLoad(const TargetId &target, const ReportedLoad &load)
{
    const auto [entry, fresh] = this->d->loads.try_emplace(target, load);
    if (!fresh && (load.measuredAt > entry->second.measuredAt || load.incarnation > entry->second.incarnation)) {
        entry->second = load;
    }
}

void LocalPlacement::recordPlacement(const TargetId &target)
{
    this->d->localCounts[target] += 1;
}

void LocalPlacement::recordRemoval(const TargetId &target)
{
    decrementCount(this->d->localCounts, target);
}

std::optional<TargetId> LocalPlacement::choose(Millis now,
                                               const PlacementRequest &placementRequest,
                                               const std::vector<TargetView> &targets,
                                               const std::vector<InstanceId> &routers,
                                               const TargetCounts &heldCounts)
{
    std::vector<TargetView> live;
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(live), [](const TargetView &target) {
        return target.description.life.state == LifeState::Live;
    });
    PoolLoad load = this->d->loadOf(now, live, heldCounts);
    for (std::size_t i = 0; i < live.size(); ++i) {
        TargetLoad &targetLoad = load.targets[i];
        const auto &excluded = placementRequest.excluded;
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), targetLoad.target) != excluded.end();
        targetLoad.usable = targetLoad.usable && !isExcluded
            && this->d->freePlacesOn(live[i], targetLoad, load, placementRequest.boundPercent, routers) > 0;
    }
    std::unique_ptr<Policy> &policy = this->d->policies[placementRequest.policy];
    if (!policy) {
        policy = makePolicy(placementRequest.policy, this->d->seed);
    }
    const PolicyRequest choice{
        placementRequest.chatHash, placementRequest.boundPercent, std::nullopt, false, placementRequest.prefixHash};
    const std::optional<std::size_t> chosen = policy->choose(load, choice);
    return chosen ? std::optional(load.targets[*chosen].target) : std::nullopt;
}

void LocalPlacement::dropStaleLoads(Millis now)
{
    std::erase_if(this->d->loads,
                  [&](const auto &entry) { return now > entry.second.measuredAt + this->d->reportedLoadTtl; });
}

} // namespace Sequoiausher
