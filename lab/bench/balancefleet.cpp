#include "lab/bench/balancefleet.h"

#include "lab/bench/enginemodel.h"
#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/admission/ownedshards.h"
#include "sequoiausher/coordination/admission/reserver.h"
#include "sequoiausher/coordination/policies/loadbound.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>

namespace Sequoiausher {

namespace {

const PoolId pool{"plates"};
constexpr Millis reportLag{500};
constexpr Millis reportEvery{500};
constexpr Millis sampleEvery{100};
constexpr Millis tickEvery{50};
constexpr Millis streamsOutlive{500};
constexpr Millis listLag{1000};
constexpr Millis engineDrain{30000};
constexpr Millis routerReturn{6000};
constexpr Millis connectionBreaks{2};
constexpr double packetBytes = 40;
constexpr double frameBytes = 8;
constexpr double idBytes = 16;
constexpr double nameBytes = 12;
constexpr double numberBytes = 4;

double bytesOf(const PeerMessage &message)
{
    constexpr double shard = nameBytes + numberBytes;
    if (std::holds_alternative<ReserveRequest>(message)) {
        return packetBytes + frameBytes + idBytes + shard + 4 * numberBytes;
    }
    if (std::holds_alternative<ReserveReply>(message)) {
        return packetBytes + frameBytes + idBytes + nameBytes + 3 * numberBytes;
    }
    if (const auto *report = std::get_if<HoldingsReport>(&message)) {
        const double each = idBytes + nameBytes;
        return packetBytes + frameBytes + shard + 2 * numberBytes + each * static_cast<double>(report->holdings.size());
    }
    if (std::holds_alternative<HoldingsDigest>(message)) {
        return packetBytes + frameBytes + idBytes + shard + 2 * numberBytes;
    }
    if (std::holds_alternative<HoldingsAnswer>(message)) {
        return packetBytes + frameBytes + shard + numberBytes;
    }
    return packetBytes + frameBytes + idBytes + shard;
}

double shareOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

struct SimulatedEngine
{
    TargetId target;
    LifeNews life;
    EngineModel model;
    bool isInMean = true;
};

struct SimulatedRouter
{
    SimulatedRouter(const InstanceId &instance, Incarnation incarnation)
        : name(instance)
        , owned(instance, OwnerSettings{}, incarnation)
        , reserver(instance, incarnation, ReserverSettings{}, incarnation, map)
    {
    }

    InstanceId name;
    bool isAlive = true;
    ShardMap map{ShardSettings{}};
    OwnedShards owned;
    Reserver reserver;
    /** The newest lists learnt: an older one that arrives late is dropped, as documents with revisions are. */
    std::uint64_t poolRevision = 0;
    std::uint64_t peersRevision = 0;
    std::unique_ptr<Policy> naive = makePolicy(PolicyKind::RoundRobin, 1);
};

struct Running
{
    Turn turn;
    SimulatedRouter *router = nullptr;
    SimulatedEngine *engine = nullptr;
};

class Simulation
{
public:
    Simulation(const BalanceSettings &given, Chooser chosen, std::uint64_t seed)
        : settings(given)
        , chooser(chosen)
        , workload(given.workload, seed)
        , random(seed + 1)
        , twoChoices(makePolicy(PolicyKind::TwoChoices, seed))
    {
    }

    BalanceFigures run();

private:
    void at(Millis when, std::function<void()> what);
    std::int64_t draw(std::int64_t below);
    void every(Millis interval, const std::function<void()> &what);

    SimulatedEngine &addEngine();
    SimulatedRouter &addRouter();
    void spreadPool();
    void learnPool(SimulatedRouter &router, const std::shared_ptr<const PoolView> &known, std::uint64_t revision);
    void learnPeers(SimulatedRouter &router,
                    const std::vector<InstanceId> &live,
                    const InstanceId &dead,
                    std::uint64_t revision);
    std::vector<InstanceId> liveNames() const;
    std::shared_ptr<const PoolView> view() const;
    void replaceEngine();
    void killRouter();
    void breakConnections(SimulatedRouter &router, const InstanceId &killed);

