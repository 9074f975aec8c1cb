#include "sequoiausher/coordination/membership/membership.h"

#include "sequoiausher/coordination/membership/demandtable.h"
#include "sequoiausher/coordination/membership/lifetable.h"
#include "sequoiausher/coordination/membership/prober.h"
#include "sequoiausher/coordination/membership/reachability.h"
#include "sequoiausher/coordination/membership/sumtable.h"

#include <algorithm>
#include <bit>
#include <map>
#include <random>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::int64_t wholePercent = 100;

/** A probe that this router sent on behalf of another one. */
struct RelayedProbe
{
    InstanceId requester;
    std::uint64_t sequence = 0;
    Millis expiresAt;
};

} // namespace

class Membership::Private
{
public:
    Private(OwnInstance own, std::uint64_t seed, const MembershipSettings &given)
        : self(std::move(own))
        , settings(given)
        , random(seed)
        , reachability(self.instance, self.incarnation, given.suspicionTimeout)
        , prober({given.probeTimeout,
                  given.indirectTimeout,
                  given.indirectProbes,
                  given.ownDataCentrePercent,
                  given.unreachableProbePeriods})
        , sums(given.sumLifetime)
        , demands(self.instance)
    {
        this->instances.lives[this->self.instance] = {this->self.incarnation, LifeState::Live};
    }

    OwnInstance self;
    MembershipSettings settings;
    std::mt19937_64 random;
    Reachability reachability;
    Prober prober;
    SumTable sums;
    DemandTable demands;
    LifeTable<InstanceId> instances;
    LifeTable<TargetId> targets;
    std::vector<ListedInstance> platformList;
    std::map<std::uint64_t, RelayedProbe> relayed;
    std::vector<MembershipEvent> events;
    GossipedDocuments documents;
    std::uint64_t lastSequence = 0;
    std::uint64_t viewVersion = 0;
    std::optional<Millis> lastTick;
    Millis nextProbe;

    std::uint32_t sendLimit() const;
    bool isGone(const InstanceId &instance) const;
    std::vector<InstanceId> pickUrgentPeers();
    Gossip makeBaseGossip() const;
    Gossip makeGossipFor(Millis now, const InstanceId &to);
    void merge(Millis now, const Gossip &gossip);
    void applyTargetNews(const TargetNews &news);
    void applyInstanceNews(const InstanceNews &news);
    void recordReachabilityEvents();
    void sendNextProbe(Millis now, Outbox &outbox);
    void sendProbe(Millis now, const InstanceId &peer, Outbox &outbox);
    void reprobeSuspect(Millis now, const InstanceId &peer, Outbox &outbox);
    void sendUrgentNews(Outbox &outbox);
    void announce(LifeState state, Outbox &outbox);
};

std::uint32_t Membership::Private::sendLimit() const
{
    const auto logarithm = static_cast<std::uint32_t>(std::bit_width(this->platformList.size() + 1));
    return this->settings.sendMultiplier * logarithm;
}

bool Membership::Private::isGone(const InstanceId &instance) const
{
    const auto life = this->instances.find(instance);
    return life && life->state == LifeState::Gone;
}

std::vector<InstanceId> Membership::Private::pickUrgentPeers()
{
    std::vector<InstanceId> peers;
    for (const ListedInstance &row : this->platformList) {
        if (row.instance != this->self.instance && this->reachability.isReachable(row.instance)
            && !this->isGone(row.instance)) {
            peers.push_back(row.instance);
        }
    }
    const std::size_t count = std::min(this->settings.urgentFanOut, peers.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(peers[i], peers[i + this->random() % (peers.size() - i)]);
    }
    peers.resize(count);
    return peers;
}

Gossip Membership::Private::makeBaseGossip() const
{
    Gossip gossip;
    gossip.instances.push_back({this->self.instance, this->instances.lives.at(this->self.instance)});
    gossip.documentsDigest = this->documents.digest;
    gossip.highestRevision = this->documents.highestRevision;
    gossip.serviceAge = this->documents.serviceAge;
    return gossip;
}

