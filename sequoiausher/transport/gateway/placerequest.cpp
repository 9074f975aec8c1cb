#include "sequoiausher/transport/gateway/placerequest.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

InstanceId selfOf(const GatewayContext &context)
{
    return InstanceId{context.settings.peerAddress};
}

std::uint32_t organisationHash(const OrganisationId &organisation)
{
    return static_cast<std::uint32_t>(hash64(organisation.value));
}

std::vector<OwnedTarget> ownedTargets(GatewayContext &context, const PoolId &service, Millis now)
{
    TargetCriteria criteria;
    criteria.service = service;
    criteria.policy = PolicyKind::LeastExpected;
    std::vector<OwnedTarget> owned;
    for (const ServiceTarget &target : context.board.serviceTargets(criteria, now)) {
        owned.push_back({target.id, target.slots, target.inFlight, target.isUsable, target.reportedByLost});
    }
    // They get no requests, but the mean of the service is that of all its targets.
    for (const ServiceTarget &target : context.board.targetsWithoutNewRequests(service)) {
        owned.push_back({target.id, target.slots, target.inFlight, false, target.reportedByLost});
    }
    return owned;
}

AdmissionPrompt promptOf(const AdmittedRequest &admitted)
{
    constexpr std::uint32_t defaultBound = 150;
    constexpr std::uint32_t maxBound = 65535;
    AdmissionPrompt prompt;
    prompt.parts = admitted.parts.sharedParts();
    prompt.ownTokens = admitted.parts.empty() ? admitted.request.promptTokens : admitted.parts.ownTokenCount();
    prompt.boundPercent
        = static_cast<std::uint16_t>(std::min(admitted.decision.boundPercent.value_or(defaultBound), maxBound));
    prompt.priority = static_cast<std::uint8_t>(admitted.decision.priority);
    prompt.isShortestFirst = admitted.decision.queueOrder == QueueOrder::ShortestFirst;
    prompt.mayCopy = admitted.decision.cacheMiss == CacheMiss::Copy;
    return prompt;
}

void sendAll(GatewayContext &context, Outbox messages)
{
    for (const Outgoing &out : messages) {
        const auto *release = std::get_if<GatewayAdmissionRelease>(&out.message);
        if (release != nullptr && out.to == selfOf(context)) {
            releaseAsOwner(context, out.to, *release, Millis::monotonicNow());
        }
    }
    std::erase_if(messages, [&context](const Outgoing &out) { return out.to == selfOf(context); });
    context.sendToPeers(std::move(messages));
}

} // namespace

GatewayAdmissionReply
decideAsOwner(GatewayContext &context, const InstanceId &from, const GatewayAdmissionRequest &request, Millis now)
{
    const bool isForEngine = !request.prompt.isEmpty();
    const bool needsTargets = isForEngine ? context.engineOwner.needsTargets(request.service, now)
                                          : context.admissionOwner.needsTargets(request.service, now);
    if (needsTargets) {
        const std::vector<OwnedTarget> owned = ownedTargets(context, request.service, now);
        if (isForEngine) {
            context.engineOwner.setTargets(request.service, owned, now);
        } else {
            context.admissionOwner.setTargets(request.service, owned, now);
        }
    }
    GatewayAdmissionReply reply = isForEngine ? context.engineOwner.decide(from, request, context.parts, now)
                                              : context.admissionOwner.decide(from, request, now);
    context.metrics.add(reply.verdict == AdmissionVerdict::Granted ? "gateway_places_granted_total"
                                                                   : "gateway_places_refused_total");
    return reply;
}

void releaseAsOwner(GatewayContext &context, const InstanceId &from, const GatewayAdmissionRelease &release, Millis now)
{
    // Ids are unique among all requests of a gateway, so only one owner knows the place.
    context.admissionOwner.release(from, release, now);
    context.engineOwner.release(from, release, now);
}

void releaseAllAsOwner(GatewayContext &context, const InstanceId &from)
{
    context.admissionOwner.releaseAll(from);
    context.engineOwner.releaseAll(from);
}

std::vector<InstanceId> placeHolders(const GatewayContext &context)
{
    std::vector<InstanceId> holders = context.admissionOwner.holders();
    const std::vector<InstanceId> ofEngines = context.engineOwner.holders();
    holders.insert(holders.end(), ofEngines.begin(), ofEngines.end());
    return holders;
}

bool hasPrompt(const AdmittedRequest &admitted)
{
    return admitted.request.promptTokens > 0 || !admitted.parts.empty();
}

