#include "sequoiausher/coordination/gateway/admissionclient.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

/** An owner replies within a few milliseconds; a busy one takes some tens. */
constexpr Millis replyTimeout{60};
/** How long an owner that failed is skipped: by then its peers have noticed whether it is gone. */
constexpr Millis skipTime{2000};

} // namespace

InstanceId AdmissionClient::chooseOwner(const std::vector<InstanceId> &owners, Millis now) const
{
    for (const InstanceId &owner : owners) {
        const auto skipped = this->skippedUntil.find(owner);
        if (skipped == this->skippedUntil.end() || now >= skipped->second) {
            return owner;
        }
    }
    return {};
}

Outbox AdmissionClient::ask(GatewayAdmissionRequest request,
                            const std::vector<InstanceId> &owners,
                            Millis now,
                            Answered answered)
{
    const InstanceId owner = this->chooseOwner(owners, now);
    if (owner.empty()) {
        answered({});
        return {};
    }
    request.id = ++this->lastId;
    this->pending.emplace(request.id, Pending{owner, now, std::move(answered)});
    return {{owner, std::move(request)}};
}

Outbox AdmissionClient::receive(const InstanceId &from, const GatewayAdmissionReply &reply)
{
    const auto found = this->pending.find(reply.id);
    if (found == this->pending.end() || found->second.owner != from) {
        // The request was given up and has been decided without this place.
        const bool isGranted = reply.verdict == AdmissionVerdict::Granted;
        return isGranted ? release({from, reply.id}, PlaceOutcome::Unused, Millis{0}) : Outbox{};
    }
    const Answered answered = std::move(found->second.answered);
    this->pending.erase(found);
    this->skippedUntil.erase(from);
    answered(toAnswer(from, reply));
    return {};
}

AdmissionAnswer AdmissionClient::toAnswer(const InstanceId &owner, const GatewayAdmissionReply &reply)
{
    AdmissionAnswer answer;
    answer.retryAfter = reply.retryAfter;
    switch (reply.verdict) {
    case AdmissionVerdict::Granted:
        answer.result = AdmissionResult::Granted;
        answer.place = {owner, reply.id};
        answer.target = reply.target;
        answer.hedgeAfter = reply.hedgeAfter;
        answer.copyFrom = reply.copyFrom;
        answer.tokensToRead = reply.tokensToRead;
        answer.held = reply.held;
        answer.bound = reply.bound;
        break;
    case AdmissionVerdict::Overloaded:
        answer.result = AdmissionResult::Overloaded;
        break;
    case AdmissionVerdict::NoHedge:
        answer.result = AdmissionResult::NoHedge;
        break;
    case AdmissionVerdict::NoTarget:
        answer.result = AdmissionResult::NoTarget;
        break;
    }
    return answer;
}

Outbox AdmissionClient::release(const AdmissionPlace &place, PlaceOutcome outcome, Millis elapsed)
{
    return {{place.owner, GatewayAdmissionRelease{place.id, outcome, elapsed, 0, 0}}};
}

Outbox AdmissionClient::reportBegun(const AdmissionPlace &place,
                                    Millis elapsed,
                                    std::uint16_t slownessPercent,
                                    std::uint32_t heldRequests)
{
    constexpr std::uint32_t maxHeld = 255;
    const auto held = static_cast<std::uint8_t>(std::min(heldRequests, maxHeld));
    return {{place.owner, GatewayAdmissionRelease{place.id, PlaceOutcome::Begun, elapsed, slownessPercent, held}}};
}

void AdmissionClient::tick(Millis now)
{
    // Requests have ascending ids, so the first one is the oldest.
    while (!this->pending.empty() && now - this->pending.begin()->second.askedAt >= replyTimeout) {
        this->giveUp(this->pending.begin()->second.owner, now - replyTimeout, now);
    }
    std::erase_if(this->skippedUntil, [now](const auto &entry) { return now >= entry.second; });
}

void AdmissionClient::recordLinkLost(const InstanceId &peer, Millis now)
{
    this->giveUp(peer, now, now);
}

void AdmissionClient::giveUp(InstanceId owner,
                             Millis askedBefore,
                             Millis now) // NOLINT(performance-unnecessary-value-param)
{
    this->skippedUntil[owner] = now + skipTime;
    std::vector<Answered> given;
    std::erase_if(this->pending, [&owner, askedBefore, &given](auto &entry) {
        const bool isGivenUp = entry.second.owner == owner && entry.second.askedAt <= askedBefore;
        if (isGivenUp) {
            given.push_back(entry.second.answered);
        }
        return isGivenUp;
    });
    for (const Answered &answered : given) {
        answered({});
    }
}

} // namespace Sequoiausher
