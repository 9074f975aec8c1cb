#pragma once

// The targets of all services with their load and health as this gateway sees them, and the choice among them. A
// target's load is the exact number of requests that this gateway has in flight there, plus the numbers that its peers
// reported last.
//
//     TargetBoard board(seed);
//     board.setTargets(list.targets(), now);
//     const auto chosen = board.choose(criteria, now);
//     board.recordStart(chosen->target.id);
//     board.recordEnd(chosen->target.id, TargetOutcome::Answered, now);

#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/coordination/gateway/targeteligibility.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"
#include "sequoiausher/coordination/rules/decision.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Sequoiausher {

/** How a request to a target ended, as far as that indicates the target's health. */
enum class TargetOutcome {
    /** The target answered without an error of its own. */
    Answered,
    /** The target answered with an error of its own. */
    Failed,
    /** No answer, or an answer that was cut off or corrupted. */
    Lost,
    /** The target was full and did not run the request. */
    Full,
    /** Another target answered at its address: this incarnation has ended, though the store may still list it. */
    Misdirected,
    /** Nothing that indicates the target's health, such as a caller that disconnected. */
    Neutral,
};

/** The requirements of a request for its target. */
struct TargetCriteria
{
    PoolId service;
    PolicyKind policy = PolicyKind::BoundedRendezvous;
    std::uint32_t boundPercent = 150;
    /** Hash of the part of the prompt that is most likely cached; any hash where the request has no such part. */
    std::uint64_t partHash = 0;
    /** Hash of the first part of the prompt; 0 where the request has no prompt. */
    std::uint64_t firstPartHash = 0;
    /** Targets that have read the part of partHash, the preferred one first. */
    std::vector<TargetId> holders;
    /** Differs from request to request. */
    std::uint64_t requestHash = 0;
    /** Targets to which the request was sent before. */
    std::vector<TargetId> excluded;
    AllowedRegions allowedRegions;
    /** The software version of the target, for a stream that it began; none for any. */
    std::optional<std::string> softwareVersion;
};

/** What a choice among targets went by, besides the loads themselves. */
struct LoadKnowledge
{
    /** Requests of this gateway at the chosen target. */
    std::uint32_t ownInFlight = 0;
    /** Peers whose reports counted, and the age of the oldest of these reports. */
    std::size_t reportingPeers = 0;
    Millis oldestReport;
};

/** A chosen target and the figures that decided the choice. */
struct ChosenTarget
{
    GatewayTarget target;
    std::uint32_t inFlight = 0;
    /** Requests in flight at all eligible targets of the service. */
    std::uint64_t totalInFlight = 0;
    /** The number of targets that could have been chosen. */
    std::size_t usableTargetCount = 0;
    /** Why the others could not. */
    IneligibilityCounts passedOver;
    LoadKnowledge knowledge;
};

/** An eligible target of a service. */
struct ServiceTarget
{
    TargetId id;
    std::uint32_t slots = 1;
    /** Requests in flight by this gateway's count and its peers' last reports. */
    std::uint32_t inFlight = 0;
    /** Whether a request with the given criteria may go there. */
    bool isUsable = true;
    /** Those of inFlight that peers reported whose links have broken since. */
    std::uint32_t reportedByLost = 0;
};

/** Loads and health of all targets. Not thread-safe. */
class TargetBoard
{
public:
    explicit TargetBoard(std::uint64_t seed);
    ~TargetBoard();

    /** Replaces the list of targets; the loads of targets that stay are kept. */
    void setTargets(const std::vector<GatewayTarget> &targets, Millis now);
    /** Sets the region of each data centre. */
    void setRegions(std::map<DataCentreId, RegionId> regions);
    /**
     * Sets the data centres whose targets get no requests. The targets of those that were in the set before count as
     * cold for the cold time of their service.
     */
    void setEvacuated(std::set<DataCentreId> dataCentres, Millis now);
    /** Sets how long a target of each service stays cold after it started, where targets of the service can be cold. */
    void setColdTimes(std::map<PoolId, Millis> times);
    /** Sets the limit for cold targets, which outlives this; none for no limit. */
    void setColdLimit(ColdTargetLimit *limit);
    /** Sets the limit for brittle targets, which outlives this; none for no limit. */
    void setBrittleLimit(BrittleTargetLimit *limit);
    /** Records what the store lists: how much longer the target stays cold, 0 for a warm one. */
    void recordCold(const TargetId &target, Millis remaining, Millis now);
    /** Records what a peer reported. The longest of several reported times holds. */
    void recordPeerCold(const std::vector<GatewayColdTarget> &coldTargets, Millis now);
    /** The targets that are cold, for peers. */
    std::vector<GatewayColdTarget> coldTargets(Millis now) const;
    /** Replaces the loads that the peer reported before. */
    void updatePeerLoads(const InstanceId &peer, const std::vector<GatewayLoad> &loads, Millis now);