PlaceRequest::PlaceRequest(GatewayContext &shared) : context(shared)
{
}

PlaceRequest::~PlaceRequest()
{
    this->release(PlaceOutcome::Unused, Millis{0});
}

GatewayAdmissionRequest
PlaceRequest::requestFor(const AdmittedRequest &admitted, const TargetCriteria &criteria, Millis now) const
{
    GatewayAdmissionRequest request;
    request.service = admitted.service;
    request.organisation = organisationHash(admitted.organisation);
    request.requestClass = admitted.requestClass;
    request.aim = admitted.route->latencyAim;
    request.timeLeft = std::max(admitted.deadline - now, Millis{0});
    for (const ServiceTarget &target : this->context.board.serviceTargets(criteria, now)) {
        if (!target.isUsable) {
            request.excluded.push_back(target.id);
        }
    }
    if (hasPrompt(admitted)) {
        request.prompt = promptOf(admitted);
    }
    return request;
}

void PlaceRequest::ask(const AdmittedRequest &admitted,
                       const TargetCriteria &criteria,
                       Millis receivedAt,
                       Millis now,
                       const Answered &answered)
{
    GatewayAdmissionRequest request = this->requestFor(admitted, criteria, now);
    request.waited = estimateWaited(this->context, admitted, receivedAt);
    // A retry is no further request of the caller, so it earns no second copy.
    request.hedgePercent = criteria.excluded.empty() ? static_cast<std::uint16_t>(admitted.decision.hedgePercent) : 0;
    request.hedgeWindow = admitted.decision.hedgeWindow;
    this->context.metrics.add("gateway_places_asked_total");
    const std::vector<InstanceId> owners
        = this->context.peers.strongestByRendezvous(hash64(request.service.value), now);
    this->send(std::move(request), owners, now, answered);
}

void PlaceRequest::askSecond(const PlaceRequest &first,
                             const AdmittedRequest &admitted,
                             const TargetCriteria &criteria,
                             Millis now,
                             const Answered &answered)
{
    GatewayAdmissionRequest request = this->requestFor(admitted, criteria, now);
    request.hedgeOf = first.place.id;
    this->send(std::move(request), {first.place.owner}, now, answered);
}

void PlaceRequest::send(GatewayAdmissionRequest request,
                        const std::vector<InstanceId> &owners,
                        Millis now,
                        const Answered &answered)
{
    this->release(PlaceOutcome::Unused, Millis{0});
    this->hasBegun = false;
    const InstanceId self = selfOf(this->context);
    if (this->context.admissionClient.chooseOwner(owners, now) == self) {
        request.id = ++this->context.lastOwnPlaceId;
        const AdmissionAnswer answer
            = AdmissionClient::toAnswer(self, decideAsOwner(this->context, self, request, now));
        this->place = answer.place;
        answered(answer);
        return;
    }
    this->asking = std::make_shared<const bool>(true);
    const auto finish =
        [&shared = this->context, alive = std::weak_ptr(this->asking), this, answered](const AdmissionAnswer &answer) {
            if (alive.expired()) {
                if (answer.result == AdmissionResult::Granted) {
                    sendAll(shared, AdmissionClient::release(answer.place, PlaceOutcome::Unused, Millis{0}));
                }
                return;
            }
            this->asking.reset();
            this->place = answer.place;
            if (answer.result == AdmissionResult::NoReply) {
                shared.metrics.add("gateway_places_unanswered_total");
            }
            answered(answer);
        };
    sendAll(this->context, this->context.admissionClient.ask(std::move(request), owners, now, finish));
}

bool PlaceRequest::isGranted() const
{
    return this->place.id != 0;
}

void PlaceRequest::reportBegun(Millis elapsed, std::uint16_t slownessPercent, std::uint32_t heldRequests)
{
    if (this->isGranted() && !std::exchange(this->hasBegun, true)) {
        sendAll(this->context, AdmissionClient::reportBegun(this->place, elapsed, slownessPercent, heldRequests));
    }
}

bool PlaceRequest::isAsking() const
{
    return this->asking != nullptr;
}

void PlaceRequest::cancel()
{
    this->asking.reset();
}

void PlaceRequest::release(PlaceOutcome outcome, Millis elapsed)
{
    const AdmissionPlace held = std::exchange(this->place, {});
    if (held.id != 0) {
        sendAll(this->context, AdmissionClient::release(held, outcome, elapsed));
    }
}

} // namespace Sequoiausher
