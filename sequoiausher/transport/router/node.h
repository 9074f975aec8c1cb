#pragma once

// One router's part in the fleet: connects the decisions (membership, distribution of the configuration, claims,
// admission, limits) to the links between routers, the platform's service and the workers.
//
//     Node node(settings, incarnation, log, metrics);
//     node.start();                                 // on the control thread
//     node.claim(claim);                            // from any worker; the result comes to the request's RequestEar
//
// Locks follow LockRank (state/lockorder.h). Each decision is locked only during the call; its messages and results are
// delivered without a lock. Messages of this router to itself are delivered as if they had been received.

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

/** One target of an owned shard, by the counts of its owner. */
struct TargetLoadStatus
{
    TargetId target;
    ShardId shard;
    /** The number of reservations on it. */
    std::uint32_t inFlight = 0;
    /** The last load report of the target; none if it sends none. */
    std::optional<std::uint32_t> reported;
};

/** The status of one router for operators; filled by Node::status(). */
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
    /** According to the document `instances` in force. */
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
    /** To be called on the control thread, where its event loop runs. @param log and metrics outlive this. */
    Node(const RouterSettings &settings, Incarnation incarnation, const Log &log, Metrics &metrics);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Starts to listen for peers and to read the configuration. Control thread. @throws Error (Step::Listen). */
    void start();

    const RouterSettings &settings() const;
    const InstanceId &self() const;
    /** The configuration in force; null before the first. */
    std::shared_ptr<const FleetConfiguration> configuration() const;
    /** The documents of the configuration in force, for operators; empty before the first. */
    std::vector<DocumentPointer> documents() const;
    /** Whether to accept requests: a configuration is in force, the process was not suspended since, and does not stop.
     */
    bool isReady() const;
    /** The same, but also true during a planned stop, when requests that still arrive are served. */
    bool mayServe() const;

    RequestRegistry &requests();
    AnswerTable &answers();

    /** Starts the claim of a request's key; claimEnded follows. */
    void claim(const Claim &claim);
    /** See Claimant. */
    bool mayDispatch(const RequestId &attempt);
    bool mayRedispatch(const RequestId &attempt) const;
    bool isKeyUnrun(const RequestId &attempt) const;
    void withdraw(const RequestId &attempt);
    void finished(const RequestId &attempt);

    /** Starts a reservation; reservationEnded follows. */
    void reserve(const PlacementRequest &request);
    void release(const RequestId &request);

    /** Whether the organisation may send one more request now by the rule, whose limit holds for the whole fleet. */
    LimitDecision takeRate(const OrganisationId &organisation, RequestClass requestClass, const Decision &decision);
    /** Queues a request at the rule's limit of requests in flight for the organisation. After Queue, queueDecided
     * follows. */
    QueueDecision enqueueByRule(const RuleQueueKey &gate, const QueueEntry &entry);
    void dequeueByRule(const RuleQueueKey &gate, const RequestId &request);
    /** Queues a request at its pool. After Queue, queueDecided follows. */
    QueueDecision enqueue(const PoolId &pool, const QueueEntry &entry);
    void requeue(const PoolId &pool, const RequestId &request, Millis retryAfter);
    void dequeue(const PoolId &pool, const RequestId &request);

    /** Returns the targets of the pool that this router avoids at present, beside those excluded; see PoolGuard. */
    std::vector<TargetId> leftAlone(const PoolId &pool, const std::vector<TargetId> &excluded) const;
    /** How this router's calls to targets go. */
    void targetTried(const TargetId &target);
    void targetAnswered(const TargetId &target);
    void targetFailed(const TargetId &target);
    /** Counts the first attempt of a request to a pool, for the retry budget. */
    void countRequest(const PoolId &pool, std::uint32_t budgetPercent);
    /** Whether the retry budget allows another attempt, which it then counts. */
    bool mayResend(const PoolId &pool, std::uint32_t budgetPercent);

    /** Returns the router that should have the answer of the key's earlier attempt, if the claim names that holder. */
    HolderSearch searchFor(const ClaimKey &key, const InstanceId &holder) const;
    /** Sends a message about an attached answer to another router. */
    void send(const InstanceId &to, PeerMessage message);

    /** Returns the target with its newest incarnation; null if it is not known, or no longer. */
    std::optional<TargetView> target(const PoolId &pool, const TargetId &target) const;
    /** Returns the facts about pools for the conditions of rules. */
    std::shared_ptr<const std::vector<PoolState>> poolStates() const;

    /**
     * Whether work of the kind may be sent to a target: in a planned stop only if it is expected to end in time, see
     * StopSchedule.
     */
    bool mayBegin(const std::string &kind, Millis deadline) const;
    /** Records how long work of the kind lasts at targets. @param isWhole see RouteDurations. */
    void workBegan(const std::string &kind, Millis at);
    void workEnded(const std::string &kind, Millis begunAt, bool isWhole);

    /** Begins a planned stop: notifies the peers, transfers claims, and see mayBegin(). Control thread. */
    void beginLeaving();
    /** Begins to transfer kept answers to the routers that stay; to be called once no request is open. Control thread.
     */
    void handOverAnswers();
    /** Whether that transfer is complete, or its time is over. Control thread. */
    bool hasHandedOver() const;
    /** Sends the last messages before the process ends. Control thread. */
    void endLeaving();
    bool isLeaving() const;

    /** From any thread; the counts of control traffic are up to 200 ms old. */
    NodeStatus status() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
