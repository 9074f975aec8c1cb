#pragma once

// Tracks which routers are listed, which of them answer, and the life states of routers and targets. Each router probes
// one other router per period. Probes and their answers carry a bounded number of state updates, called news, so the
// bytes that a router sends do not grow with the fleet.
//
//     Membership membership({self, dataCentre, incarnation}, seed, {});
//     membership.setListed(instancesOfThePlatformsList);
//     membership.tick(now, outbox);
//     membership.receive(now, from, probe, outbox);
//     for (const MembershipEvent &event : membership.takeEvents()) { ... }
//
// The witnesses of a claim follow from listed() alone. reachable() is an estimate that saves time: it may differ
// between routers, and no safety property depends on it.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>
#include <optional>
#include <vector>

namespace Sequoiausher {

struct MembershipSettings
{
    Millis period{1000};
    /** Each period varies by up to this share, so that routers started together do not probe at the same times. */
    int jitterPercent = 20;
    Millis probeTimeout{300};
    Millis indirectTimeout{600};
    std::size_t indirectProbes = 3;
    /** Time from suspicion to unreachable, in which a running router can refute the suspicion. */
    Millis suspicionTimeout{3000};
    /** A longer gap between two ticks means that this process was paused. */
    Millis maxTickGap{2000};
    /** Share of probes that stay in the own data centre, if that has another router. */
    int ownDataCentrePercent = 75;
    /** One period out of this many probes an unreachable router, so that its return is noticed. */
    std::uint32_t unreachableProbePeriods = 4;
    /** Peers to which a router sends urgent news at once: departures and returns of targets and routers. */
    std::size_t urgentFanOut = 4;
    std::size_t urgentPerMessage = 128;
    std::size_t instancesPerMessage = 8;
    std::size_t targetsPerMessage = 12;
    std::size_t reachPerMessage = 8;
    std::size_t sumsPerMessage = 128;
    std::size_t demandsPerMessage = 8;
    /** Each news item is sent this many times log2 of the fleet's size. */
    std::uint32_t sendMultiplier = 3;
    /** Older sums are dropped. */
    Millis sumLifetime{15000};
};

/** The identity of this router. */
struct OwnInstance
{
    InstanceId instance;
    DataCentreId dataCentre;
    /** Greater than the incarnation of any earlier start. */
    Incarnation incarnation = 0;
};

/** An entry of the platform's list of instances. */
struct ListedInstance
{
    InstanceId instance;
    DataCentreId dataCentre;

    bool operator==(const ListedInstance &) const = default;
};

enum class MembershipEventKind {
    /** This process was paused. Its state may be out of date; callers must refresh theirs before they act. */
    WokeLate,
    /** The life state of a router changed. */
    InstanceChanged,
    /** A router became reachable or unreachable for this one. */
    ReachabilityChanged,
    /** The life state of a target changed. */
    TargetChanged,
};

template<>
inline constexpr auto nameTable<MembershipEventKind> = std::to_array<NameEntry<MembershipEventKind>>({
    {MembershipEventKind::WokeLate, "woke-late"},
    {MembershipEventKind::InstanceChanged, "instance-changed"},
    {MembershipEventKind::ReachabilityChanged, "reachability-changed"},
    {MembershipEventKind::TargetChanged, "target-changed"},
});

/** A change that callers react to. kind determines whether instance or target is set. */
struct MembershipEvent
{
    MembershipEventKind kind = MembershipEventKind::WokeLate;
    InstanceId instance;
    TargetId target;
    LifeNews life;

    bool operator==(const MembershipEvent &) const = default;
};

/**
 * What gossip carries about this router's documents: the fields of Spread::summary(), repeated here so that membership
 * does not depend on spread.
 */
struct GossipedDocuments
{
    std::uint64_t digest = 0;
    Revision highestRevision = 0;
    Millis serviceAge{-1};
};

/** One router's part in the membership. Times are read from its own monotonic clock. Not thread-safe. */
class Membership
{
public:
    Membership(OwnInstance self, std::uint64_t seed, const MembershipSettings &settings);
    ~Membership();

    /** Sets the platform's current list. Routers in it count as reachable until they fail to answer. */
    void setListed(const std::vector<ListedInstance> &listed);

    /**
     * Sends what is due. Call about ten times per period; urgent news from addTargetNews() is sent with the next call.
     * A gap above maxTickGap reports WokeLate, discards open probes and stops the timers of all suspicions.
     */
    void tick(Millis now, Outbox &outbox);
    /** Returns when the next probe is due. Everything else that tick() does may be some hundred milliseconds late. */
    Millis nextProbe() const;

    void receive(Millis now, const InstanceId &from, const Probe &probe, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const ProbeReply &reply, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const IndirectProbe &probe, Outbox &outbox);

    /** Call for any message that came directly from a router, which proves that the router is running. */
    void confirmAlive(const InstanceId &from);

    /**
     * Marks this router as started but without configuration: peers reach it and send it documents, but give it no
     * work. The router announces this as Leaving of the previous incarnation, which routers without a joining state
     * understand too. Call before anything is sent; the incarnation must be greater than 0.
     */
    void beginJoining();
    /** Call when the router has its configuration; the next tick announces to peers that the router is live. */
    void announceLive();

    /** Announces to peers at once that a planned stop of this router begins. */
    void announceLeaving(Outbox &outbox);
    /** Announces the end of the planned stop; this router answers nothing afterwards. */
    void announceGone(Outbox &outbox);

    /** Adds news about a target from the target list or from its owner's probes. Departures and returns are urgent. */
    void addTargetNews(const TargetNews &news);

    /** Returns the newest known state of a target; std::nullopt where there was no news of it. */
    std::optional<LifeNews> target(const TargetId &target) const;
    /** Returns the newest known state of a router; std::nullopt where there was no news of it. */
    std::optional<LifeNews> instance(const InstanceId &instance) const;

    /** Sets the sums of the shards that this router owns; age is ignored. */
    void setSums(Millis now, const std::vector<ShardSum> &sums);
    /** Returns the youngest known sum of each shard, with its age. */
    std::vector<ShardSum> sums(Millis now) const;

    /** Sets the demand that this router sees of organisations that may be near their limits; age is ignored. */
    void setDemands(std::vector<OrganisationDemand> demands);
    /** Returns the fleet's demand for each such organisation, with its age. */
    std::vector<OrganisationDemand> fleetDemands(Millis now) const;

    void setDocuments(const GossipedDocuments &state);

    /** Returns the platform's list; it holds this router only if the platform lists it. Witness sets use this alone. */
    std::vector<InstanceId> listed() const;
    /** Returns this router and the listed routers that seem to answer, including leaving but not gone ones. */
    std::vector<InstanceId> reachable() const;
    /** Returns reachable() without leaving routers: the routers that may be given new work. */
    std::vector<InstanceId> live() const;
    bool isReachable(const InstanceId &instance) const;

    /** Changes whenever listed(), reachable() or live() may have changed; the cost of these grows with the fleet. */
    std::uint64_t viewVersion() const;

    /** Returns the events since the last call, in order. */
    std::vector<MembershipEvent> takeEvents();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
