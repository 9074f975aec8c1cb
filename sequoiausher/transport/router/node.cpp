#include "sequoiausher/transport/router/node.h"

#include "sequoiausher/coordination/admission/ownedshards.h"
#include "sequoiausher/coordination/claims/witness.h"
#include "sequoiausher/coordination/limits/admissionqueue.h"
#include "sequoiausher/coordination/limits/poolguard.h"
#include "sequoiausher/coordination/membership/membership.h"
#include "sequoiausher/coordination/spread/spread.h"
#include "sequoiausher/state/lockorder.h"
#include "sequoiausher/transport/http/httpclient.h"
#include "sequoiausher/transport/peers/peermesh.h"
#include "sequoiausher/transport/platform/platformreader.h"
#include "sequoiausher/transport/router/answerserver.h"
#include "sequoiausher/transport/router/loadpoller.h"

#include <QMetaObject>
#include <QTimer>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>

namespace Sequoiausher {

namespace {

constexpr int tickMillis = 20;
/**
 * Requests of one pool in flight at a time on one router, at most. Room in the pool is the owner's to give, and the
 * slots shrink when it refuses; this only bounds what a router carries before the first refusal.
 */
constexpr std::size_t queueSlots = 4096;
constexpr Millis poolStatesEvery{200};
/** How long a queue whose pool is full waits at most before it asks again; a refused caller waits longer. */
constexpr Millis longestQueuePause{50};
/** A longer time without a tick means that this process slept; as for the spread and for membership. */
constexpr Millis longestTickGap{2000};

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

ReserverSettings reserverSettings(const RouterSettings &settings)
{
    ReserverSettings reserver;
    reserver.replyTimeout = settings.admission.reserveTimeout;
    reserver.reportInterval = settings.admission.holdingsInterval;
    return reserver;
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

/** What the links and the reader have counted; see Node::Private::traffic. */
struct ControlTraffic
{
    PeerCounters counters;
    std::uint64_t platformCalls = 0;
};

class Node::Private : public PeerListener, public PlatformListener
{
public:
    Private(const RouterSettings &theSettings, Incarnation theIncarnation, const Log &theLog, Metrics &theMetrics);

    // What arrives from the links and from the platform's service.
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
    void tellClaims(const std::vector<ClaimOutcome> &outcomes);
    void tellReservations(const std::vector<ReserveResult> &results);
    void tellQueue(const std::vector<QueueAction> &actions);
    void tellRefusal();
    void documentsChanged(Millis now);
    void documentsChangedSoon();
    void apply(Millis now, const std::shared_ptr<const FleetConfiguration> &fleet);
    void applyInstances(Millis now, const FleetConfiguration &fleet);
    void applyPools(Millis now, const FleetConfiguration &fleet);
    void viewChanged(Millis now);
    void poolsChanged(Millis now, Outbox &outbox);
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
    FleetDocumentChecker checker;
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
    RateLimiter rates;
    std::map<PoolId, std::unique_ptr<AdmissionQueue>> queues;
    RuleGates gates;
    PoolGuard guard;

    AnswerTable answers;
    RequestRegistry registry;

    // The three below are replaced whole; readers keep the one that they loaded.
    std::atomic<std::shared_ptr<const FleetConfiguration>> current;
    std::atomic<std::shared_ptr<const std::vector<PoolState>>> pools;
    std::atomic<std::shared_ptr<const ControlTraffic>> traffic;
    std::atomic<bool> leaving{false};
    std::atomic<bool> documentsReady{false};
    /** The end of the control thread's last tick, in milliseconds of Millis::monotonicNow(). */
    std::atomic<std::int64_t> tickedAt{0};

    // Used on the control thread alone.
    HttpClient client;
    PeerMesh mesh;
    PlatformReader reader;
    AnswerServer answerServer;
    LoadPoller loadPoller;
    QTimer timer;
    Millis poolStatesAt;
    bool membersKnown = false;
};

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
    , configurationState(checker)
    , shards(ShardSettings{})
    , reserver(theSettings.name, theIncarnation, reserverSettings(theSettings), seed + 2, shards)
    , owned(theSettings.name, OwnerSettings{}, seed + 3)
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
    , loadPoller(client, [this](const TargetView &target, const ReportedLoad &load) {
        this->targets.applyLoad(target.description.target, load);
        const std::scoped_lock lock(this->admissionMutex);
        this->owned.reportLoad(target.description.target, load.load, load.measuredAt);
        this->reserver.noteLoad(target.description.target, load);
    })
{
}

void Node::Private::received(const InstanceId &from, Incarnation senderIncarnation, PeerMessage message)
{
    (void)senderIncarnation;
    {
        const std::scoped_lock lock(this->membershipMutex);
        this->membership.heardFrom(from);
    }
    Outbox outbox;
    this->dispatch(from, message, outbox);
    this->deliver(std::move(outbox));
}

void Node::Private::linkChanged(const InstanceId &peer, Incarnation peerIncarnation, bool up)
{
    (void)peerIncarnation;
    if (up) {
        return;
    }
    Outbox outbox;
    std::vector<ReserveResult> results;
    {
        const std::scoped_lock lock(this->admissionMutex);
        this->reserver.peerUnreachable(Millis::monotonicNow(), peer, outbox);
        results = this->reserver.takeResults();
    }
    this->tellReservations(results);
    this->answerServer.peerLost(peer);
    this->registry.tellAll([peer](RequestEar &ear) { ear.peerLost(peer); });
    this->deliver(std::move(outbox));
}

ReadPlan Node::Private::readPlan()
{
    const std::scoped_lock lock(this->documentsMutex);
    return this->spread.readPlan(Millis::monotonicNow());
}

std::vector<std::string> Node::Private::wanted(const std::vector<DocumentVersion> &listed)
{
    const std::scoped_lock lock(this->documentsMutex);
    return this->spread.wanted(listed);
}

void Node::Private::learnt(const std::vector<Document> &documents, bool whole)
{
    const Millis now = Millis::monotonicNow();
    Outbox outbox;
    {
        const std::scoped_lock lock(this->documentsMutex);
        this->spread.learnt(now, documents, whole, outbox);
    }
    this->deliver(std::move(outbox));
    this->documentsChanged(now);
}

void Node::Private::serviceAnswered()
{
    const std::scoped_lock lock(this->documentsMutex);
    this->spread.serviceAnswered(Millis::monotonicNow());
}

void Node::Private::serviceFailed(const std::string &address, const std::string &reason)
{
    this->metrics.add("platform_failures_total");
    this->log.warning(
        LogPart::Platform, "the configuration service did not answer", {{"peer", address}, {"reason", reason}});
}

// One message to the decision that it is for. Exactly one lock is held at a time.
class Node::Private::Receiver
{
public:
    Receiver(Private &node, const InstanceId &sender, Outbox &answers)
        : self(node)
        , from(sender)
        , now(Millis::monotonicNow())
        , outbox(answers)
    {
    }

    void operator()(const ClaimRequest &m) const
    {
        this->toWitness(m);
    }
    void operator()(const ClaimWithdraw &m) const
    {
        this->toWitness(m);
    }
    void operator()(const ClaimPull &m) const
    {
        this->toWitness(m);
    }
    void operator()(const ClaimPage &m) const
    {
        this->toWitness(m);
    }
    void operator()(const ClaimVote &m) const
    {
        std::vector<ClaimOutcome> outcomes;
        {
            const std::scoped_lock lock(this->self.claimsMutex);
            this->self.claimant.receive(this->now, this->from, m, this->outbox);
            outcomes = this->self.claimant.takeOutcomes();
        }
        this->self.tellClaims(outcomes);
    }
    void operator()(const ReserveRequest &m) const
    {
        const std::scoped_lock lock(this->self.admissionMutex);
        this->self.owned.receive(this->now, this->from, m, this->outbox);
    }
    void operator()(const Release &m) const
    {
        const std::scoped_lock lock(this->self.admissionMutex);
        this->self.owned.receive(this->now, this->from, m);
    }
    void operator()(const HoldingsReport &m) const
    {
        const std::scoped_lock lock(this->self.admissionMutex);
        this->self.owned.receive(this->now, this->from, m);
    }
    void operator()(const ReserveReply &m) const
    {
        std::vector<ReserveResult> results;
        {
            const std::scoped_lock lock(this->self.admissionMutex);
            this->self.reserver.receive(this->now, this->from, m);
            results = this->self.reserver.takeResults();
        }
        this->self.tellReservations(results);
    }
    void operator()(const Probe &m) const
    {
        this->toMembership(m);
        this->heardGossip(m.gossip);
    }
    void operator()(const ProbeReply &m) const
    {
        this->toMembership(m);
        this->heardGossip(m.gossip);
    }
    void operator()(const IndirectProbe &m) const
    {
        this->toMembership(m);
    }
    void operator()(const DocumentPush &m) const
    {
        this->toSpread(m);
        this->self.documentsChangedSoon();
    }
    void operator()(const DocumentDigest &m) const
    {
        this->toSpread(m);
    }
    void operator()(const DocumentPull &m) const
    {
        this->toSpread(m);
    }
    void operator()(const AttachRequest &m) const
    {
        {
            // A retry that asks for a withdrawn attempt met a witness that missed the withdrawal.
            const std::scoped_lock lock(this->self.claimsMutex);
            this->self.claimant.repeatWithdrawal(this->now, m.attempt, this->outbox);
        }
        this->self.answerServer.attach(this->from, m);
    }
    void operator()(const AttachCancel &m) const
    {
        this->self.answerServer.cancel(this->from, m);
    }
    void operator()(const AttachReply &m) const
    {
        this->self.registry.tell(m.attachment, [m](RequestEar &ear) { ear.attachReplied(m); });
    }
    void operator()(const AttachChunk &m) const
    {
        this->self.registry.tell(m.attachment, [m](RequestEar &ear) { ear.attachChunk(m); });
    }
    void operator()(const AttachEnd &m) const
    {
        this->self.registry.tell(m.attachment, [m](RequestEar &ear) { ear.attachEnded(m); });
    }

private:
    template<typename Message>
    void toWitness(const Message &message) const
    {
        const std::scoped_lock lock(this->self.claimsMutex);
        this->self.witness.receive(this->now, this->from, message, this->outbox);
    }
    template<typename Message>
    void toMembership(const Message &message) const
    {
        const std::scoped_lock lock(this->self.membershipMutex);
        this->self.membership.receive(this->now, this->from, message, this->outbox);
    }
    template<typename Message>
    void toSpread(const Message &message) const
    {
        const std::scoped_lock lock(this->self.documentsMutex);
        this->self.spread.receive(this->now, this->from, message, this->outbox);
    }
    void heardGossip(const Gossip &gossip) const
    {
        const std::scoped_lock lock(this->self.documentsMutex);
        this->self.spread.heard(this->now, this->from, gossip, this->outbox);
    }

    Private &self;
    const InstanceId &from;
    Millis now;
    Outbox &outbox;
};

void Node::Private::dispatch(const InstanceId &from, const PeerMessage &message, Outbox &outbox)
{
    std::visit(Receiver(*this, from, outbox), message);
}

// Sends what is for others, and gives back what is for this router itself until nothing comes of it any more.
void Node::Private::deliver(Outbox outbox)
{
    Outbox others;
    while (!outbox.empty()) {
        Outbox next;
        for (Outgoing &out : outbox) {
            if (out.to == this->settings.name) {
                this->dispatch(this->settings.name, out.message, next);
            } else {
                others.push_back(std::move(out));
            }
        }
        outbox = std::move(next);
    }
    if (!others.empty()) {
        this->mesh.post(std::move(others));
    }
}

void Node::Private::tellClaims(const std::vector<ClaimOutcome> &outcomes)
{
    for (const ClaimOutcome &outcome : outcomes) {
        this->registry.tell(outcome.attempt, [outcome](RequestEar &ear) { ear.claimEnded(outcome); });
    }
}

void Node::Private::tellReservations(const std::vector<ReserveResult> &results)
{
    for (const ReserveResult &result : results) {
        this->registry.tell(result.request, [result](RequestEar &ear) { ear.reservationEnded(result); });
    }
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
    {
        const std::scoped_lock lock(this->documentsMutex);
        this->spread.tick(now, outbox);
        this->documentsReady = this->spread.isReady(now);
    }
    std::vector<ReserveResult> results;
    {
        const std::scoped_lock lock(this->admissionMutex);
        this->reserver.tick(now, outbox);
        results = this->reserver.takeResults();
        this->owned.tick(now);
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
    this->deliver(std::move(outbox));
    this->reader.poke(now);
    this->tickedAt = now.count;
    if (now - this->poolStatesAt >= poolStatesEvery) {
        this->poolStatesAt = now;
        this->tickSlowly(now);
    }
}

void Node::Private::tickSlowly(Millis now)
{
    std::vector<ShardSum> own;
    std::vector<TargetView> toPoll;
    {
        const std::scoped_lock lock(this->admissionMutex);
        own = this->owned.sums(now);
        toPoll = this->owned.targets();
        const std::vector<TargetView> alone = this->reserver.wantsLoads(now);
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
        demands = this->rates.reports(now);
    }
    std::vector<ShardSum> sums;
    {
        const std::scoped_lock lock(this->membershipMutex);
        this->membership.setDemands(demands);
        demands = this->membership.fleetDemands(now);
        this->membership.setSums(now, own);
        this->membership.setDocuments(DocumentState{summary.digest, summary.highestRevision, summary.serviceAge});
        sums = this->membership.sums(now);
    }
    {
        const std::scoped_lock lock(this->admissionMutex);
        for (const ShardSum &sum : sums) {
            this->shards.noteSum(sum);
        }
        this->owned.noteSums(this->shards);
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
            this->spread.wokeLate(now, outbox);
            this->documentsReady = false;
        } else if (event.kind == MembershipEventKind::TargetChanged) {
            targetsMoved = this->targets.applyNews(now, event.target, event.life) || targetsMoved;
            const std::scoped_lock lock(this->limitsMutex);
            this->guard.forget(event.target);
        } else if (event.kind == MembershipEventKind::InstanceChanged && event.life.state == LifeState::Gone) {
            const std::scoped_lock lock(this->admissionMutex);
            this->owned.instanceGone(event.instance);
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
    const auto views = this->targets.pools();
    std::vector<ReserveResult> results;
    {
        const std::scoped_lock lock(this->admissionMutex);
        for (const auto &view : views) {
            this->shards.setPool(view);
        }
        this->owned.update(now, this->shards);
        this->reserver.listsChanged(now, outbox);
        results = this->reserver.takeResults();
    }
    this->tellReservations(results);
}

// From a message: a new list of instances changes the peers of the mesh, which must not happen while the mesh hands
// over what one of them sent; the link that is being read would be closed under the reader.
void Node::Private::documentsChangedSoon()
{
    QMetaObject::invokeMethod(
        &this->timer, [this] { this->documentsChanged(Millis::monotonicNow()); }, Qt::QueuedConnection);
}

// A refusal is told once, though the set in force may move on beside it.
void Node::Private::tellRefusal()
{
    const std::optional<Error> &refusal = this->configurationState.refusal();
    const std::string reason = refusal ? refusal->what() : "";
    if (refusal && reason != this->toldRefusal) {
        this->log.error(
            LogPart::Config, "a document is refused, the last good one stays in force", {{"reason", reason}});
        this->metrics.add("configurations_refused_total");
    }
    this->toldRefusal = reason;
}

void Node::Private::documentsChanged(Millis now)
{
    std::shared_ptr<const Configuration> inForce;
    {
        const std::scoped_lock lock(this->documentsMutex);
        const OfferResult result = this->configurationState.offer(this->spread.documents());
        this->spread.keep(now, this->configurationState.lastGood());
        this->tellRefusal();
        if (result != OfferResult::InForce) {
            return;
        }
        inForce = this->configurationState.inForce();
    }
    Problems problems;
    const std::shared_ptr<const FleetConfiguration> fleet = compileFleet(*inForce->documents, problems);
    for (const Problem &problem : problems) {
        this->log.warning(LogPart::Config, "the configuration has a doubtful place", {{"place", toText(problem)}});
    }
    this->current = fleet;
    this->apply(now, fleet);
    this->log.info(
        LogPart::Config, "a configuration is in force", {{"revision", std::to_string(inForce->highestRevision)}});
}

void Node::Private::apply(Millis now, const std::shared_ptr<const FleetConfiguration> &fleet)
{
    Outbox outbox;
    this->applyInstances(now, *fleet);
    this->applyPools(now, *fleet);
    this->viewChanged(now);
    this->poolsChanged(now, outbox);
    this->deliver(std::move(outbox));
}

void Node::Private::applyInstances(Millis now, const FleetConfiguration &fleet)
{
    std::vector<ListedInstance> listed;
    std::vector<InstanceId> names;
    PeerAddresses addresses;
    bool first = false;
    for (const InstanceDescription &row : fleet.instances) {
        if (row.state == LifeState::Gone) {
            continue;
        }
        listed.push_back(ListedInstance{row.instance, row.dataCentre});
        names.push_back(row.instance);
        if (row.instance != this->settings.name) {
            addresses[row.instance] = parsePeerAddress(row.peerAddress);
        } else {
            first = row.firstStart == this->incarnation;
        }
    }
    if (listed.empty()) {
        return;
    }
    this->mesh.setPeers(addresses);
    this->membersKnown = true;
    {
        const std::scoped_lock lock(this->membershipMutex);
        this->membership.setListed(listed);
    }
    const InstanceList list = makeInstanceList(names);
    const std::scoped_lock lock(this->claimsMutex);
    this->claimant.setInstances(list);
    this->witness.setInstances(now, list);
    if (first && this->witness.isFresh(now)) {
        this->log.info(LogPart::Claims, "the operators say that this is a first start, so this witness votes");
        this->witness.foundEmpty();
    }
}

void Node::Private::applyPools(Millis now, const FleetConfiguration &fleet)
{
    std::vector<PoolId> named;
    for (const PoolDescription &pool : fleet.pools) {
        this->targets.applyPool(now, pool);
        named.push_back(pool.pool);
        const std::scoped_lock lock(this->membershipMutex);
        for (const TargetDescription &target : pool.targets) {
            this->membership.targetNews(TargetNews{target.target, target.life});
        }
    }
    for (const auto &view : this->targets.pools()) {
        if (std::find(named.begin(), named.end(), view->pool) == named.end()) {
            this->targets.removePool(view->pool);
            const std::scoped_lock lock(this->admissionMutex);
            this->shards.removePool(view->pool);
        }
    }
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

Node::Node(const RouterSettings &settings, Incarnation incarnation, const Log &log, Metrics &metrics)
    : d(std::make_unique<Private>(settings, incarnation, log, metrics))
{
}

Node::~Node() = default;

void Node::start()
{
    this->d->mesh.listen(parsePeerAddress(this->d->settings.peerAddress));
    this->d->seedPeers();
    QObject::connect(&this->d->timer, &QTimer::timeout, &this->d->timer, [this] { this->d->tick(); });
    this->d->timer.start(tickMillis);
    this->d->tick();
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
    this->d->claimant.finished(attempt);
}

void Node::reserve(const Wanted &wanted)
{
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

QueueDecision Node::enqueueByRule(const RuleGate &gate, const QueueEntry &entry)
{
    std::vector<QueueAction> actions;
    QueueDecision decision;
    {
        const std::scoped_lock lock(this->d->limitsMutex);
        decision = this->d->gates.offer(Millis::monotonicNow(), gate, entry, actions);
    }
    this->d->tellQueue(actions);
    return decision;
}

void Node::dequeueByRule(const RuleGate &gate, const RequestId &request)
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
    return this->d->guard.leftAlone(Millis::monotonicNow(), *view, excluded);
}

void Node::targetTried(const TargetId &target)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->guard.tried(Millis::monotonicNow(), target);
}

void Node::targetAnswered(const TargetId &target)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->guard.answered(target);
}

void Node::targetFailed(const TargetId &target)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->guard.failed(Millis::monotonicNow(), target);
}

void Node::countRequest(const PoolId &pool, std::uint32_t budgetPercent)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    this->d->guard.countRequest(Millis::monotonicNow(), pool, budgetPercent);
}

bool Node::mayResend(const PoolId &pool, std::uint32_t budgetPercent)
{
    const std::scoped_lock lock(this->d->limitsMutex);
    return this->d->guard.mayResend(Millis::monotonicNow(), pool, budgetPercent);
}

QueueDecision Node::enqueue(const PoolId &pool, const QueueEntry &entry)
{
    std::vector<QueueAction> actions;
    QueueDecision decision;
    {
        const std::scoped_lock lock(this->d->limitsMutex);
        decision = this->d->queueOf(pool).offer(Millis::monotonicNow(), entry, actions);
    }
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

void Node::beginLeaving()
{
    this->d->leaving = true;
    Outbox outbox;
    {
        const std::scoped_lock lock(this->d->membershipMutex);
        this->d->membership.announceLeaving(outbox);
    }
    {
        const std::scoped_lock lock(this->d->claimsMutex);
        this->d->witness.leave(Millis::monotonicNow(), outbox);
    }
    this->d->deliver(std::move(outbox));
}

void Node::endLeaving()
{
    Outbox outbox;
    {
        const std::scoped_lock lock(this->d->claimsMutex);
        this->d->witness.leave(Millis::monotonicNow(), outbox);
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
        status.instances = fleet->instances;
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
