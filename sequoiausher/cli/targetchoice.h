#pragma once

// Which target a request would go to, and why: the order of targets for its chat, or for the prefix that the chat
// shares, their loads, and the bound.
//
//     const auto choice = chooseTarget(fleet, *explanation.decision, {chatHash, prefixHash}, loads, 125);
//     if (choice) { out << choice->reason; }
//
// The owner of the shard knows more: the target of a known chat's last turn comes before the order while it is below
// the bound, and a surely new chat may go to the less loaded of its first two.

#include "sequoiausher/coordination/admission/shardmap.h"
#include "sequoiausher/protocol/settings/fleetdocuments.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

/** Requests in flight by target; a target that is not in it has none. */
using TargetLoads = std::map<std::string, std::uint32_t>;

/** What a request's target depends on. */
struct ChoiceKeys
{
    std::uint64_t chatHash = 0;
    /** 0 where none is known. */
    std::uint64_t prefixHash = 0;
};

/** One target in the chat's order, or the prefix's. */
struct RankedTarget
{
    std::string name;
    std::string state;
    std::uint32_t inFlight = 0;
};

/** What the shard's owner would decide by these loads. */
struct TargetChoice
{
    ShardId shard;
    /** The router that owns it while every listed one is live. */
    InstanceId owner;
    std::uint64_t bound = 0;
    /** Whether the order is that of the prefix, not that of the chat. */
    bool isByPrefix = false;
    /** Best first. */
    std::vector<RankedTarget> order;
    /** None where no target may take the request, or where the policy draws at random. */
    std::optional<std::string> chosen;
    std::string reason;
};

/** None where the decision refuses, or its pool has no live target. @param boundPercent where the rule sets none. */
std::optional<TargetChoice> chooseTarget(const FleetDocuments &fleet,
                                         const Decision &decision,
                                         const ChoiceKeys &keys,
                                         const TargetLoads &loads,
                                         std::uint32_t boundPercent);

} // namespace Sequoiausher
