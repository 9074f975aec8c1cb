#pragma once

// The choice among the targets of a service that may get a request: one class for each way to choose, behind one
// interface.
//
//     SelectionInput input{candidates, load, request};
//     const std::optional<std::size_t> index = makeTargetSelector(PolicyKind::RoomRendezvous, seed)->select(input);

#include "sequoiausher/coordination/gateway/targetstate.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** What a selector uses of a request. */
struct SelectionRequest
{
    std::uint32_t boundPercent = 150;
    /** Hash of the part of the prompt that is most likely cached; any hash where the request has no such part. */
    std::uint64_t partHash = 0;
    /** Hash of the first part of the prompt; 0 where the request has no prompt. */
    std::uint64_t firstPartHash = 0;
    /** Targets that have read the part of partHash, the preferred one first. */
    std::vector<TargetId> holders;
    /** The requests that peers are likely to have sent to the holders since their reports. */
    double unreportedAtHolders = 0;
    /** Differs from request to request. */
    std::uint64_t requestHash = 0;
};

/** The targets to choose among; candidates and load.targets have the same order. */
struct SelectionInput
{
    const std::vector<TargetState *> &candidates;
    const PoolLoad &load;
    const SelectionRequest &request;
};

/** Chooses one of the usable targets. */
class TargetSelector
{
public:
    TargetSelector() = default;
    TargetSelector(const TargetSelector &) = delete;
    TargetSelector &operator=(const TargetSelector &) = delete;
    virtual ~TargetSelector() = default;

    /** Returns an index of a usable target in input.load.targets; none if the selector accepts none. */
    virtual std::optional<std::size_t> select(const SelectionInput &input) = 0;
    /**
     * Estimates the requests of the target for input.load. By default these are the counted ones; a selector may
     * smooth them.
     */
    virtual std::uint32_t estimateInFlight(const TargetState &target) const;
};

/** @param seed the seed of the random generator of selectors that have one. */
std::unique_ptr<TargetSelector> makeTargetSelector(PolicyKind kind, std::uint64_t seed);

} // namespace Sequoiausher