    /**
     * Records that the link to a peer has broken. Its process may have ended with all its requests: until its next
     * report its loads count at their targets, and not in the mean that bounds the load of each.
     */
    void markPeerLost(const InstanceId &peer, Millis now);

    /** Removes the loads reported by all other peers, because the reports of this peer now include them. */
    void forgetOtherPeers(const InstanceId &peer);

    /** Sets how requests count that have waited for long at targets that lose answers. */
    void setOverdueRequests(const OverdueRequests &overdue);

    /** Sets how many other gateways choose among the same targets. */
    void setOtherGateways(std::size_t count);

    /**
     * Returns the share of the service's requests in flight that this gateway has, by the reports; the same share for
     * each gateway where there are none.
     */
    double shareOfTraffic(const PoolId &service, std::size_t gateways) const;
    /** The same for the requests to all services. */
    double shareOfAllTraffic(std::size_t gateways) const;

    /** Chooses a target for the request; none where the service has no usable target. */
    std::optional<ChosenTarget> choose(const TargetCriteria &criteria, Millis now);
    /** Returns the target if the request can go to it; none otherwise. */
    std::optional<ChosenTarget> findUsable(const TargetCriteria &criteria, const TargetId &target, Millis now);
    /** The eligible targets of the service, for its admission owner. */
    std::vector<ServiceTarget> serviceTargets(const TargetCriteria &criteria, Millis now);
    /** The listed targets of the service that get no requests for a lasting reason, such as those that leave. */
    std::vector<ServiceTarget> targetsWithoutNewRequests(const PoolId &service);
    /** Counts the targets of the service that the request cannot go to, by reason. */
    IneligibilityCounts countIneligible(const TargetCriteria &criteria, Millis now) const;

    /**
     * Finds the target with the fewest requests in flight among the holders that are listed, not ejected, not in
     * backoff and in an allowed region, to copy the part from.
     */
    std::optional<GatewayTarget>
    findCopySource(const std::vector<TargetId> &holders, const AllowedRegions &allowedRegions, Millis now);

    /** Records that a request is sent to the target. */
    void recordStart(const TargetId &target, Millis now);
    /** Records that the target sent data for any request. */
    void recordActivity(const TargetId &target, Millis now);
    /** When the target last sent data; 0 for never. */
    Millis lastActivity(const TargetId &target) const;
    /**
     * Records that the target announced that it leaves. The announcement holds for this incarnation whatever the store
     * lists, because the store may be unavailable or out of date. @return whether the announcement is new.
     */
    bool markLeaving(const TargetId &target, Millis now);
    /**
     * Records that the target rejected a request and asked for none before the given time. Until then the target gets
     * none, however few other targets there are. The longest of several announced times holds, up to an hour from now.
     */
    void setBackoff(const TargetId &target, Millis until, Millis now);
    /** If all eligible targets of the service asked for a backoff: the time until the first of these ends. */
    std::optional<Millis> remainingBackoff(const PoolId &service, Millis now) const;
    /** Adds the time that an answer of the target took to the moving average. */
    void recordAnswerTime(const TargetId &target, Millis elapsed);
    /** Records that a request ended at the target. */
    void recordEnd(const TargetId &target, TargetOutcome outcome, Millis now);

    /**
     * Starts a round of reports: resets the counts of requests that were sent since the last round, and adds the
     * current loads to the moving averages.
     */
    void beginRound();
    /** The targets with requests of this gateway in flight, and those that its own requests have ejected. */
    std::vector<GatewayLoad> ownLoads(Millis now) const;
    /** The targets as in ownLoads(), with the requests and ejections of all peers but the excluded ones added. */
    std::vector<GatewayLoad> loads(const std::vector<InstanceId> &excludedPeers, Millis now);
    /**
     * Whether the platform lists another incarnation under the target's name, so requests sent to this one are lost.
     */
    bool isReplaced(const GatewayTarget &target) const;
    /** Whether this incarnation is listed; it may be leaving. */
    bool isListed(const TargetId &target) const;
    /** Whether this incarnation is listed, and neither the store nor the target itself has announced that it leaves. */
    bool isStaying(const TargetId &target) const;
    /** The entry of this incarnation, if it isStaying(). */
    std::optional<GatewayTarget> stayingTarget(const TargetId &target) const;
    std::size_t targetCount(const PoolId &service) const;
    /** Requests in flight at the eligible targets of the service. */
    std::uint64_t inFlight(const PoolId &service, Millis now) const;
    /** The total of the slots of the eligible targets of the service. */
    std::uint64_t totalSlots(const PoolId &service) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
