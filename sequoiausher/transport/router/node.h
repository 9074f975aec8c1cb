#pragma once

// One router's part in the fleet: it joins the decisions (membership, spread of configuration, claims, admission,
// limits) to the links between routers, to the platform's service and to the workers that carry requests.
//
//     Node node(settings, incarnation, log, metrics);
//     node.start();                                 // on the control thread
//     node.claim(claim);                            // from any worker; the result comes to the request's RequestEar
//
// Locks follow LockRank (state/lockorder.h). Each decision is locked, asked, and unlocked; the messages and results
// that come out are carried on without a lock. Messages of this router to itself come back as if from the wire.

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/coordination/admission/reserver.h"
#include "sequoiausher/coordination/answers/holdersearch.h"
#include "sequoiausher/coordination/claims/claimant.h"
#include "sequoiausher/coordination/limits/ratelimit.h"
#include "sequoiausher/coordination/limits/rulequeues.h"
#include "sequoiausher/coordination/rules/decision.h"
#include "sequoiausher/protocol/settings/fleetconfiguration.h"
#include "sequoiausher/protocol/settings/routersettings.h"
#include "sequoiausher/state/answers/answertable.h"
#include "sequoiausher/state/documents/documenttable.h"
#include "sequoiausher/state/targets/targettable.h"
#include "sequoiausher/transport/peers/peercounters.h"
#include "sequoiausher/transport/router/requestregistry.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/** One target of an owned shard, as its owner counts. */
struct TargetLoadStatus
{
    TargetId target;
    ShardId shard;
    /** Reservations on it. */
    std::uint32_t inFlight = 0;
    /** What the target last said; none where it says nothing. */
    std::optional<std::uint32_t> reported;
};

/** What an operator sees of one router; filled by Node::status(). */
struct NodeStatus
{
    InstanceId instance;
    Incarnation incarnation = 0;
    bool ready = false;
    bool leaving = false;
    Revision highestRevision = 0;
    std::uint64_t digest = 0;
    std::string refusal;
    std::vector<InstanceId> listed;
    std::vector<InstanceId> reachable;
    std::vector<InstanceId> live;
    std::vector<ShardSum> sums;
    std::vector<std::shared_ptr<const PoolView>> pools;
    std::vector<ShardId> ownedShards;
    std::vector<TargetLoadStatus> ownedTargets;
    /** As the document `instances` in force lists them. */
    std::vector<InstanceDescription> instances;
    std::uint32_t boundPercent = 0;
    PeerCounters counters;
    std::uint64_t platformCalls = 0;
    std::size_t claims = 0;
    bool mayVote = false;
    std::size_t requests = 0;
    std::size_t held = 0;
    std::size_t waiting = 0;
};

/** See above. Functions may be called from any thread, unless they say otherwise. */
class Node
{
public:
    /** Made on the control thread, where its event loop runs. @param log and metrics outlive it. */
    Node(const RouterSettings &settings, Incarnation incarnation, const Log &log, Metrics &metrics);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Listens for peers and begins to read the configuration. Control thread. @throws Error (Step::Listen). */
    void start();

    const RouterSettings &settings() const;
    const InstanceId &self() const;
    /** The configuration in force; null before the first. */
    std::shared_ptr<const FleetConfiguration> configuration() const;
    /** The documents that it was made from, for operators; empty before the first. */
    std::vector<DocumentPointer> documents() const;
    /** Whether requests may be taken: a configuration is in force and was not slept over, and no stop is planned. */
    bool isReady() const;
    /** The same, but also true during a planned stop, in which what still arrives is served. */
    bool mayServe() const;

    RequestRegistry &requests();
    AnswerTable &answers();

    /** Starts the claim of a request's key; ends in claimEnded. */
    void claim(const Claim &claim);
    /** See Claimant. */
    bool mayDispatch(const RequestId &attempt);
    bool mayRedispatch(const RequestId &attempt) const;
    bool isKeyUnrun(const RequestId &attempt) const;
    void withdraw(const RequestId &attempt);
    void finished(const RequestId &attempt);

    /** Starts a reservation; ends in reservationEnded. */
    void reserve(const PlacementRequest &request);
    void release(const RequestId &request);

    /** Whether the organisation may have one request more now by the rule that decided; a limit over the fleet. */
    LimitDecision takeRate(const OrganisationId &organisation, RequestClass requestClass, const Decision &decision);
    /** Queues a request before what its rule lets the organisation have in flight; Queue ends in queueDecided. */
    QueueDecision enqueueByRule(const RuleQueueKey &gate, const QueueEntry &entry);
    void dequeueByRule(const RuleQueueKey &gate, const RequestId &request);
    /** Queues a request before its pool; Queue ends in queueDecided. */
    QueueDecision enqueue(const PoolId &pool, const QueueEntry &entry);
    void requeue(const PoolId &pool, const RequestId &request, Millis retryAfter);
    void dequeue(const PoolId &pool, const RequestId &request);

    /** Targets of the pool that this router leaves alone, beside those excluded; see PoolGuard. */
    std::vector<TargetId> leftAlone(const PoolId &pool, const std::vector<TargetId> &excluded) const;
    /** How this router's calls to targets go. */
    void targetTried(const TargetId &target);
    void targetAnswered(const TargetId &target);
    void targetFailed(const TargetId &target);
    /** Counts a request that is sent to a pool for the first time, for the budget of resends. */
    void countRequest(const PoolId &pool, std::uint32_t budgetPercent);
    /** Whether a request may be sent once more; it is then paid for. */
    bool mayResend(const PoolId &pool, std::uint32_t budgetPercent);

    /** Where the answer of the key's earlier attempt is to be looked for, if the claim names that holder. */
    HolderSearch searchFor(const ClaimKey &key, const InstanceId &holder) const;
    /** Sends a message about an attached answer to another router. */
    void send(const InstanceId &to, PeerMessage message);

    /** The target, with its newest life; null where it is not known (any more). */
    std::optional<TargetView> target(const PoolId &pool, const TargetId &target) const;
    /** What rules may ask about pools. */
    std::shared_ptr<const std::vector<PoolState>> poolStates() const;

    /** A planned stop: tells the peers, hands over claims, refuses new requests. Control thread. */
    void beginLeaving();
    /** Begins to hand kept answers to the routers that stay; to be called once no request is open. Control thread. */
    void handOverAnswers();
    /** Whether that has ended, by itself or by its time. Control thread. */
    bool hasHandedOver() const;
    /** The last words before the process ends. Control thread. */
    void endLeaving();
    bool isLeaving() const;

    /** From any thread; the counts of control traffic are up to 200 ms old. */
    NodeStatus status() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
