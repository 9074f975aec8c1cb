#include "sequoiausher/cli/targetchoice.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/policies/loadbound.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

PoolLoad loadOf(const std::vector<TargetView> &targets, const TargetLoads &loads)
{
    PoolLoad load;
    for (const TargetView &target : targets) {
        const auto known = loads.find(target.description.target.value);
        const std::uint32_t inFlight = known == loads.end() ? 0 : known->second;
        const bool usable = target.description.life.state == LifeState::Live
            && (!target.description.capacity || inFlight < *target.description.capacity);
        load.targets.push_back({target.description.target, target.hash, inFlight, inFlight, usable});
        if (target.description.life.state == LifeState::Live) {
            load.total += inFlight;
            ++load.counted;
        }
    }
    return load;
}

std::vector<RankedTarget> orderOf(const std::vector<TargetView> &targets, const PoolLoad &load, std::uint64_t keyHash)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(targets.size());
    for (const TargetView &target : targets) {
        hashes.push_back(target.hash);
    }
    std::vector<RankedTarget> order;
    for (const std::size_t index : rendezvousOrder(hashes, keyHash, hashes.size())) {
        const TargetDescription &target = targets[index].description;
        order.push_back({target.target.value, std::string(nameOf(target.life.state)), load.targets[index].inFlight});
    }
    return order;
}

std::string carries(const RankedTarget &target)
{
    return target.name + " carries " + std::to_string(target.inFlight);
}

/** Why the chosen one and not those before it. */
std::string boundedReason(const TargetChoice &choice)
{
    std::string passed;
    for (const RankedTarget &target : choice.order) {
        if (target.name == *choice.chosen) {
            const std::string place = passed.empty() ? "first in the chat's order" : "after " + passed;
            return place + "; " + carries(target) + ", below the bound of " + std::to_string(choice.bound);
        }
        passed += (passed.empty() ? "" : " and ") + target.name + " (" + target.state + ", "
            + std::to_string(target.inFlight) + " in flight)";
    }
    return "";
}

std::string reasonOf(const TargetChoice &choice, PolicyKind policy)
{
    if (policy == PolicyKind::RoundRobin || policy == PolicyKind::TwoChoices) {
        return std::string(nameOf(policy)) + " draws without regard to the chat";
    }
    if (!choice.chosen) {
        return "every target is at its bound of " + std::to_string(choice.bound) + " or its capacity";
    }
    if (policy == PolicyKind::LeastLoaded) {
        return "the least in flight";
    }
    if (policy == PolicyKind::PrefixRendezvous) {
        const std::string owner = choice.isByPrefix ? "prefix" : "chat";
        return "the least loaded of the first in the " + owner + "'s order, below the bound of "
            + std::to_string(choice.bound);
    }
    return policy == PolicyKind::Rendezvous ? "first in the chat's order" : boundedReason(choice);
}

} // namespace

std::optional<TargetChoice> chooseTarget(const FleetDocuments &fleet,
                                         const Decision &decision,
                                         const ChoiceKeys &keys,
                                         const TargetLoads &loads,
                                         std::uint32_t boundPercent)
{
    const auto pool = std::find_if(fleet.pools.begin(), fleet.pools.end(), [&](const PoolDescription &candidate) {
        return candidate.pool == decision.pool;
    });
    if (decision.refusal || pool == fleet.pools.end()) {
        return std::nullopt;
    }
    TargetTable table;
    table.applyPool(Millis{0}, *pool);
    ShardMap map(ShardSettings{});
    std::vector<InstanceId> live;
    for (const InstanceDescription &instance : fleet.instances) {
        if (instance.state == LifeState::Live) {
            live.push_back(instance.instance);
        }
    }
    map.setInstances(live);
    map.setPool(table.pool(pool->pool));
    const std::optional<ShardRoute> route = map.routeOf(pool->pool, keys.chatHash);
    if (!route) {
        return std::nullopt;
    }
    const std::vector<TargetView> targets = map.targetsOf(route->shard);
    const PoolLoad load = loadOf(targets, loads);
    const std::uint32_t percent = decision.boundPercent.value_or(boundPercent);
    TargetChoice choice;
    choice.shard = route->shard;
    choice.owner = route->owner;
    choice.bound = loadBound(percent, load.total, load.counted);
    choice.isByPrefix = decision.policy == PolicyKind::PrefixRendezvous && keys.prefixHash != 0;
    choice.order = orderOf(targets, load, choice.isByPrefix ? keys.prefixHash : keys.chatHash);
    if (decision.policy != PolicyKind::RoundRobin && decision.policy != PolicyKind::TwoChoices) {
        const PolicyRequest request{keys.chatHash, percent, std::nullopt, false, keys.prefixHash};
        const auto index = makePolicy(decision.policy, 0)->choose(load, request);
        choice.chosen = index ? std::optional(load.targets[*index].target.value) : std::nullopt;
    }
    choice.reason = reasonOf(choice, decision.policy);
    return choice;
}

} // namespace Sequoiausher