Gossip Membership::Private::makeGossipFor(Millis now, const InstanceId &to)
{
    Gossip gossip = this->makeBaseGossip();
    for (const InstanceId &id : this->instances.queue.take(this->settings.instancesPerMessage, this->sendLimit())) {
        gossip.instances.push_back({id, this->instances.lives.at(id)});
    }
    for (const TargetId &id : this->targets.queue.take(this->settings.targetsPerMessage, this->sendLimit())) {
        gossip.targets.push_back({id, this->targets.lives.at(id)});
    }
    gossip.sums = this->sums.takeNews(now, this->settings.sumsPerMessage, this->sendLimit());
    gossip.fleetDemands = this->demands.takeNews(now, this->settings.demandsPerMessage);
    gossip.reach = this->reachability.takeNews(this->settings.reachPerMessage, this->sendLimit());
    if (const auto suspicion = this->reachability.suspicionOf(to)) {
        gossip.reach.push_back(*suspicion);
    }
    return gossip;
}

void Membership::Private::merge(Millis now, const Gossip &gossip)
{
    for (const InstanceNews &news : gossip.instances) {
        this->applyInstanceNews(news);
    }
    for (const TargetNews &news : gossip.targets) {
        this->applyTargetNews(news);
    }
    for (const ShardSum &sum : gossip.sums) {
        this->sums.merge(now, sum);
    }
    for (const ReachNews &news : gossip.reach) {
        this->reachability.merge(now, news);
    }
    this->demands.merge(now, gossip.fleetDemands);
    this->recordReachabilityEvents();
}

void Membership::Private::applyTargetNews(const TargetNews &news)
{
    if (this->targets.merge(news.target, news.life)) {
        this->events.push_back({MembershipEventKind::TargetChanged, {}, news.target, news.life});
    }
}

void Membership::Private::applyInstanceNews(const InstanceNews &news)
{
    // Each router is the only source of its own life state, so news about this router is ignored.
    const auto before = this->instances.find(news.instance);
    if (news.instance != this->self.instance && this->instances.merge(news.instance, news.life)) {
        const LifeState stateBefore = before ? before->state : LifeState::Live;
        this->viewVersion += stateBefore != news.life.state ? 1 : 0;
        this->reachability.setIncarnation(news.instance, news.life.incarnation);
        this->events.push_back({MembershipEventKind::InstanceChanged, news.instance, {}, news.life});
    }
}

void Membership::Private::recordReachabilityEvents()
{
    for (const InstanceId &instance : this->reachability.takeChanged()) {
        ++this->viewVersion;
        this->events.push_back({MembershipEventKind::ReachabilityChanged, instance, {}, {}});
    }
}

void Membership::Private::sendNextProbe(Millis now, Outbox &outbox)
{
    const std::int64_t jitter = this->settings.period.count * this->settings.jitterPercent / wholePercent;
    const auto span = static_cast<std::uint64_t>(2 * jitter + 1);
    this->nextProbe = now + this->settings.period + Millis{static_cast<std::int64_t>(this->random() % span) - jitter};
    const auto peer = this->prober.pickPeer(this->random, this->reachability.unreachable());
    if (peer) {
        this->sendProbe(now, *peer, outbox);
    }
}

void Membership::Private::sendProbe(Millis now, const InstanceId &peer, Outbox &outbox)
{
    const std::uint64_t sequence = ++this->lastSequence;
    this->prober.recordProbe(now, sequence, peer);
    outbox.push_back({peer, Probe{sequence, this->makeGossipFor(now, peer)}});
}

/**
 * Probes a suspected router again, which sends it the suspicion so that it can refute it. Lost messages raise a
 * suspicion of a running router now and then. A suspicion times out sooner than gossip alone reaches the suspected
 * router and returns, so without this probe some routers would treat it as unreachable.
 */
void Membership::Private::reprobeSuspect(Millis now, const InstanceId &peer, Outbox &outbox)
{
    if (this->reachability.isReachable(peer)) {
        this->sendProbe(now, peer, outbox);
    }
}

/**
 * Sends urgent news to a few peers at once; each router that learns the news does the same. With plain gossip alone the
 * news would take one period per hop, and new work would go to a leaving target for seconds. After the return of a
 * router, routers would disagree for about a second about the owner of the shards that move back.
 */
