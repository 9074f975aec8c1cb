#pragma once

// Reserves a place at a target for one request, at the admission owner of its service, and gives it back. This gateway
// is the owner itself for some services; then no message is sent.
//
//     PlaceRequest place(context);
//     place.ask(admitted, criteria, receivedAt, now, [this](const AdmissionAnswer &answer) { this->goOn(answer); });
//     place.release(PlaceOutcome::Answered, elapsed);

#include "sequoiausher/coordination/gateway/admissionclient.h"
#include "sequoiausher/transport/gateway/gatewayadmission.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** Decides as the admission owner about a request of a gateway. */
GatewayAdmissionReply
decideAsOwner(GatewayContext &context, const InstanceId &from, const GatewayAdmissionRequest &request, Millis now);

/** Takes a place back, or notes that its request has begun, as the admission owner. */
void releaseAsOwner(GatewayContext &context,
                    const InstanceId &from,
                    const GatewayAdmissionRelease &release,
                    Millis now);
/** Takes back all places of a gateway whose process has ended, as the admission owner. */
void releaseAllAsOwner(GatewayContext &context, const InstanceId &from);
/** The gateways that hold places which this one has granted. */
std::vector<InstanceId> placeHolders(const GatewayContext &context);
/** Whether the request has a prompt, so that its place is at a model engine. */
bool hasPrompt(const AdmittedRequest &admitted);

/** The place of one request. */
class PlaceRequest
{
public:
    using Answered = std::function<void(const AdmissionAnswer &answer)>;

    /** context outlives this. */
    explicit PlaceRequest(GatewayContext &context);
    ~PlaceRequest();
    PlaceRequest(const PlaceRequest &) = delete;
    PlaceRequest &operator=(const PlaceRequest &) = delete;

    /**
     * Asks for a place at a target that meets the criteria. Calls answered once, at once or later; never after this is
     * destroyed or cancelled.
     */
    void ask(const AdmittedRequest &admitted,
             const TargetCriteria &criteria,
             Millis receivedAt,
             Millis now,
             const Answered &answered);
    /** Asks the owner of a granted place for another one, for a second copy of its request. */
    void askSecond(const PlaceRequest &first,
                   const AdmittedRequest &admitted,
                   const TargetCriteria &criteria,
                   Millis now,
                   const Answered &answered);
    /** Whether a place is held. */
    bool isGranted() const;
    /**
     * Tells the owner once that the first event has come, and what the target announced about itself; 0 for what it did
     * not announce.
     */
    void reportBegun(Millis elapsed, std::uint16_t slownessPercent, std::uint32_t heldRequests);
    /** Whether an answer is awaited. */
    bool isAsking() const;
    /** Stops waiting for the answer, and gives back a place that is granted all the same. */
    void cancel();
    /** Gives the place back, if there is one. */
    void release(PlaceOutcome outcome, Millis elapsed);

private:
    GatewayAdmissionRequest
    requestFor(const AdmittedRequest &admitted, const TargetCriteria &criteria, Millis now) const;
    void
    send(GatewayAdmissionRequest request, const std::vector<InstanceId> &owners, Millis now, const Answered &answered);

    GatewayContext &context;
    AdmissionPlace place;
    bool hasBegun = false;
    /** Expires when the answer is no longer awaited. */
    std::shared_ptr<const bool> asking;
};

} // namespace Sequoiausher
