#pragma once

// Which routers there are, which of them answer, and what is said of the lives of routers and targets. Each router
// probes one other per period; news rides on probes and answers, at most so much per message, so the bytes that a
// router spends do not grow with the fleet.
//
//     Membership membership({self, dataCentre, incarnation}, seed, {});
//     membership.setListed(instancesOfThePlatformsList);
//     membership.tick(now, outbox);
//     membership.receive(now, from, probe, outbox);
//     for (const MembershipEvent &event : membership.takeEvents()) { ... }
//
// Which witnesses a claim has follows from listed() alone. reachable() is a guess that saves time: it may differ from
// router to router and decides no safety.

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
    /** Each period is longer or shorter by up to this share, so that routers started together do not probe in step. */
    int jitterPercent = 20;
    Millis probeTimeout{300};
    Millis indirectTimeout{600};
    std::size_t indirectProbes = 3;
    /** From suspicion to unreachable; the time that a living router has to refute. */
    Millis suspicionTimeout{3000};
    /** A longer gap between two ticks means that this process slept. */
    Millis maxTickGap{2000};
    /** Probes that stay in the own data centre, where there is another router in it. */
    int ownDataCentrePercent = 75;
    /** One period in so many probes a router that does not answer, so that its return is noticed. */
    std::uint32_t unreachableProbePeriods = 4;
    /** Peers to which a router passes news of a leaving or gone target at once. */
    std::size_t urgentFanOut = 4;
    std::size_t urgentPerMessage = 128;
    std::size_t instancesPerMessage = 8;
    std::size_t targetsPerMessage = 12;
    std::size_t reachPerMessage = 8;
    std::size_t sumsPerMessage = 128;
    std::size_t demandsPerMessage = 8;
    /** News is sent this often times log2 of the fleet's size. */
    std::uint32_t sendMultiplier = 3;
    /** A sum older than this is forgotten. */
    Millis sumLifetime{15000};
};

/** This router itself. */
struct OwnInstance
{
    InstanceId instance;
    DataCentreId dataCentre;
    /** Greater than that of any earlier start. */
    Incarnation incarnation = 0;
};

/** A row of the platform's list. */
struct ListedInstance
{
    InstanceId instance;
    DataCentreId dataCentre;

    bool operator==(const ListedInstance &) const = default;
};

enum class MembershipEventKind {
    /** This process slept: what it believed is old, callers learn anew before they act. */
    WokeLate,
    /** A router's life moved on. */
    InstanceChanged,
    /** A router stopped or started answering, as far as this one knows. */
    ReachabilityChanged,
    /** A target's life moved on. */
    TargetChanged,
};

template<>
inline constexpr auto nameTable<MembershipEventKind> = std::to_array<NameEntry<MembershipEventKind>>({
    {MembershipEventKind::WokeLate, "woke-late"},
    {MembershipEventKind::InstanceChanged, "instance-changed"},
    {MembershipEventKind::ReachabilityChanged, "reachability-changed"},
    {MembershipEventKind::TargetChanged, "target-changed"},
});

/** Something that callers react to; instance or target is set as the kind says. */
struct MembershipEvent
{
    MembershipEventKind kind = MembershipEventKind::WokeLate;
    InstanceId instance;
    TargetId target;
    LifeNews life;

    bool operator==(const MembershipEvent &) const = default;
};

/** What rides along about the documents; see Spread::summary(). */
struct DocumentState
{
    std::uint64_t digest = 0;
    Revision highestRevision = 0;
    Millis serviceAge{-1};
};

/** One router's part in the membership. Times are its own monotonic clock. Not thread-safe. */
class Membership
{
public:
    Membership(OwnInstance self, std::uint64_t seed, const MembershipSettings &settings);
    ~Membership();

    /** The platform's list as it now is. Routers in it count as reachable until they fail to answer. */
    void setListed(const std::vector<ListedInstance> &listed);

    /** Call about ten times a period; news given by addTargetNews() leaves with the next call. A gap above maxTickGap
     * gives WokeLate and drops all suspicions. */
    void tick(Millis now, Outbox &outbox);
    /** When the next probe goes out. All else that tick() does may be some hundred milliseconds late. */
    Millis nextProbe() const;

    void receive(Millis now, const InstanceId &from, const Probe &probe, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const ProbeReply &reply, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const IndirectProbe &probe, Outbox &outbox);

    /** Any message came directly from this router, which proves that it lives. */
    void confirmAlive(const InstanceId &from);

    /**
     * This router starts and has not learnt the configuration: peers reach it and teach it, but give it no work. It
     * says so as the leaving of the life before, which routers that know no such state understand too. Call before
     * anything is sent; the incarnation must be greater than 0.
     */
    void beginJoining();
    /** The configuration is learnt: the peers hear with the next tick that this router is live. */
    void announceLive();

    /** A planned stop begins: the peers hear at once that this router leaves. */
    void announceLeaving(Outbox &outbox);
    /** The planned stop ends: nothing will be answered any more. */
    void announceGone(Outbox &outbox);

    /** News of a target from its list or its owner's probes; passed on at once where it leaves or is gone. */
    void addTargetNews(const TargetNews &news);

    /** The newest known of a target; std::nullopt where nothing was said. */
    std::optional<LifeNews> target(const TargetId &target) const;
    /** The newest known of a router; std::nullopt where nothing was said. */
    std::optional<LifeNews> instance(const InstanceId &instance) const;

    /** What this router counts in the shards that it owns; age is ignored. */
    void setSums(Millis now, const std::vector<ShardSum> &sums);
    /** The youngest known sum of each shard, with its age. */
    std::vector<ShardSum> sums(Millis now) const;

    /** What this router is asked for by organisations that may be near their limits; age is ignored. */
    void setDemands(std::vector<OrganisationDemand> demands);
    /** The fleet's demand for each such organisation, with its age. */
    std::vector<OrganisationDemand> fleetDemands(Millis now) const;

    void setDocuments(const DocumentState &state);

    /** The platform's list, this router included where it is in it. Witness sets come from it alone. */
    std::vector<InstanceId> listed() const;
    /** This router and those listed that seem to answer, leaving ones included, gone ones not. */
    std::vector<InstanceId> reachable() const;
    /** reachable() without those that leave: who may be given new work. */
    std::vector<InstanceId> live() const;
    bool isReachable(const InstanceId &instance) const;

    /** Changes whenever listed(), reachable() or live() may have; these cost time in proportion to the fleet. */
    std::uint64_t viewVersion() const;

    /** The events since the last call, in order. */
    std::vector<MembershipEvent> takeEvents();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
