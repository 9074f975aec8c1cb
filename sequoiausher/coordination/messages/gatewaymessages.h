#pragma once

// What gateways tell each other every few hundred milliseconds: how fresh their configuration is, which targets they
// know, and what they hold in flight.
//
//     GatewayReport report;
//     report.sentAt = now;
//     report.echo = newestReportOf(peer).sentAt;      // lets the peer date what this report proves by its own clock

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** What the sender has in flight at one target. */
struct GatewayLoad
{
    TargetId target;
    std::uint32_t inFlight = 0;
    /** The sender keeps away from the target for a while, since requests failed there. */
    bool suspected = false;

    bool operator==(const GatewayLoad &) const = default;
};

/** A target to which the sender sent a request with a shared part of a prompt. */
struct GatewayPlacement
{
    /** hash64 of the part's id. */
    std::uint64_t part = 0;
    TargetId target;

    bool operator==(const GatewayPlacement &) const = default;
};

/** A target that ended while it had a request, or a whole answer to a request that was suspected of ending targets. */
struct GatewayCrash
{
    /** The request's fingerprint. */
    std::uint64_t caller = 0;
    std::uint64_t content = 0;
    /** Empty for a whole answer. */
    TargetId target;
    /** How long ago. */
    Millis age;
    /** How long the target had had the request. */
    Millis ranFor;

    bool operator==(const GatewayCrash &) const = default;
};

/** A gateway that the sender knows of. */
struct GatewayMember
{
    /** Its address for peers. */
    InstanceId instance;
    /** How long ago anybody heard from it, as far as the gateways on the way know. */
    Millis age;
    /** How much it can carry beside its callers' requests; hubs are the strongest. */
    std::uint16_t strength = 0;
    /** Where it stands; empty where nobody on the way tells. */
    DataCentreId dataCentre;

    bool operator==(const GatewayMember &) const = default;
};

/** What one gateway says to another. */
struct GatewayReport
{
    /** The sender's monotonic clock. Only the sender reads it again, as an echo. */
    Millis sentAt;
    /** sentAt of the newest report that the sender has from the receiver; 0 before the first. */
    Millis echo;
    /** The version of the routes, services and keys in force at the sender; 0 before the first. */
    Revision configuration = 0;
    /** How long ago the sender knew that no newer version was published; never() where it does not know. */
    Millis proofAge = Millis::never();
    /** How long ago the store answered the sender itself; never() where it has not. */
    Millis storeAge = Millis::never();
    /** The store's revision to which the sender's list of targets is up to date. */
    Revision targets = 0;
    /** The gateways that the sender has heard of lately. */
    std::vector<GatewayMember> members;
    /** What is in flight from the sender and those for whom it speaks, the receiver not among them. */
    std::vector<GatewayLoad> loads;
    /** Since the last report to the receiver. */
    std::vector<GatewayPlacement> placements;
    /** The sender is stopping. */
    bool leaving = false;
    /** The receiver shall answer with a report of its own at once. */
    bool wantsReply = false;
    /** It is such an answer, which is not answered again. */
    bool isReply = false;
    /** The sender does not read the store itself while the receiver vouches for what it knows. */
    bool isResting = false;
    /** The sender's own, as GatewayMember has it. */
    std::uint16_t strength = 0;
    DataCentreId dataCentre;
    /** The sender carries reports for others. */
    bool isHub = false;
    /** The sender reads the store itself and was not without it lately. */
    bool isSettled = false;
    /** The era of the store in which targets is a revision; 0 where the sender does not tell. */
    std::uint64_t storeEra = 0;
    /** What ended under which request, where that is new or the request is refused everywhere. */
    std::vector<GatewayCrash> crashes;

    bool operator==(const GatewayReport &) const = default;
};

} // namespace Sequoiausher
