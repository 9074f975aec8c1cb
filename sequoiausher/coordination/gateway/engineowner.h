#pragma once

// Admission to a service of model engines by one gateway of the fleet, as AdmissionOwner does for plain services. The
// owner is asked for each request, so it knows how many tokens of prompts wait to be read at each engine, which parts
// of prompts each one has read or is reading, and how many requests each one holds. It chooses the engine that is
// expected to give the first event soonest. A gateway alone knows this only by reports that are as old as a prompt
// takes to read.
//
// The expected time counts the tokens that wait at the engine before the request, those that it has to read for the
// request, and how long work takes there at the moment by the engine's own word. Reading again what another engine has
// read counts twice, since it also delays others. No engine gets more requests than the rule's bound, while others are
// below it; how many each one holds is estimated by TargetOccupancy. A request whose first event is expected after its
// caller has left is refused.
//
// All of it is soft state, lost with the owner's process. The next owner starts from the loads and the placements of
// parts that gateways report.
//
//     EngineOwner owner;
//     owner.setTargets(service, targets, now);
//     const GatewayAdmissionReply reply = owner.decide(gateway, request, reportedParts, now);
//     owner.release(gateway, {reply.id, PlaceOutcome::Begun, Millis{180}, 100}, now);
//     owner.release(gateway, {reply.id, PlaceOutcome::Answered, Millis{400}, 0}, now);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/admissionowner.h"
#include "sequoiausher/coordination/gateway/prefixdirectory.h"
#include "sequoiausher/coordination/gateway/targetoccupancy.h"
#include "sequoiausher/coordination/messages/gatewayadmissionmessages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** Figures of one owned service of engines. */
struct OwnedEnginesState
{
    std::size_t targets = 0;
    std::size_t placesTaken = 0;
    /** Tokens of prompts that have been placed and not been read, as far as is known. */
    std::uint64_t waitingTokens = 0;
    /** The tokens that an engine reads in one ms; 0 before it is known. */
    double tokensPerMs = 0;
};

/** The owner's decisions for all services of engines that it owns. Not thread-safe. */
class EngineOwner
{
public:
    explicit EngineOwner(const OccupancySettings &settings = {});
    ~EngineOwner();

    /** Whether the targets of the service must be set before the next decision, because they are unknown or old. */
    bool needsTargets(const PoolId &service, Millis now) const;
    /** Replaces the targets of a service. The counts of targets that stay are kept. */
    void setTargets(const PoolId &service, const std::vector<OwnedTarget> &targets, Millis now);
    /**
     * Decides about a request. A repeated request gets the place that it got before.
     * @param reported the placements of parts by the gateways' reports
     */
    GatewayAdmissionReply
    decide(const InstanceId &from, const GatewayAdmissionRequest &request, const PrefixDirectory &reported, Millis now);
    /** Notes the first event of a request, or takes its place back; an unknown one is ignored. */
    void release(const InstanceId &from, const GatewayAdmissionRelease &release, Millis now);
    /** Takes back all places of a gateway whose process has ended. */
    void releaseAll(const InstanceId &from);
    /**
     * Records that the link to a gateway has broken, or works again. Its process may have ended with all its requests,
     * or be cut off and go on with them: until that is known its places count at their targets, and not in the mean
     * that bounds the others.
     */
    void setLost(const InstanceId &from, bool isLost);
    /** The gateways that hold places. */
    std::vector<InstanceId> holders() const;

    OwnedEnginesState state(const PoolId &service) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
