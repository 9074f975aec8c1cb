#include "sequoiausher/transport/router/nodeprivate.h"

#include <algorithm>
#include <mutex>

namespace Sequoiausher {

namespace {

/** A longer time without a tick means that this process slept; as for the spread and for membership. */
constexpr Millis longestTickGap{2000};
/** How long a queue whose pool is full waits at most before it asks again; a refused caller waits longer. */
constexpr Millis longestQueuePause{50};

} // namespace

Node::Node(const RouterSettings &settings, Incarnation incarnation, const Log &log, Metrics &metrics)
    : d(std::make_unique<Private>(settings, incarnation, log, metrics))
{
}

Node::~Node() = default;

void Node::start()
{
    this->d->mesh.listen(parsePeerAddress(this->d->settings.peerAddress));
    this->d->seedPeers();
    this->d->pacer.start();
}

const RouterSettings &Node::settings() const
{
    return this->d->settings;
}

const InstanceId &Node::self() const
{
    return this->d->settings.name;
}

std::shared_ptr<const FleetConfiguration> Node::configuration() const
{
    return this->d->current.load();
}

bool Node::isReady() const
{
    return this->mayServe() && !this->d->leaving;
}

// A process that wakes runs its workers before or beside the control thread's first tick, which notices the pause and
// takes documentsReady back. Without the look at the clock, a request in that moment would be sent by what held before
// the pause, such as to a target that left meanwhile; it would show as new work at a target long after it left.
bool Node::mayServe() const
{
    const Millis sinceTick = Millis::monotonicNow() - Millis{this->d->tickedAt.load()};
    return this->d->documentsReady && sinceTick < longestTickGap && this->configuration() != nullptr;
}

RequestRegistry &Node::requests()
{
    return this->d->registry;
}

AnswerTable &Node::answers()
{
    return this->d->answers;
}

void Node::claim(const Claim &claim)
{
    Outbox outbox;
    std::vector<ClaimOutcome> outcomes;
    {
        const std::scoped_lock lock(this->d->claimsMutex);
        this->d->claimant.begin(Millis::monotonicNow(), claim, outbox);
        outcomes = this->d->claimant.takeOutcomes();
    }
    this->d->tellClaims(outcomes);
    this->d->deliver(std::move(outbox));
}

bool Node::mayDispatch(const RequestId &attempt)
{
    const std::scoped_lock lock(this->d->claimsMutex);
    return this->d->claimant.mayDispatch(attempt, Millis::monotonicNow());
}

bool Node::mayRedispatch(const RequestId &attempt) const
{
    const std::scoped_lock lock(this->d->claimsMutex);
    return this->d->claimant.mayRedispatch(attempt, Millis::monotonicNow());
}

bool Node::isKeyUnrun(const RequestId &attempt) const
{
    const std::scoped_lock lock(this->d->claimsMutex);
    return this->d->claimant.isKeyUnrun(attempt, Millis::monotonicNow());
}

void Node::withdraw(const RequestId &attempt)
{
    Outbox outbox;
    {
        const std::scoped_lock lock(this->d->claimsMutex);
        this->d->claimant.withdraw(Millis::monotonicNow(), attempt, outbox);
        this->d->claimant.takeOutcomes();
    }
    this->d->deliver(std::move(outbox));
}

void Node::finished(const RequestId &attempt)
{
    const std::scoped_lock lock(this->d->claimsMutex);
    this->d->claimant.finishAttempt(attempt);
}

void Node::reserve(const PlacementRequest &request)
{
    PlacementRequest wanted = request;
    this->d->addQueueFacts(wanted);
    Outbox outbox;
    std::vector<ReserveResult> results;
    {
        const std::scoped_lock lock(this->d->admissionMutex);
        this->d->reserver.reserve(Millis::monotonicNow(), wanted, outbox);
        results = this->d->reserver.takeResults();
    }
    this->d->tellReservations(results);
    this->d->deliver(std::move(outbox));
}

void Node::release(const RequestId &request)
{
    Outbox outbox;
    {
        const std::scoped_lock lock(this->d->admissionMutex);
        this->d->reserver.release(Millis::monotonicNow(), request, outbox);
    }
    this->d->deliver(std::move(outbox));
}

LimitDecision Node::takeRate(const OrganisationId &organisation, RequestClass requestClass, const Decision &decision)
{
    const RuleLimits &limits = decision.limits;
    if (!limits.ratePerSecond) {
        return LimitDecision{};
    }
    OrganisationLimits wanted;
    wanted.perSecond = *limits.ratePerSecond;
    if (limits.burst && *limits.ratePerSecond > 0) {
        wanted.burstSeconds = static_cast<double>(*limits.burst) / *limits.ratePerSecond;
    }
    // Each rule limits by itself: with one bucket for two rules, the looser one would be spent by the stricter one.
    const OrganisationId byRule{organisation.value + "/" + decision.document + "/" + decision.rule};
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->rates.setLimits(byRule, wanted);
    return this->d->rates.take(Millis::monotonicNow(), byRule, requestClass, 1);
}

QueueDecision Node::enqueueByRule(const RuleQueueKey &gate, const QueueEntry &entry)
{
    std::vector<QueueAction> actions;
    QueueDecision decision;
    {
        const std::scoped_lock lock(this->d->limitsMutex);
        decision = this->d->gates.offer(Millis::monotonicNow(), gate, entry, actions);
    }
    this->d->pacer.wake();
    this->d->tellQueue(actions);
    return decision;
}

void Node::dequeueByRule(const RuleQueueKey &gate, const RequestId &request)
{
    std::vector<QueueAction> actions;
    {
        const std::scoped_lock lock(this->d->limitsMutex);
        this->d->gates.leave(Millis::monotonicNow(), gate, request, actions);
    }
    this->d->tellQueue(actions);
}

std::vector<TargetId> Node::leftAlone(const PoolId &pool, const std::vector<TargetId> &excluded) const
{
    const std::shared_ptr<const PoolView> view = this->d->targets.pool(pool);
    if (!view) {
        return {};
    }
    const std::scoped_lock lock(this->d->limitsMutex);
    return this->d->guard.pausedTargets(Millis::monotonicNow(), *view, excluded);
}

void Node::targetTried(const TargetId &target)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->guard.recordAttempt(Millis::monotonicNow(), target);
}

