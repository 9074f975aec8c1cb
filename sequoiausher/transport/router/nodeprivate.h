#pragma once

// The implementation of Node, for its own sources only: node.cpp has the functions for workers and the daemon,
// nodeprivate.cpp the ticks, nodemessages.cpp the dispatch of messages to decisions, nodeconfiguration.cpp the reading
// and application of a configuration.
//
//     this->d->deliver(std::move(outbox));

#include "sequoiausher/base/published.h"
#include "sequoiausher/coordination/admission/ownedshards.h"
#include "sequoiausher/coordination/claims/witness.h"
#include "sequoiausher/coordination/gateway/routedurations.h"
#include "sequoiausher/coordination/gateway/stopschedule.h"
#include "sequoiausher/coordination/limits/admissionqueue.h"
#include "sequoiausher/coordination/limits/poolguard.h"
#include "sequoiausher/coordination/membership/membership.h"
#include "sequoiausher/coordination/spread/spread.h"
#include "sequoiausher/protocol/settings/configurationchanges.h"
#include "sequoiausher/protocol/settings/fleetcompiler.h"
#include "sequoiausher/state/lockorder.h"
#include "sequoiausher/transport/http/httpclient.h"
#include "sequoiausher/transport/peers/peermesh.h"
#include "sequoiausher/transport/platform/platformreader.h"
#include "sequoiausher/transport/router/answerhandover.h"
#include "sequoiausher/transport/router/answerserver.h"
#include "sequoiausher/transport/router/loadpoller.h"
#include "sequoiausher/transport/router/node.h"
#include "sequoiausher/transport/router/tickpacer.h"

#include <QObject>

#include <atomic>
#include <map>
#include <string>
#include <unordered_map>

namespace Sequoiausher {

/** The counts of the links and the reader; see Node::Private::traffic. */
struct ControlTraffic
{
    PeerCounters counters;
    std::uint64_t platformCalls = 0;
};

class Node::Private : public PeerListener, public PlatformListener
{
public:
    Private(const RouterSettings &theSettings, Incarnation theIncarnation, const Log &theLog, Metrics &theMetrics);

    // Events of the links and of the platform's service.
    void received(const InstanceId &from, Incarnation senderIncarnation, PeerMessage message) override;
    void linkChanged(const InstanceId &peer, Incarnation peerIncarnation, bool up) override;
    ReadPlan readPlan() override;
    std::vector<std::string> wanted(const std::vector<DocumentVersion> &listed) override;
    void learnt(const std::vector<Document> &documents, bool whole) override;
    void serviceAnswered() override;
    void serviceFailed(const std::string &address, const std::string &reason) override;

    class Receiver;
    void dispatch(const InstanceId &from, const PeerMessage &message, Outbox &outbox);
    void deliver(Outbox outbox);
    void tick();
    void tickSlowly(Millis now);
    /** The next deadline that the longest interval of the pacer would miss. */
    Millis nextDeadline(Millis now);
    void tellClaims(const std::vector<ClaimOutcome> &outcomes);
    void tellReservations(const std::vector<ReserveResult> &results);
    /** Returns the entry of a request for the queue of its pool: the organisation, and until when a place is of use. */
    void addQueueFacts(PlacementRequest &wanted);
    void queuesGranted(const std::vector<ReserveResult> &results);
    void tellQueue(const std::vector<QueueAction> &actions);
    void tellRefusal();
    void documentsChanged(Millis now);
    void documentsChangedSoon();
    void apply(Millis now, const FleetConfiguration *previous, const FleetConfiguration &fleet);
    void applyInstances(Millis now, const std::vector<InstanceDescription> &instances);
    void applyPools(Millis now, const PoolChanges &changes);
    void viewChanged(Millis now);
    void poolsChanged(Millis now, Outbox &outbox);
    void joinOnce(Millis now, Outbox &outbox);
    void membershipEvents(Millis now, Outbox &outbox);
    void seedPeers();
    void updatePoolStates(Millis now);
    AdmissionQueue &queueOf(const PoolId &pool);
    void addLoads(const ShardId &shard, const ShardOwner &owner, std::vector<TargetLoadStatus> &loads) const;

    RouterSettings settings;
    Incarnation incarnation;
    std::uint64_t seed;
    const Log &log;
    Metrics &metrics;

    OrderedMutex membershipMutex{LockRank::Membership};
    Membership membership;
    std::uint64_t viewVersion = 0;

    OrderedMutex documentsMutex{LockRank::Documents};
    Spread spread;
    FleetCompiler compiler;
    ConfigurationState configurationState;
    std::string toldRefusal;

    TargetTable targets;

    OrderedMutex admissionMutex{LockRank::Admission};
    ShardMap shards;
    Reserver reserver;
    OwnedShards owned;

    OrderedMutex claimsMutex{LockRank::Claims};
    Claimant claimant;
    Witness witness;

    OrderedMutex limitsMutex{LockRank::Limits};
    RateLimiter rates{Millis::monotonicNow()};
    std::map<PoolId, std::unique_ptr<AdmissionQueue>> queues;
    RuleQueues gates;
    PoolGuard guard;
    StopSchedule stop;
    RouteDurations durations;

    AnswerTable answers;
    RequestRegistry registry;

    // The three below are replaced as a whole; readers keep the pointer that they loaded.
    Published<const FleetConfiguration> current;
    Published<const std::vector<PoolState>> pools;
    Published<const ControlTraffic> traffic;
    std::atomic<bool> leaving{false};
    std::atomic<bool> documentsReady{false};
    /** The peers were notified that this router is live; used by the control thread only. */
    bool joined = false;
    /** The end of the control thread's last tick, in milliseconds of Millis::monotonicNow(). */
    std::atomic<std::int64_t> tickedAt{0};

    // Used on the control thread only.
    HttpClient client;
    PeerMesh mesh;
    PlatformReader reader;
    AnswerServer answerServer;
    AnswerHandover answerHandover;
    LoadPoller loadPoller;
    /** The receiver of queued calls to this node. */
    QObject context;
    /** Only its wake() may be called from any thread. */
    TickPacer pacer;
    Millis poolStatesAt;
    bool membersKnown = false;
    /** The views that shards was last updated with. */
    std::vector<std::shared_ptr<const PoolView>> toldPools;
};

} // namespace Sequoiausher
