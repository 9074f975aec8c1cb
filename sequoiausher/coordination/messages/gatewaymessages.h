#pragma once

// The report that gateways send each other every few hundred milliseconds: the age of their configuration, the revision
// of their target list, and their requests in flight.
//
//     GatewayReport report;
//     report.sentAt = now;
//     report.echo = newestReportOf(peer).sentAt;      // lets the peer date this report's ages by its own clock

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** The number of the sender's requests in flight at one target. */
struct GatewayLoad
{
    TargetId target;
    std::uint32_t inFlight = 0;
    /** The sender avoids the target for a while, because requests failed there. */
    bool suspected = false;
    /** Another target answered the sender, or a gateway that it reports for, at this one's address. */
    bool misdirected = false;

    bool operator==(const GatewayLoad &) const = default;
};

/** A target that received a request with a shared prompt part. */
struct GatewayPlacement
{
    /** hash64 of the prompt part's id. */
    std::uint64_t part = 0;
    TargetId target;

    bool operator==(const GatewayPlacement &) const = default;
};

/** A target that ended while it ran a request, or a whole answer to a request suspected of crashing targets. */
struct GatewayCrash
{
    /** Hash of the caller's organisation. */
    std::uint64_t caller = 0;
    /** The content of the request's fingerprint, or the hash of a prompt part's id. */
    std::uint64_t content = 0;
    /** Empty for a whole answer. */
    TargetId target;
    /** Time since the target ended, or since the whole answer. */
    Millis age;
    /** How long the target had the request before it ended; 0 for a whole answer. */
    Millis ranFor;

    bool operator==(const GatewayCrash &) const = default;
};

/** Whether a data centre is evacuated, and the position of the store at which that last changed. */
struct GatewayEvacuation
{
    DataCentreId dataCentre;
    Revision changedAt = 0;
    bool isEvacuated = false;

    bool operator==(const GatewayEvacuation &) const = default;
};

/** A target that is cold: it has just started, or lost what made it fast. */
struct GatewayColdTarget
{
    TargetId target;
    /** How much longer it stays cold. */
    Millis remaining;

    bool operator==(const GatewayColdTarget &) const = default;
};

/** A gateway on the sender's list of gateways. */
struct GatewayMember
{
    /** Its address for peers. */
    InstanceId instance;
    /** Time since any gateway received a report from this one, as far as the gateways on the path know. */
    Millis age;
    /**
     * Capacity that the gateway has besides what its callers' requests use; a relative number without unit. The
     * strongest gateways are hubs.
     */
    std::uint16_t strength = 0;
    /** The gateway's data centre; empty if no gateway on the path sends it. */
    DataCentreId dataCentre;

    bool operator==(const GatewayMember &) const = default;
};

/** A report from one gateway to another. */
struct GatewayReport
{
    /** Time of sending by the sender's monotonic clock. Only the sender interprets it, when it returns as echo. */
    Millis sentAt;
    /** sentAt of the newest report that the sender received from the receiver; 0 before the first report. */
    Millis echo;
    /** The version of the routes, services and keys in use at the sender; 0 before the first configuration. */
    Revision configuration = 0;
    /** Time since the configuration was last confirmed as the newest published version; never() if unknown. */
    Millis proofAge = Millis::never();
    /**
     * Age of the sender's newest information from the store, read by itself or by a peer; never() if it has none, or if
     * its list of targets keeps entries that may be gone.
     */
    Millis storeAge = Millis::never();
    /** The store's revision up to which the sender's list of targets is complete. */
    Revision targets = 0;
    /** The gateways that were recently active, as far as the sender knows; left out of some reports. */
    std::vector<GatewayMember> members;
    /** Requests in flight of the sender and of the gateways that a hub reports for, without the receiver's own. */
    std::vector<GatewayLoad> loads;
    /** Placements that are new since the last report to the receiver, or due to be repeated. */
    std::vector<GatewayPlacement> placements;
    /** The sender is stopping. */
    bool leaving = false;
    /** The receiver shall answer at once with its own report. */
    bool wantsReply = false;
    /** This report answers another report, and gets no answer itself. */
    bool isReply = false;
    /** The sender relies on its peers' reads of the store, or got no answer from the store lately. */
    bool isResting = false;
    /** strength and dataCentre of the sender, as in GatewayMember. */
    std::uint16_t strength = 0;
    DataCentreId dataCentre;
    /** The sender is a hub, which reports for other gateways too. */
    bool isHub = false;
    /** The sender reads the store itself and did not lose contact with the store lately. */
    bool isSettled = false;
    /** The era of the store to which the revision in targets belongs; 0 if the sender does not send it. */
    std::uint64_t storeEra = 0;
    /** Crashes and whole answers that are new, and crashes of requests that are refused fleet-wide. */
    std::vector<GatewayCrash> crashes;
    /** The same for parts of prompts. */
    std::vector<GatewayCrash> partCrashes;
    /** The digest of the sender's evacuations; 0 if it knows nothing of evacuations. */
    std::uint64_t evacuationsDigest = 0;
    /** All data centres that were ever evacuated; left out if the receiver reported the same digest. */
    std::vector<GatewayEvacuation> evacuations;
    /** The targets that are cold as far as the sender knows. */
    std::vector<GatewayColdTarget> coldTargets;
    /** The sender reads the software versions in lists of targets. */
    bool readsVersions = false;

    bool operator==(const GatewayReport &) const = default;
};

} // namespace Sequoiausher
