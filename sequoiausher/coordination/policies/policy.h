#pragma once

// Load balancing policies: each chooses one of the usable targets of a pool for a request. The owner of a shard applies
// a policy to exact counts; a benchmark applies the same policy to the counts that a single router would have.
//
//     const std::unique_ptr<Policy> policy = makePolicy(PolicyKind::BoundedRendezvous, seed);
//     const std::optional<std::size_t> chosen = policy->choose(load, PolicyRequest{chatHash, 125});

#include "sequoiausher/coordination/messages/admissionmessages.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace Sequoiausher {

/** The load of one target. */
struct TargetLoad
{
    TargetId target;
    /** hash64 of the target's name. */
    std::uint64_t hash = 0;
    /** The number of requests in flight on the target by the caller's count. */
    std::uint32_t inFlight = 0;
    /** The load that the target last reported, which lags behind; the caller's count if the target reports none. */
    std::uint32_t reported = 0;
    /** Whether the policy may choose the target. */
    bool usable = true;
};

/** The targets of a pool and their loads. */
struct PoolLoad
{
    std::vector<TargetLoad> targets;
    /** The number of requests in flight on the targets that count for the mean. */
    std::uint64_t total = 0;
    /** The number of targets that count for the mean. */
    std::uint64_t counted = 0;
    /** The load bound is never below this, since total may lag behind the requests in flight. */
    std::uint64_t minimumBound = 0;
};

/** The properties of a request that a policy uses. */
struct PolicyRequest
{
    std::uint64_t chatHash = 0;
    std::uint32_t boundPercent = 125;
    /** The index of the target that answered the chat's previous turn, if known. */
    std::optional<std::size_t> last = std::nullopt;
    /** Whether the chat is certainly new, so that no target has any of it cached. */
    bool isNew = false;
    /** The hash of the prompt prefix that the chat shares with others; 0 if none is known. */
    std::uint64_t prefixHash = 0;
};

/** Chooses targets for requests. */
class Policy
{
public:
    Policy() = default;
    Policy(const Policy &) = delete;
    Policy &operator=(const Policy &) = delete;
    virtual ~Policy() = default;

    /** Returns the index of a usable target, or std::nullopt if the policy accepts none. */
    virtual std::optional<std::size_t> choose(const PoolLoad &load, const PolicyRequest &request) = 0;
};

/** @param seed the seed of the random generator of policies that have one. */
std::unique_ptr<Policy> makePolicy(PolicyKind kind, std::uint64_t seed);

} // namespace Sequoiausher