void Node::targetAnswered(const TargetId &target)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->guard.recordSuccess(target);
}

void Node::targetFailed(const TargetId &target)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->guard.recordFailure(Millis::monotonicNow(), target);
}

void Node::countRequest(const PoolId &pool, std::uint32_t budgetPercent)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->guard.countRequest(Millis::monotonicNow(), pool, budgetPercent);
}

bool Node::mayResend(const PoolId &pool, std::uint32_t budgetPercent)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    return this->d->guard.tryResend(Millis::monotonicNow(), pool, budgetPercent);
}

QueueDecision Node::enqueue(const PoolId &pool, const QueueEntry &entry)
{
    std::vector<QueueAction> actions;
    QueueDecision decision;
    {
        const std::scoped_lock lock(this->d->limitsMutex);
        decision = this->d->queueOf(pool).offer(Millis::monotonicNow(), entry, actions);
    }
    this->d->pacer.wake();
    this->d->tellQueue(actions);
    return decision;
}

void Node::requeue(const PoolId &pool, const RequestId &request, Millis retryAfter)
{
    std::vector<QueueAction> actions;
    {
        const std::scoped_lock lock(this->d->limitsMutex);
        this->d->queueOf(pool).putBack(
            Millis::monotonicNow(), request, std::min(retryAfter, longestQueuePause), actions);
    }
    this->d->pacer.wake();
    this->d->tellQueue(actions);
}

void Node::dequeue(const PoolId &pool, const RequestId &request)
{
    std::vector<QueueAction> actions;
    {
        const std::scoped_lock lock(this->d->limitsMutex);
        AdmissionQueue &queue = this->d->queueOf(pool);
        queue.cancel(request);
        queue.finish(Millis::monotonicNow(), request, actions);
    }
    this->d->tellQueue(actions);
}

HolderSearch Node::searchFor(const ClaimKey &key, const InstanceId &holder) const
{
    std::vector<InstanceId> reachable;
    {
        const std::scoped_lock lock(this->d->membershipMutex);
        reachable = this->d->membership.reachable();
    }
    HolderSearch search;
    search.begin(key, holder, makeInstanceList(std::move(reachable)));
    return search;
}

void Node::send(const InstanceId &to, PeerMessage message)
{
    this->d->deliver(Outbox{Outgoing{to, std::move(message)}});
}

std::optional<TargetView> Node::target(const PoolId &pool, const TargetId &target) const
{
    const std::shared_ptr<const PoolView> view = this->d->targets.pool(pool);
    if (!view) {
        return std::nullopt;
    }
    for (const TargetView &each : view->targets) {
        if (each.description.target == target) {
            return each;
        }
    }
    return std::nullopt;
}

std::shared_ptr<const std::vector<PoolState>> Node::poolStates() const
{
    return this->d->pools.load();
}

bool Node::mayBegin(const std::string &kind, Millis deadline) const
{
    if (!this->d->leaving) {
        return true;
    }
    std::vector<InstanceId> staying;
    {
        const std::scoped_lock lock(this->d->membershipMutex);
        staying = this->d->membership.live();
    }
    std::erase(staying, this->d->settings.name);
    const Millis now = Millis::monotonicNow();
    const std::scoped_lock lock(this->d->limitsMutex);
    const auto longer = [&](Millis limit) {
        std::optional<double> share = this->d->durations.shareLongerThan(limit, kind, now);
        const std::optional<Millis> longest = this->d->durations.longest(kind, now);
        if (!share && longest) {
            share = *longest > limit ? 1 : 0;
        }
        return share;
    };
    const StopSuccessor successor = staying.empty() ? StopSuccessor::None : StopSuccessor::Neighbour;
    return this->d->stop.mayBegin({deadline - now, longer}, successor, now);
}