void Membership::Private::sendUrgentNews(Outbox &outbox)
{
    while (!this->targets.urgent.empty() || !this->instances.urgent.empty()) {
        Gossip gossip = this->makeBaseGossip();
        const auto hasRoom = [&] { return gossip.targets.size() < this->settings.urgentPerMessage; };
        while (!this->targets.urgent.empty() && hasRoom()) {
            const TargetId id = *this->targets.urgent.begin();
            gossip.targets.push_back({id, this->targets.lives.at(id)});
            this->targets.urgent.erase(id);
        }
        while (!this->instances.urgent.empty() && gossip.instances.size() < this->settings.urgentPerMessage) {
            const InstanceId id = *this->instances.urgent.begin();
            gossip.instances.push_back({id, this->instances.lives.at(id)});
            this->instances.urgent.erase(id);
        }
        for (const InstanceId &peer : this->pickUrgentPeers()) {
            outbox.push_back({peer, Probe{0, gossip}});
        }
    }
}

void Membership::Private::announce(LifeState state, Outbox &outbox)
{
    if (this->instances.merge(this->self.instance, {this->self.incarnation, state})) {
        ++this->viewVersion;
        this->sendUrgentNews(outbox);
    }
}

Membership::Membership(OwnInstance self, std::uint64_t seed, const MembershipSettings &settings)
    : d(std::make_unique<Private>(std::move(self), seed, settings))
{
}
Membership::~Membership() = default;

void Membership::setListed(const std::vector<ListedInstance> &listed)
{
    ++this->d->viewVersion;
    this->d->platformList = listed;
    std::vector<InstanceId> near;
    std::vector<InstanceId> far;
    for (const ListedInstance &row : listed) {
        if (row.instance != this->d->self.instance) {
            (row.dataCentre == this->d->self.dataCentre ? near : far).push_back(row.instance);
        }
    }
    this->d->prober.setPeers(std::move(near), std::move(far));
    this->d->reachability.setListed(this->listed());
}

void Membership::tick(Millis now, Outbox &outbox)
{
    const bool wasPaused = this->d->lastTick && now - *this->d->lastTick > this->d->settings.maxTickGap;
    this->d->lastTick = now;
    if (wasPaused) {
        // Every probe from before the pause looks unanswered now. If this process acted on that, it would declare the
        // whole fleet unreachable right after a pause.
        this->d->prober.discardOpenProbes();
        this->d->reachability.stopSuspicionTimers();
        this->d->relayed.clear();
        this->d->events.push_back({MembershipEventKind::WokeLate, {}, {}, {}});
    }
    for (const InstanceId &suspect : this->d->prober.tick(now, this->d->random, outbox)) {
        this->d->reachability.suspect(now, suspect);
        this->d->reprobeSuspect(now, suspect, outbox);
    }
    this->d->reachability.tick(now);
    this->d->recordReachabilityEvents();
    this->d->sums.dropExpired(now);
    std::erase_if(this->d->relayed, [now](const auto &entry) { return now >= entry.second.expiresAt; });
    this->d->sendUrgentNews(outbox);
    for (DemandReport &report : this->d->demands.takeDueReports(now, [this] { return this->live(); })) {
        Gossip gossip = this->d->makeBaseGossip();
        gossip.demands = std::move(report.demands);
        outbox.push_back({report.collector, Probe{0, std::move(gossip)}});
    }
    if (now >= this->d->nextProbe) {
        this->d->sendNextProbe(now, outbox);
    }
}

Millis Membership::nextProbe() const
{
    return this->d->nextProbe;
}

void Membership::receive(Millis now, const InstanceId &from, const Probe &probe, Outbox &outbox)
{
    this->confirmAlive(from);
    this->d->merge(now, probe.gossip);
    this->d->demands.addReport(now, from, probe.gossip.demands);
    this->d->sendUrgentNews(outbox);
    if (probe.sequence != 0) {
        outbox.push_back({from, ProbeReply{probe.sequence, this->d->self.instance, this->d->makeGossipFor(now, from)}});
    }
}

