#pragma once

// How a target is chosen among those that may be used. The owner of a shard runs a policy over exact counts; a bench
// runs the same policy over whatever a router alone would know.
//
//     const std::unique_ptr<Policy> policy = makePolicy(PolicyKind::BoundedRendezvous, seed);
//     const std::optional<std::size_t> chosen = policy->choose(load, PolicyRequest{chatHash, 125});

#include "sequoiausher/coordination/messages/admissionmessages.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace Sequoiausher {

/** One target as a policy sees it. */
struct TargetLoad
{
    TargetId target;
    /** hash64 of the name. */
    std::uint64_t hash = 0;
    /** What the caller counts in flight on it. */
    std::uint32_t inFlight = 0;
    /** What the target last said itself, late; the count where it says nothing. */
    std::uint32_t reported = 0;
    /** Whether it may be chosen at all. */
    bool usable = true;
};

/** The targets to choose from. */
struct PoolLoad
{
    std::vector<TargetLoad> targets;
    /** What is in flight on all targets that the mean is taken over. */
    std::uint64_t total = 0;
    /** How many targets the mean is taken over. */
    std::uint64_t counted = 0;
    /** No bound is taken below this one: for a total that may lag behind what is in flight on the targets. */
    std::uint64_t lowestBound = 0;
};

/** For whom to choose. */
struct PolicyRequest
{
    std::uint64_t chatHash = 0;
    std::uint32_t boundPercent = 125;
    /** The index of the target that had the chat's last turn, where known. */
    std::optional<std::size_t> last = std::nullopt;
    /** The chat is surely new, so that nothing of it is cached anywhere. */
    bool isNew = false;
    /** Of the prompt prefix that the chat shares with others; 0 where none is known. */
    std::uint64_t prefixHash = 0;
};

/** A way of choosing. */
class Policy
{
public:
    Policy() = default;
    Policy(const Policy &) = delete;
    Policy &operator=(const Policy &) = delete;
    virtual ~Policy() = default;

    /** The index of a usable target, or none where there is none that the policy accepts. */
    virtual std::optional<std::size_t> choose(const PoolLoad &load, const PolicyRequest &request) = 0;
};

/** @param seed of the generator for policies that draw at random. */
std::unique_ptr<Policy> makePolicy(PolicyKind kind, std::uint64_t seed);

} // namespace Sequoiausher