void Node::workBegan(const std::string &kind, Millis at)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->durations.begin(kind, at);
}

void Node::workEnded(const std::string &kind, Millis begunAt, bool isWhole)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->durations.end(kind, begunAt, isWhole, Millis::monotonicNow());
}

void Node::beginLeaving()
{
    {
        // A router's grace begins with the end of the notice.
        const DrainSettings &drain = this->d->settings.drain;
        const std::scoped_lock lock(this->d->limitsMutex);
        this->d->stop.begin({drain.notice + drain.grace, drain.notice}, Millis::monotonicNow());
    }
    this->d->leaving = true;
    Outbox outbox;
    {
        const std::scoped_lock lock(this->d->membershipMutex);
        this->d->membership.announceLeaving(outbox);
    }
    {
        const std::scoped_lock lock(this->d->claimsMutex);
        this->d->witness.handOverClaims(Millis::monotonicNow(), outbox);
    }
    this->d->deliver(std::move(outbox));
}

void Node::handOverAnswers()
{
    std::vector<InstanceId> staying;
    {
        const std::scoped_lock lock(this->d->membershipMutex);
        staying = this->d->membership.live();
    }
    std::erase(staying, this->d->settings.name);
    Outbox outbox;
    this->d->answerHandover.begin(Millis::monotonicNow(), makeInstanceList(std::move(staying)), outbox);
    this->d->deliver(std::move(outbox));
}

bool Node::hasHandedOver() const
{
    return this->d->answerHandover.isDone();
}

void Node::endLeaving()
{
    Outbox outbox;
    {
        const std::scoped_lock lock(this->d->claimsMutex);
        this->d->witness.handOverClaims(Millis::monotonicNow(), outbox);
    }
    {
        const std::scoped_lock lock(this->d->membershipMutex);
        this->d->membership.announceGone(outbox);
    }
    this->d->deliver(std::move(outbox));
}

bool Node::isLeaving() const
{
    return this->d->leaving;
}

std::vector<DocumentPointer> Node::documents() const
{
    std::vector<DocumentPointer> documents;
    const std::scoped_lock lock(this->d->documentsMutex);
    if (const auto inForce = this->d->configurationState.inForce()) {
        for (const auto &entry : *inForce->documents) {
            documents.push_back(entry.second);
        }
    }
    return documents;
}

void Node::Private::addLoads(const ShardId &shard, const ShardOwner &owner, std::vector<TargetLoadStatus> &loads) const
{
    for (const TargetView &target : this->shards.targetsOf(shard)) {
        const TargetId &name = target.description.target;
        const std::optional<ReportedLoad> report = this->targets.load(name);
        const auto reported = report ? std::optional<std::uint32_t>(report->load) : std::nullopt;
        loads.push_back({name, shard, owner.counted(name), reported});
    }
}

NodeStatus Node::status() const
{
    const Millis now = Millis::monotonicNow();
    NodeStatus status;
    status.instance = this->d->settings.name;
    status.incarnation = this->d->incarnation;
    status.ready = this->isReady();
    status.leaving = this->d->leaving;
    {
        const std::scoped_lock lock(this->d->membershipMutex);
        status.listed = this->d->membership.listed();
        status.reachable = this->d->membership.reachable();
        status.live = this->d->membership.live();
        status.sums = this->d->membership.sums(now);
    }
    {
        const std::scoped_lock lock(this->d->documentsMutex);
        if (const auto inForce = this->d->configurationState.inForce()) {
            status.highestRevision = inForce->highestRevision;
            status.digest = inForce->digest;
        }
        if (this->d->configurationState.refusal()) {
            status.refusal = this->d->configurationState.refusal()->what();
        }
    }
    status.pools = this->d->targets.pools();
    {
        const std::scoped_lock lock(this->d->admissionMutex);
        for (const ShardId &shard : this->d->shards.shards()) {
            if (const ShardOwner *owner = this->d->owned.find(shard)) {
                status.ownedShards.push_back(shard);
                this->d->addLoads(shard, *owner, status.ownedTargets);
            }
        }
        status.held = this->d->reserver.held();
    }
    {
        const std::scoped_lock lock(this->d->claimsMutex);
        status.claims = this->d->witness.size();
        status.mayVote = !this->d->witness.isFresh(now);
    }
    {
        const std::scoped_lock lock(this->d->limitsMutex);
        for (const auto &entry : this->d->queues) {
            status.waiting += entry.second->waiting();
        }
        status.waiting += this->d->gates.waiting();
    }
    if (const auto fleet = this->d->current.load()) {
        status.instances = *fleet->instances;
    }
    status.boundPercent = this->d->settings.admission.boundPercent;
    status.requests = this->d->registry.size();
    // A copy of a moment ago: mesh and reader count on the control thread, while a worker asks for the status page.
    if (const std::shared_ptr<const ControlTraffic> traffic = this->d->traffic.load()) {
        status.counters = traffic->counters;
        status.platformCalls = traffic->platformCalls;
    }
    return status;
}

} // namespace Sequoiausher