void Membership::receive(Millis now, const InstanceId &from, const ProbeReply &reply, Outbox &outbox)
{
    this->confirmAlive(from);
    this->d->merge(now, reply.gossip);
    this->d->sendUrgentNews(outbox);
    this->d->prober.recordReply(reply.sequence);
    const auto relayed = this->d->relayed.find(reply.sequence);
    if (relayed != this->d->relayed.end()) {
        const RelayedProbe &asked = relayed->second;
        outbox.push_back(
            {asked.requester, ProbeReply{asked.sequence, reply.about, this->d->makeGossipFor(now, asked.requester)}});
        this->d->relayed.erase(relayed);
    }
}

void Membership::receive(Millis now, const InstanceId &from, const IndirectProbe &probe, Outbox &outbox)
{
    this->confirmAlive(from);
    const std::uint64_t sequence = ++this->d->lastSequence;
    this->d->relayed[sequence] = {from, probe.sequence, now + this->d->settings.indirectTimeout};
    outbox.push_back({probe.suspect, Probe{sequence, this->d->makeGossipFor(now, probe.suspect)}});
}

void Membership::confirmAlive(const InstanceId &from)
{
    this->d->reachability.confirmAlive(from);
    this->d->recordReachabilityEvents();
}

void Membership::beginJoining()
{
    this->d->instances.lives[this->d->self.instance] = {this->d->self.incarnation - 1, LifeState::Leaving};
    ++this->d->viewVersion;
}

void Membership::announceLive()
{
    if (this->d->instances.merge(this->d->self.instance, {this->d->self.incarnation, LifeState::Live})) {
        ++this->d->viewVersion;
    }
}

void Membership::announceLeaving(Outbox &outbox)
{
    this->d->announce(LifeState::Leaving, outbox);
}

void Membership::announceGone(Outbox &outbox)
{
    this->d->announce(LifeState::Gone, outbox);
}

void Membership::addTargetNews(const TargetNews &news)
{
    this->d->applyTargetNews(news);
}

std::optional<LifeNews> Membership::target(const TargetId &target) const
{
    return this->d->targets.find(target);
}

std::optional<LifeNews> Membership::instance(const InstanceId &instance) const
{
    return this->d->instances.find(instance);
}

void Membership::setSums(Millis now, const std::vector<ShardSum> &sums)
{
    this->d->sums.setOwn(now, sums);
}

std::vector<ShardSum> Membership::sums(Millis now) const
{
    return this->d->sums.all(now);
}

void Membership::setDemands(std::vector<OrganisationDemand> demands)
{
    this->d->demands.setOwn(std::move(demands));
}

std::vector<OrganisationDemand> Membership::fleetDemands(Millis now) const
{
    return this->d->demands.totals(now);
}

void Membership::setDocuments(const GossipedDocuments &state)
{
    this->d->documents = state;
}

std::vector<InstanceId> Membership::listed() const
{
    std::vector<InstanceId> instances;
    for (const ListedInstance &row : this->d->platformList) {
        instances.push_back(row.instance);
    }
    return instances;
}

std::vector<InstanceId> Membership::reachable() const
{
    std::vector<InstanceId> instances{this->d->self.instance};
    for (const ListedInstance &row : this->d->platformList) {
        if (row.instance != this->d->self.instance && this->isReachable(row.instance)) {
            instances.push_back(row.instance);
        }
    }
    return instances;
}

std::vector<InstanceId> Membership::live() const
{
    std::vector<InstanceId> instances = this->reachable();
    std::erase_if(instances, [this](const InstanceId &id) {
        const auto life = this->instance(id);
        return life && life->state != LifeState::Live;
    });
    return instances;
}

bool Membership::isReachable(const InstanceId &instance) const
{
    return this->d->reachability.isReachable(instance) && !this->d->isGone(instance);
}

std::uint64_t Membership::viewVersion() const
{
    return this->d->viewVersion;
}

std::vector<MembershipEvent> Membership::takeEvents()
{
    return std::exchange(this->d->events, {});
}

} // namespace Sequoiausher
