#pragma once

// Admission to a service whose few targets have few places. One gateway of the fleet is the admission owner of the
// service: all gateways ask it before they send a request, so it counts the requests at each target exactly. It chooses
// the target that is expected to answer first, and refuses at once what cannot be answered in time.
//
// Who is refused: the longer the expected time, the more urgent a request has to be; within a class, organisations that
// get more than their max-min fair part of what the service can do are refused before the others.
//
// A request that may be repeated can be hedged: if it has no answer after a time that few answers take, its gateway
// asks for a place for a second copy. The owner grants one only if another target has a free place and most likely
// answers sooner, and within the rule's limit, which it counts for the whole fleet.
//
// The counts are soft state. They are lost with the owner's process, and the next owner starts from the loads that
// gateways report. A place whose request is never released expires with the request's deadline.
//
//     AdmissionOwner owner;
//     owner.setTargets(service, targets, now);
//     const GatewayAdmissionReply reply = owner.decide(gateway, request, now);
//     owner.release(gateway, release, now);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/gatewayadmissionmessages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** An eligible target of the service, as the owner's gateway knows it. */
struct OwnedTarget
{
    TargetId id;
    /** The number of requests that the target runs at once. */
    std::uint32_t slots = 1;
    /** Requests in flight by the gateways' reports, which are older than the owner's own counts. */
    std::uint32_t reportedInFlight = 0;
    /** Whether requests may be sent there now. */
    bool isUsable = true;
    /** Those of reportedInFlight that gateways reported whose links have broken since. */
    std::uint32_t reportedByLost = 0;

    bool operator==(const OwnedTarget &) const = default;
};

/** Figures of one owned service, for metrics and log lines. */
struct OwnedServiceState
{
    std::size_t targets = 0;
    std::size_t placesTaken = 0;
    /** Requests per second that the service can answer, as estimated from its answers; 0 before the first answer. */
    double capacityPerSecond = 0;
    double offeredPerSecond = 0;
    /** Second copies that were granted since the service is owned. */
    std::uint64_t hedges = 0;
};

/** The owner's decisions for all services that it owns. Not thread-safe. */
class AdmissionOwner
{
public:
    AdmissionOwner();
    ~AdmissionOwner();

    /** Whether the targets of the service must be set before the next decision, because they are unknown or old. */
    bool needsTargets(const PoolId &service, Millis now) const;
    /** Replaces the targets of a service. The counts of targets that stay are kept. */
    void setTargets(const PoolId &service, const std::vector<OwnedTarget> &targets, Millis now);
    /** Decides about a request. A repeated request gets the place that it got before. */
    GatewayAdmissionReply decide(const InstanceId &from, const GatewayAdmissionRequest &request, Millis now);
    /** Takes a place back; an unknown one is ignored. */
    void release(const InstanceId &from, const GatewayAdmissionRelease &release, Millis now);
    /** Takes back all places of a gateway whose process has ended. */
    void releaseAll(const InstanceId &from);
    /** The gateways that hold places. */
    std::vector<InstanceId> holders() const;

    OwnedServiceState state(const PoolId &service, Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
