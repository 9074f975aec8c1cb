#pragma once

// Asks the admission owner of a service for a place, and gives the place back. Owners are ranked by rendezvous over the
// strongest gateways. An owner that does not reply in time, or whose link breaks, is skipped for a while, so that the
// next one in the ranking is asked. Where no owner replies, the caller of this class decides alone.
//
//     AdmissionClient client;
//     send(client.ask(request, owners, now, [](const AdmissionAnswer &answer) { ... }));
//     send(client.receive(owner, reply));
//     send(client.release(answer.place, PlaceOutcome::Answered, elapsed));

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace Sequoiausher {

/** A place at a target that an owner has granted. */
struct AdmissionPlace
{
    InstanceId owner;
    /** 0 for none. */
    std::uint64_t id = 0;
};

/** What followed from asking. */
enum class AdmissionResult {
    Granted,
    Overloaded,
    /** The owner knows no usable target. */
    NoTarget,
    /** No second copy may be sent. */
    NoHedge,
    /** The owner did not reply in time, or there is none. */
    NoReply,
};

template<>
inline constexpr auto nameTable<AdmissionResult> = std::to_array<NameEntry<AdmissionResult>>({
    {AdmissionResult::Granted, "granted"},
    {AdmissionResult::Overloaded, "overloaded"},
    {AdmissionResult::NoTarget, "no-target"},
    {AdmissionResult::NoHedge, "no-hedge"},
    {AdmissionResult::NoReply, "no-reply"},
});

/** The answer to one request for a place. */
struct AdmissionAnswer
{
    AdmissionResult result = AdmissionResult::NoReply;
    AdmissionPlace place;
    /** Empty unless granted. */
    TargetId target;
    /** Minimum Retry-After if the service is overloaded. */
    Millis retryAfter;
    /** When to ask for a second copy, if the request has no answer by then; 0 for never. */
    Millis hedgeAfter;
    /** A target that has read parts of the prompt which the granted one lacks; empty for none. */
    TargetId copyFrom;
    /** Tokens of the prompt that the granted target has to read. */
    std::uint32_t tokensToRead = 0;
    /** The requests that the target holds by the owner's estimate, and how many it may hold. */
    std::uint16_t held = 0;
    std::uint16_t bound = 0;
};

/** The requests for places of one gateway. Not thread-safe. */
class AdmissionClient
{
public:
    using Answered = std::function<void(const AdmissionAnswer &answer)>;

    /**
     * Asks the first owner that is not skipped. answered is called once: by receive(), tick() or recordLinkLost(), or
     * before this returns if there is no owner to ask. The request's id is set here.
     * @param owners the candidates, the first one preferred; the chosen one is not this gateway itself
     */
    Outbox ask(GatewayAdmissionRequest request, const std::vector<InstanceId> &owners, Millis now, Answered answered);
    /** Returns the first of the candidates that is not skipped; empty for none. */
    InstanceId chooseOwner(const std::vector<InstanceId> &owners, Millis now) const;
    /** Takes a reply. Returns the release of a place that nobody waits for any more. */
    Outbox receive(const InstanceId &from, const GatewayAdmissionReply &reply);
    /** What a reply of the owner means. */
    static AdmissionAnswer toAnswer(const InstanceId &owner, const GatewayAdmissionReply &reply);
    /** Gives a place back. */
    static Outbox release(const AdmissionPlace &place, PlaceOutcome outcome, Millis elapsed);
    /**
     * Tells the owner that the first event of the place's request has come, and what the target announced about itself:
     * how long work takes there, and how many requests it holds; 0 for what it did not announce.
     */
    static Outbox
    reportBegun(const AdmissionPlace &place, Millis elapsed, std::uint16_t slownessPercent, std::uint32_t heldRequests);
    /** Gives up requests that were not answered in time. */
    void tick(Millis now);
    /** The link to the peer broke: gives up the requests to it and skips it for a while. */
    void recordLinkLost(const InstanceId &peer, Millis now);

private:
    struct Pending
    {
        InstanceId owner;
        Millis askedAt;
        Answered answered;
    };

    /** Takes the owner by value, since the entries that are erased hold the original. */
    void giveUp(InstanceId owner, Millis askedBefore, Millis now);

    std::uint64_t lastId = 0;
    std::map<std::uint64_t, Pending> pending;
    std::map<InstanceId, Millis> skippedUntil;
};

} // namespace Sequoiausher
