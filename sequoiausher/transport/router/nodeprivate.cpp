#include "sequoiausher/transport/router/nodeprivate.h"
#include "sequoiausher/coordination/admission/organisationshares.h"

#include <QMetaObject>

#include <algorithm>
#include <mutex>

namespace Sequoiausher {

namespace {

/**
 * Requests of one pool in flight at a time on one router, at most. Room in the pool is the owner's to give, and the
 * slots shrink when it refuses; this only bounds what a router carries before the first refusal.
 */
constexpr std::size_t queueSlots = 4096;
constexpr Millis poolStatesEvery{200};

/** No longer than the shortest wait that a request begins with, so that the next tick sees it in time. */
Millis longestRest(const RouterSettings &settings)
{
    return std::min({TickPacer::restInterval, settings.claims.retryDelay, settings.admission.reserveTimeout});
}

std::uint64_t seedFor(const InstanceId &self, Incarnation incarnation)
{
    return hash64(self.value, incarnation);
}

AnswerSettings answerSettings(const RouterSettings &settings)
{
    AnswerSettings answers;
    answers.totalBytes = settings.limits.keptAnswerBytes;
    answers.keepFor = settings.limits.keptAnswer;
    return answers;
}

OwnerSettings ownerSettings(const RouterSettings &settings)
{
    // An entry takes an owner for silent after its time-out; a place or a refusal must have reached it before.
    constexpr Millis longestWait{100};
    constexpr std::int64_t partOfTimeout = 2;
    OwnerSettings owner;
    owner.maxWaitTime = std::min(longestWait, settings.admission.reserveTimeout / partOfTimeout);
    return owner;
}

ReserverSettings reserverSettings(const RouterSettings &settings)
{
    ReserverSettings reserver;
    reserver.replyTimeout = settings.admission.reserveTimeout;
    reserver.reportInterval = settings.admission.holdingsInterval;
    return reserver;
}

AnswerHandoverSettings handoverSettings(const RouterSettings &settings)
{
    AnswerHandoverSettings handover;
    handover.timeLimit = settings.drain.handover;
    handover.maxTotalBytes = settings.drain.handoverBytes;
    return handover;
}

MembershipSettings membershipSettings(const RouterSettings &settings)
{
    MembershipSettings membership;
    membership.period = settings.peers.probeInterval;
    membership.probeTimeout = settings.peers.probeTimeout;
    return membership;
}

SpreadSettings spreadSettings(const RouterSettings &settings)
{
    SpreadSettings spread;
    spread.readers = settings.platform.readers;
    return spread;
}

PlatformReaderOptions readerOptions(const RouterSettings &settings, std::uint64_t seed)
{
    PlatformReaderOptions options;
    options.addresses = settings.platform.addresses;
    options.watchTimeout = settings.platform.watchTimeout;
    options.callTimeout = settings.platform.callTimeout;
    options.seed = seed;
    return options;
}

LinkSettings linkSettings(const RouterSettings &settings, Incarnation incarnation, std::uint64_t seed)
{
    LinkSettings link;
    link.self = settings.name;
    link.incarnation = incarnation;
    link.dataCentre = settings.dataCentre;
    link.seed = seed;
    return link;
}

} // namespace

Node::Private::Private(const RouterSettings &theSettings,
                       Incarnation theIncarnation,
                       const Log &theLog,
                       Metrics &theMetrics)
    : settings(theSettings)
    , incarnation(theIncarnation)
    , seed(seedFor(theSettings.name, theIncarnation))
    , log(theLog)
    , metrics(theMetrics)
    , membership(OwnInstance{theSettings.name, theSettings.dataCentre, theIncarnation},
                 seed,
                 membershipSettings(theSettings))
    , spread(theSettings.name, seed + 1, spreadSettings(theSettings))
    , configurationState(compiler)
    , shards(ShardSettings{})
    , reserver(theSettings.name, theIncarnation, reserverSettings(theSettings), seed + 2, shards)
    , owned(theSettings.name, ownerSettings(theSettings), seed + 3)
    , claimant(theSettings.name, theSettings.claims)
    , witness(theSettings.name, theSettings.claims, Millis::monotonicNow())
    , answers(answerSettings(theSettings))
    , client(HttpClientOptions{})
    , mesh(linkSettings(theSettings, theIncarnation, seed + 4), *this)
    , reader(client, readerOptions(theSettings, seed + 5), *this)
    , answerServer(answers,
                   [this](const InstanceId &to, PeerMessage message) {
                       this->deliver(Outbox{Outgoing{to, std::move(message)}});
                   })
    , answerHandover(answers, handoverSettings(theSettings), seed + 6, theLog, theMetrics)
    , loadPoller(client,
                 [this](const TargetView &target, const ReportedLoad &load) {
                     this->targets.applyLoad(target.description.target, load);
                     const std::scoped_lock lock(this->admissionMutex);
                     this->owned.reportLoad(target.description.target, load.load, load.measuredAt);
                     this->reserver.recordLoad(target.description.target, load);
                 })
    , pacer(
          [this] {
              this->tick();
              return this->nextDeadline(Millis::monotonicNow());
          },
          longestRest(theSettings))
{
}

void Node::Private::tellClaims(const std::vector<ClaimOutcome> &outcomes)
{
    for (const ClaimOutcome &outcome : outcomes) {
        this->registry.tell(outcome.attempt, [outcome](RequestEar &ear) { ear.claimEnded(outcome); });
    }
}

void Node::Private::tellReservations(const std::vector<ReserveResult> &results)
{
    this->queuesGranted(results);
    for (const ReserveResult &result : results) {
        this->registry.tell(result.request, [result](RequestEar &ear) { ear.reservationEnded(result); });
    }
}

void Node::Private::addQueueFacts(PlacementRequest &wanted)
{
    const std::scoped_lock lock(this->limitsMutex);
    const std::optional<QueueEntry> entry = this->queueOf(wanted.pool).dispatched(wanted.request);
    if (!entry) {
        return;
    }
    wanted.organisation = organisationHash(entry->organisation.value);
    // One that is sent again after its target failed it may be late already; it keeps its chance.
    if (entry->dispatchBy > Millis::monotonicNow()) {
        wanted.giveUpAt = entry->dispatchBy;
    }
}

// Each tick comes by here, nearly always without a result: the queues' lock is then left to the workers.
void Node::Private::queuesGranted(const std::vector<ReserveResult> &results)
{
    if (results.empty()) {
        return;
    }
    const Millis now = Millis::monotonicNow();
    std::vector<QueueAction> actions;
    {
        const std::scoped_lock lock(this->limitsMutex);
        for (const ReserveResult &result : results) {
            if (result.target.empty()) {
                continue;
            }
            for (const auto &entry : this->queues) {
                entry.second->granted(now, result.request, actions);
            }
        }
    }
    this->tellQueue(actions);
}

void Node::Private::tellQueue(const std::vector<QueueAction> &actions)
{
    for (const QueueAction &action : actions) {
        const QueueDecision decision = action.decision;
        this->registry.tell(action.entry.request, [decision](RequestEar &ear) { ear.queueDecided(decision); });
    }
}

void Node::Private::tick()
{
    const Millis now = Millis::monotonicNow();
    Outbox outbox;
    {
        const std::scoped_lock lock(this->membershipMutex);
        this->membership.tick(now, outbox);
    }
    this->membershipEvents(now, outbox);
    bool ready = false;
    {
        const std::scoped_lock lock(this->documentsMutex);
        this->spread.tick(now, outbox);
        ready = this->spread.isReady(now);
    }
    if (ready) {
        this->joinOnce(now, outbox);
    }
    this->documentsReady = ready;
    std::vector<ReserveResult> results;
    {
        const std::scoped_lock lock(this->admissionMutex);
        this->reserver.tick(now, outbox);
        results = this->reserver.takeResults();
        this->owned.tick(now);
        this->owned.serveWaiting(now, outbox);
    }
    this->tellReservations(results);
    std::vector<ClaimOutcome> outcomes;
    {
        const std::scoped_lock lock(this->claimsMutex);
        this->claimant.tick(now, outbox);
        outcomes = this->claimant.takeOutcomes();
        this->witness.tick(now, outbox);
    }
    this->tellClaims(outcomes);
    std::vector<QueueAction> actions;
    {
        const std::scoped_lock lock(this->limitsMutex);
        for (const auto &entry : this->queues) {
            entry.second->tick(now, actions);
        }
        this->gates.tick(now, actions);
    }
    this->tellQueue(actions);
    this->answers.tick(now);
    this->answerHandover.tick(now, outbox);
    this->deliver(std::move(outbox));
    this->reader.poke(now);
    this->tickedAt = now.count;
    if (now - this->poolStatesAt >= poolStatesEvery) {
        this->poolStatesAt = now;
        this->tickSlowly(now);
    }
}

// What goes wrong if a router passes for live from its first message: it owns shards before it knows a pool, and
// whoever asks it for a target is refused until it has learnt. It shows as refusals just after each start.
void Node::Private::joinOnce(Millis now, Outbox &outbox)
{
    if (this->joined || this->current.load() == nullptr) {
        return;
    }
    this->joined = true;
    {
        const std::scoped_lock lock(this->membershipMutex);
        this->membership.announceLive();
    }
    this->viewChanged(now);
    this->poolsChanged(now, outbox);
}

Millis Node::Private::nextDeadline(Millis now)
{
    Millis next = this->answers.nextDeadline();
    {
        const std::scoped_lock lock(this->membershipMutex);
        next = std::min(next, this->membership.nextProbe());
    }
    {
        const std::scoped_lock lock(this->admissionMutex);
        // Who waits for a place is answered in time, though none comes free.
        next = std::min(next, this->owned.hasWaiting() ? now : this->reserver.nextDeadline());
    }
    {
        const std::scoped_lock lock(this->claimsMutex);
        next = std::min({next, this->claimant.nextDeadline(), this->witness.nextDeadline(now)});
    }
    const std::scoped_lock lock(this->limitsMutex);
    for (const auto &entry : this->queues) {
        next = std::min(next, entry.second->nextDeadline());
    }
    // The gates of rules do not tell: what waits there is looked at each time.
    return this->gates.waiting() > 0 ? now : next;
}

void Node::Private::tickSlowly(Millis now)
{
    std::vector<ShardSum> own;
    std::vector<TargetView> toPoll;
    {
        const std::scoped_lock lock(this->admissionMutex);
        own = this->owned.sums(now);
        toPoll = this->owned.targets();
        const std::vector<TargetView> alone = this->reserver.targetsNeedingLoad(now);
        toPoll.insert(toPoll.end(), alone.begin(), alone.end());
    }
    DocumentSummary summary;
    {
        const std::scoped_lock lock(this->documentsMutex);
        summary = this->spread.summary(now);
    }
    std::vector<OrganisationDemand> demands;
    {
        const std::scoped_lock lock(this->limitsMutex);
        demands = this->rates.collectReports(now);
    }
    std::vector<ShardSum> sums;
    {
        const std::scoped_lock lock(this->membershipMutex);
        this->membership.setDemands(demands);
        demands = this->membership.fleetDemands(now);
        this->membership.setSums(now, own);
        this->membership.setDocuments(GossipedDocuments{summary.digest, summary.highestRevision, summary.serviceAge});
        sums = this->membership.sums(now);
    }
    {
        const std::scoped_lock lock(this->admissionMutex);
        for (const ShardSum &sum : sums) {
            this->shards.recordSum(sum);
        }
        this->owned.refreshPoolLoads(this->shards);
    }
    {
        const std::scoped_lock lock(this->limitsMutex);
        for (const OrganisationDemand &demand : demands) {
            this->rates.setFleetDemand(now - demand.age, demand);
        }
    }
    this->loadPoller.poll(now, toPoll);
    this->updatePoolStates(now);
    this->traffic = std::make_shared<ControlTraffic>(ControlTraffic{this->mesh.counters(), this->reader.calls()});
}

void Node::Private::membershipEvents(Millis now, Outbox &outbox)
{
    std::vector<MembershipEvent> events;
    bool viewMoved = false;
    {
        const std::scoped_lock lock(this->membershipMutex);
        events = this->membership.takeEvents();
        viewMoved = this->membership.viewVersion() != this->viewVersion;
    }
    bool targetsMoved = false;
    for (const MembershipEvent &event : events) {
        if (event.kind == MembershipEventKind::WokeLate) {
            this->log.warning(LogPart::Members, "this router slept and learns anew before it acts");
            const std::scoped_lock lock(this->documentsMutex);
            this->spread.resumeAfterPause(now, outbox);
            this->documentsReady = false;
        } else if (event.kind == MembershipEventKind::TargetChanged) {
            targetsMoved = this->targets.applyNews(now, event.target, event.life) || targetsMoved;
            const std::scoped_lock lock(this->limitsMutex);
            this->guard.forget(event.target);
        } else if (event.kind == MembershipEventKind::InstanceChanged && event.life.state == LifeState::Gone) {
            const std::scoped_lock lock(this->admissionMutex);
            this->owned.dropInstance(event.instance);
        }
    }
    if (viewMoved) {
        this->viewChanged(now);
    }
    if (targetsMoved || viewMoved) {
        this->poolsChanged(now, outbox);
    }
}

// Who answers has changed: the spread's tree, the owners of shards and the even share of limits follow.
void Node::Private::viewChanged(Millis now)
{
    FleetView view;
    std::vector<InstanceId> live;
    {
        const std::scoped_lock lock(this->membershipMutex);
        view = FleetView{this->membership.listed(), this->membership.reachable()};
        live = this->membership.live();
        this->viewVersion = this->membership.viewVersion();
    }
    {
        const std::scoped_lock lock(this->documentsMutex);
        this->spread.setFleet(now, view);
    }
    {
        const std::scoped_lock lock(this->admissionMutex);
        this->shards.setInstances(live);
    }
    const std::scoped_lock lock(this->limitsMutex);
    this->rates.setLiveRouters(std::max<std::size_t>(live.size(), 1));
}

void Node::Private::poolsChanged(Millis now, Outbox &outbox)
{
    std::vector<std::shared_ptr<const PoolView>> views = this->targets.pools();
    std::vector<ReserveResult> results;
    {
        const std::scoped_lock lock(this->admissionMutex);
        for (const auto &view : views) {
            // Cutting a pool into shards takes a look at each of its targets; most pools stay as they were.
            if (std::find(this->toldPools.begin(), this->toldPools.end(), view) == this->toldPools.end()) {
                this->shards.setPool(view);
            }
        }
        this->toldPools = std::move(views);
        this->owned.update(now, this->shards);
        this->reserver.handleMapChange(now, outbox);
        results = this->reserver.takeResults();
    }
    this->tellReservations(results);
}

// Before the list of instances is known, the seeds of the settings are the only peers to learn from.
void Node::Private::seedPeers()
{
    PeerAddresses addresses;
    std::vector<ListedInstance> listed{{this->settings.name, this->settings.dataCentre}};
    for (const PeerSeed &peer : this->settings.peers.seeds) {
        addresses[peer.instance] = parsePeerAddress(peer.address);
        listed.push_back(ListedInstance{peer.instance, this->settings.dataCentre});
    }
    this->mesh.setPeers(addresses);
    {
        const std::scoped_lock lock(this->membershipMutex);
        this->membership.beginJoining();
        this->membership.setListed(listed);
    }
    this->viewChanged(Millis::monotonicNow());
}

void Node::Private::updatePoolStates(Millis now)
{
    std::map<PoolId, std::uint64_t> inFlight;
    {
        const std::scoped_lock lock(this->membershipMutex);
        for (const ShardSum &sum : this->membership.sums(now)) {
            inFlight[sum.pool] += sum.inFlight;
        }
    }
    auto states = std::make_shared<std::vector<PoolState>>();
    for (const auto &view : this->targets.pools()) {
        const auto live = std::count_if(view->targets.begin(), view->targets.end(), [](const TargetView &target) {
            return target.description.life.state == LifeState::Live;
        });
        states->push_back(PoolState{view->pool, static_cast<std::uint32_t>(live), inFlight[view->pool]});
    }
    this->pools = states;
}

AdmissionQueue &Node::Private::queueOf(const PoolId &pool)
{
    std::unique_ptr<AdmissionQueue> &queue = this->queues[pool];
    if (!queue) {
        AdmissionQueueSettings queueSettings;
        queueSettings.slots = queueSlots;
        queueSettings.maxWaiting = this->settings.limits.queueLength;
        queue = std::make_unique<AdmissionQueue>(queueSettings);
    }
    return *queue;
}

} // namespace Sequoiausher