    void arrive();
    void admit(SimulatedRouter &router, const RequestId &request, SimulatedEngine &engine);
    void finish(const RequestId &request);
    SimulatedEngine *chooseNaively(SimulatedRouter &router, const Turn &turn);
    SimulatedEngine *chooseAllSeeing(const Turn &turn);
    PoolLoad loadSeen(const SimulatedRouter &router) const;
    void measure(const SimulatedEngine &engine);

    void collect(SimulatedRouter &router);
    void carry(SimulatedRouter &from, Outbox &outbox);
    void deliver(const InstanceId &from, const Outgoing &out);
    void reportTo(SimulatedRouter &router);
    void reportLoads();
    void tickAll();

    struct Event
    {
        Millis when;
        std::uint64_t order;
        std::function<void()> what;

        bool operator<(const Event &other) const
        {
            return this->when != other.when ? this->when > other.when : this->order > other.order;
        }
    };

    BalanceSettings settings;
    Chooser chooser;
    Workload workload;
    std::mt19937_64 random;
    std::unique_ptr<Policy> twoChoices;
    std::priority_queue<Event> events;
    std::uint64_t lastOrder = 0;
    Millis now;
    std::vector<std::unique_ptr<SimulatedEngine>> engines;
    std::map<TargetId, SimulatedEngine *> engineOf;
    std::vector<std::unique_ptr<SimulatedRouter>> routers;
    std::vector<SimulatedRouter *> alive;
    std::map<InstanceId, SimulatedRouter *> routerOf;
    std::unordered_map<RequestId, Running> running;
    std::uint64_t lastRequest = 0;
    std::uint64_t poolRevision = 1;
    std::uint64_t peersRevision = 1;
    std::uint64_t inMean = 0;
    std::uint64_t enginesInMean = 0;
    std::uint64_t above = 0;
    std::uint64_t sharedTokens = 0;
    std::uint64_t ownTokens = 0;
    std::uint64_t cachedShared = 0;
    std::uint64_t cachedOwn = 0;
    std::uint64_t measured = 0;
    double controlBytes = 0;
    BalanceFigures figures;
};

void Simulation::at(Millis when, std::function<void()> what)
{
    this->events.push(Event{when, ++this->lastOrder, std::move(what)});
}

std::int64_t Simulation::draw(std::int64_t below)
{
    return static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(below));
}

void Simulation::every(Millis interval, const std::function<void()> &what)
{
    this->at(this->now + interval, [this, interval, what] {
        what();
        this->every(interval, what);
    });
}

SimulatedEngine &Simulation::addEngine()
{
    const TargetId target{"engine-" + std::to_string(this->engines.size())};
    this->engines.push_back(std::make_unique<SimulatedEngine>(
        SimulatedEngine{target, {1, LifeState::Live}, EngineModel(this->settings.cacheTokensPerEngine), false}));
    this->engineOf[target] = this->engines.back().get();
    return *this->engines.back();
}

SimulatedRouter &Simulation::addRouter()
{
    const std::uint64_t number = this->routers.size() + 1;
    const InstanceId name{"router-" + std::to_string(number)};
    this->routers.push_back(std::make_unique<SimulatedRouter>(name, number));
    SimulatedRouter &router = *this->routers.back();
    this->alive.push_back(&router);
    this->routerOf[name] = &router;
    return router;
}

std::vector<InstanceId> Simulation::liveNames() const
{
    std::vector<InstanceId> names;
    for (const SimulatedRouter *router : this->alive) {
        names.push_back(router->name);
    }
    return names;
}

std::shared_ptr<const PoolView> Simulation::view() const
{
    auto made = std::make_shared<PoolView>();
    made->pool = pool;
    for (const auto &engine : this->engines) {
        if (engine->life.state != LifeState::Gone) {
            made->targets.push_back(
                {{engine->target, "", DataCentreId{}, engine->life, {}}, hash64(engine->target.value)});
        }
    }
    return made;
}

void Simulation::learnPool(SimulatedRouter &router,
                           const std::shared_ptr<const PoolView> &known,
                           std::uint64_t revision)
{
    if (!router.isAlive || revision < router.poolRevision) {
        return;
    }
    router.poolRevision = revision;
    Outbox outbox;
    router.map.setPool(known);
    router.owned.update(this->now, router.map);
    // A router that takes over a shard asks the shard's engines at once.
    this->reportTo(router);
    router.reserver.handleMapChange(this->now, outbox);
    this->collect(router);
    this->carry(router, outbox);
}

void Simulation::spreadPool()
{
    const std::shared_ptr<const PoolView> known = this->view();
    const std::uint64_t revision = ++this->poolRevision;
    for (SimulatedRouter *router : this->alive) {
        this->at(this->now + Millis{this->draw(listLag.count)},
                 [=, this] { this->learnPool(*router, known, revision); });
    }
}

void Simulation::learnPeers(SimulatedRouter &router,
                            const std::vector<InstanceId> &live,
                            const InstanceId &dead,
                            std::uint64_t revision)
{
    if (!router.isAlive || revision < router.peersRevision) {
        return;
    }
    router.peersRevision = revision;
    Outbox outbox;
    router.map.setInstances(live);
    router.owned.update(this->now, router.map);
    if (!dead.empty()) {
        router.owned.dropInstance(dead);
    }
    // A router that takes over a shard asks the shard's engines at once.
    this->reportTo(router);
    router.reserver.handleMapChange(this->now, outbox);
    this->collect(router);
    this->carry(router, outbox);
}

void Simulation::replaceEngine()
{
    std::vector<SimulatedEngine *> live;
    for (const auto &engine : this->engines) {
        if (engine->life.state == LifeState::Live && engine->isInMean) {
            live.push_back(engine.get());
        }
    }
    SimulatedEngine *leaving = live[static_cast<std::size_t>(this->draw(static_cast<std::int64_t>(live.size())))];
    leaving->life.state = LifeState::Leaving;
    leaving->isInMean = false;
    this->enginesInMean -= 1;
    this->inMean -= leaving->model.inFlight;
    SimulatedEngine *fresh = &this->addEngine();
    this->spreadPool();
    this->at(this->now + listLag, [this, fresh] {
        fresh->isInMean = true;
        this->enginesInMean += 1;
        this->inMean += fresh->model.inFlight;
    });
    this->at(this->now + engineDrain, [this, leaving] {
        leaving->life.state = LifeState::Gone;
        this->spreadPool();
    });
}

void Simulation::killRouter()
{
    const auto index = static_cast<std::size_t>(this->draw(static_cast<std::int64_t>(this->alive.size())));
    SimulatedRouter *killed = this->alive[index];
    killed->isAlive = false;
    this->alive.erase(this->alive.begin() + static_cast<std::ptrdiff_t>(index));
    std::vector<RequestId> lost;
    for (const auto &entry : this->running) {
        if (entry.second.router == killed) {
            lost.push_back(entry.first);
        }
    }
    this->at(this->now + streamsOutlive, [this, lost] {
        for (const RequestId &request : lost) {
            this->finish(request);
        }
    });
    const std::vector<InstanceId> rest = this->liveNames();
    const std::uint64_t revision = ++this->peersRevision;
    for (SimulatedRouter *router : this->alive) {
        if (this->settings.killsBreakConnections) {
            this->at(this->now + connectionBreaks, [=, this] { this->breakConnections(*router, killed->name); });
        }
        this->at(this->now + Millis{500 + this->draw(2000)},
                 [=, this] { this->learnPeers(*router, rest, killed->name, revision); });
    }
    this->at(this->now + routerReturn, [this] {
        SimulatedRouter &fresh = this->addRouter();
        const std::vector<InstanceId> all = this->liveNames();
        const std::uint64_t next = ++this->peersRevision;
        this->learnPeers(fresh, all, InstanceId{}, next);
        this->learnPool(fresh, this->view(), this->poolRevision);
        for (SimulatedRouter *router : this->alive) {
            if (router != &fresh) {
                this->at(this->now + Millis{this->draw(1000)},
                         [=, this] { this->learnPeers(*router, all, InstanceId{}, next); });
            }
        }
    });
}

void Simulation::breakConnections(SimulatedRouter &router, const InstanceId &killed)
{
    if (!router.isAlive) {
        return;
    }
    Outbox outbox;
    router.owned.suspectInstance(this->now, killed);
    router.reserver.markPeerUnreachable(this->now, killed, outbox);
    this->collect(router);
    this->carry(router, outbox);
}

PoolLoad Simulation::loadSeen(const SimulatedRouter &router) const
{
    PoolLoad load;
    for (const ShardId &shard : router.map.shards()) {
        for (const TargetView &target : router.map.targetsOf(shard)) {
            const SimulatedEngine *engine = this->engineOf.at(target.description.target);
            const std::uint32_t late
                = this->chooser == Chooser::TwoChoices ? engine->model.reported(this->now, reportLag) : 0;
            const bool usable = target.description.life.state == LifeState::Live;
            load.targets.push_back(TargetLoad{target.description.target, target.hash, late, late, usable});
        }
    }
    load.counted = load.targets.size();
    return load;
}

SimulatedEngine *Simulation::chooseNaively(SimulatedRouter &router, const Turn &turn)
{
    const PoolLoad load = this->loadSeen(router);
    const PolicyRequest choice{hash64(std::to_string(turn.chat)), this->settings.boundPercent};
    std::optional<std::size_t> chosen;
    if (this->chooser == Chooser::Naive) {
        chosen = router.naive->choose(load, choice);
    } else if (this->chooser == Chooser::TwoChoices) {
        chosen = this->twoChoices->choose(load, choice);
    } else {
        chosen = makePolicy(PolicyKind::Rendezvous, 1)->choose(load, choice);
    }
    return chosen ? this->engineOf.at(load.targets[*chosen].target) : nullptr;
}

SimulatedEngine *Simulation::chooseAllSeeing(const Turn &turn)
{
    const std::uint64_t bound = loadBound(this->settings.boundPercent, this->inMean, this->enginesInMean);
    SimulatedEngine *best = nullptr;
    for (const auto &engine : this->engines) {
        if (!engine->isInMean || engine->model.inFlight >= bound) {
            continue;
        }
        const std::uint32_t cached = engine->model.cached(turn).all();
        const std::uint32_t bestCached = best == nullptr ? 0 : best->model.cached(turn).all();
        const bool isIdler = best != nullptr && engine->model.inFlight < best->model.inFlight;
        if (best == nullptr || cached > bestCached || (cached == bestCached && isIdler)) {
            best = engine.get();
        }
    }
    return best;
}

void Simulation::measure(const SimulatedEngine &engine)
{
    if (!engine.isInMean || this->now < this->settings.warmUp) {
        return;
    }
    // The new request is counted already.
    const double mean = static_cast<double>(this->inMean) / static_cast<double>(this->enginesInMean);
    const double carried = engine.model.inFlight;
    this->measured += 1;
    this->figures.maxOverMean = std::max(this->figures.maxOverMean, (carried - 1) / mean);
    this->figures.maxOverMeanUnrounded = std::max(this->figures.maxOverMeanUnrounded, carried / mean);
    const std::uint64_t bound = loadBound(this->settings.boundPercent, this->inMean - 1, this->enginesInMean);
    this->above += engine.model.inFlight > bound ? 1 : 0;
}

void Simulation::admit(SimulatedRouter &router, const RequestId &request, SimulatedEngine &engine)
{
    Running &started = this->running.at(request);
    started.router = &router;
    started.engine = &engine;
    engine.model.inFlight += 1;
    this->inMean += engine.isInMean ? 1 : 0;
    this->measure(engine);
    const CachedTokens hit = engine.model.run(started.turn);
    this->figures.admitted += 1;
    if (this->now >= this->settings.warmUp) {
        this->sharedTokens += started.turn.sharedTokens;
        this->ownTokens += started.turn.promptTokens;
        this->cachedShared += hit.shared;
        this->cachedOwn += hit.own;
    }
    this->at(this->now + started.turn.run, [this, request] { this->finish(request); });
}

void Simulation::finish(const RequestId &request)
{
    const auto ended = this->running.find(request);
    if (ended == this->running.end()) {
        return;
    }
    if (ended->second.engine == nullptr) {
        this->running.erase(ended);
        return;
    }
    SimulatedEngine &engine = *ended->second.engine;
    SimulatedRouter &router = *ended->second.router;
    engine.model.inFlight -= 1;
    this->inMean -= engine.isInMean ? 1 : 0;
    this->running.erase(ended);
    if (router.isAlive && this->chooser == Chooser::Admission) {
        Outbox outbox;
        router.reserver.release(this->now, request, outbox);
        this->carry(router, outbox);
    }
}

void Simulation::arrive()
{
    const Turn turn = this->workload.next();
    SimulatedRouter &router
        = *this->alive[static_cast<std::size_t>(this->draw(static_cast<std::int64_t>(this->alive.size())))];
    const RequestId request{1, ++this->lastRequest};
    this->running[request] = Running{turn, &router, nullptr};
    if (this->chooser == Chooser::Admission) {
        Outbox outbox;
        const std::uint64_t chat = hash64(std::to_string(turn.chat));
        PlacementRequest wanted{request, pool, chat, this->settings.policy, this->settings.boundPercent, {}};
        wanted.prefixHash = turn.sharedPrefix == 0 ? 0 : hash64(std::to_string(turn.sharedPrefix));
        router.reserver.reserve(this->now, wanted, outbox);
        this->collect(router);
        this->carry(router, outbox);
    } else {
        const bool seesAll = this->chooser == Chooser::AllSeeing;
        SimulatedEngine *engine = seesAll ? this->chooseAllSeeing(turn) : this->chooseNaively(router, turn);
        if (engine != nullptr) {
            this->admit(router, request, *engine);
        } else {
            this->figures.refused += 1;
            this->running.erase(request);
        }
    }
    this->at(this->now + turn.untilNext, [this] { this->arrive(); });
}

void Simulation::collect(SimulatedRouter &router)
{
    for (const ReserveResult &result : router.reserver.takeResults()) {
        if (result.target.empty()) {
            this->figures.refused += 1;
            this->running.erase(result.request);
            continue;
        }
        this->figures.admittedLocally += result.outcome == ReserveOutcome::GrantedLocally ? 1 : 0;
        this->admit(router, result.request, *this->engineOf.at(result.target));
    }
}

void Simulation::carry(SimulatedRouter &from, Outbox &outbox)
{
    for (Outgoing &out : outbox) {
        const bool isLocal = out.to == from.name;
        this->controlBytes += isLocal ? 0 : bytesOf(out.message);
        const Millis delay = isLocal ? Millis{0} : Millis{1 + this->draw(2)};
        this->at(this->now + delay, [this, sender = from.name, out = std::move(out)] { this->deliver(sender, out); });
    }
}

void Simulation::deliver(const InstanceId &from, const Outgoing &out)
{
    SimulatedRouter &router = *this->routerOf.at(out.to);
    if (!router.isAlive) {
        return;
    }
    Outbox outbox;
    if (const auto *request = std::get_if<ReserveRequest>(&out.message)) {
        router.owned.receive(this->now, from, *request, outbox);
    } else if (const auto *release = std::get_if<Release>(&out.message)) {
        router.owned.receive(this->now, from, *release);
    } else if (const auto *report = std::get_if<HoldingsReport>(&out.message)) {
        router.owned.receive(this->now, from, *report, outbox);
    } else if (const auto *digest = std::get_if<HoldingsDigest>(&out.message)) {
        router.owned.receive(this->now, from, *digest, outbox);
    } else if (const auto *answer = std::get_if<HoldingsAnswer>(&out.message)) {
        router.reserver.receive(from, *answer, outbox);
    } else if (const auto *reply = std::get_if<ReserveReply>(&out.message)) {
        router.reserver.receive(this->now, from, *reply, outbox);
        this->collect(router);
    }
    this->carry(router, outbox);
}

void Simulation::reportTo(SimulatedRouter &router)
{
    for (const TargetView &target : router.owned.targets()) {
        const TargetId &name = target.description.target;
        const std::uint32_t load = this->engineOf.at(name)->model.reported(this->now, reportLag);
        router.owned.reportLoad(name, load, this->now - reportLag);
    }
}

void Simulation::reportLoads()
{
    const Millis measuredAt = this->now - reportLag;
    std::vector<ShardSum> sums;
    for (SimulatedRouter *router : this->alive) {
        this->reportTo(*router);
        for (const TargetView &target : router->reserver.targetsNeedingLoad(this->now)) {
            const TargetId &name = target.description.target;
            const std::uint32_t load = this->engineOf.at(name)->model.reported(this->now, reportLag);
            router->reserver.recordLoad(name, ReportedLoad{1, load, measuredAt});
        }
        const std::vector<ShardSum> own = router->owned.sums(this->now);
        sums.insert(sums.end(), own.begin(), own.end());
    }
    for (SimulatedRouter *router : this->alive) {
        this->at(this->now + reportEvery, [router, sums] {
            for (const ShardSum &sum : sums) {
                router->map.recordSum(sum);
            }
            router->owned.refreshPoolLoads(router->map);
        });
    }
}

void Simulation::tickAll()
{
    for (SimulatedRouter *router : this->alive) {
        Outbox outbox;
        router->reserver.tick(this->now, outbox);
        if (this->now >= router->owned.nextDeadline()) {
            router->owned.tick(this->now);
        }
        this->collect(*router);
        this->carry(*router, outbox);
    }
}

BalanceFigures Simulation::run()
{
    for (std::uint32_t i = 0; i < this->settings.engines; ++i) {
        this->addEngine().isInMean = true;
    }
    this->enginesInMean = this->settings.engines;
    for (std::uint32_t i = 0; i < this->settings.routers; ++i) {
        this->addRouter();
    }
    const std::vector<InstanceId> all = this->liveNames();
    for (SimulatedRouter *router : this->alive) {
        this->learnPeers(*router, all, InstanceId{}, this->peersRevision);
        this->learnPool(*router, this->view(), this->poolRevision);
    }
    this->every(sampleEvery, [this] {
        for (const auto &engine : this->engines) {
            engine->model.sample(this->now);
        }
    });
    if (this->chooser == Chooser::Admission) {
        this->every(reportEvery, [this] { this->reportLoads(); });
        this->every(tickEvery, [this] { this->tickAll(); });
    }
    this->every(this->settings.engineChurn, [this] { this->replaceEngine(); });
    this->every(this->settings.routerKills, [this] { this->killRouter(); });
    this->at(Millis{10}, [this] { this->arrive(); });
    while (this->now < this->settings.length) {
        const Event next = this->events.top();
        this->events.pop();
        this->now = next.when;
        next.what();
    }
    if (this->measured > 0) {
        this->figures.aboveBound = shareOf(this->above, this->measured);
        this->figures.reuse = shareOf(this->cachedShared + this->cachedOwn, this->sharedTokens + this->ownTokens);
        this->figures.sharedReuse = shareOf(this->cachedShared, this->sharedTokens);
        this->figures.ownReuse = shareOf(this->cachedOwn, this->ownTokens);
        this->figures.controlBytesPerRequest = this->controlBytes / static_cast<double>(this->figures.admitted);
    }
    return this->figures;
}

} // namespace

BalanceFigures runBalance(const BalanceSettings &settings, Chooser chooser, std::uint64_t seed)
{
    return Simulation(settings, chooser, seed).run();
}

} // namespace Sequoiausher
