#include "lab/bench/surgefleet.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/admission/organisationshares.h"
#include "sequoiausher/coordination/admission/ownedshards.h"
#include "sequoiausher/coordination/admission/reserver.h"
#include "sequoiausher/coordination/limits/admissionqueue.h"
#include "sequoiausher/coordination/limits/fifoqueue.h"

#include <functional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>

namespace Sequoiausher {

namespace {

const PoolId pool{"plates"};
constexpr std::uint32_t boundPercent = 125;
/** As the node sets them by default. */
constexpr std::size_t queueSlots = 4096;
constexpr std::size_t queueLength = 2000;
/** The owner is settled and knows its entries before the first request arrives. */
constexpr Millis warmUp{1000};

struct SimulatedRouter
{
    SimulatedRouter(const InstanceId &instance, const FleetSurgeSettings &settings, std::uint64_t seed)
        : name(instance)
        , owned(instance, settings.owner, seed)
        , reserver(instance, 1, ReserverSettings{}, seed, map)
        , queue(settings.makeQueue())
    {
    }

    InstanceId name;
    ShardMap map{ShardSettings{}};
    OwnedShards owned;
    Reserver reserver;
    std::unique_ptr<DispatchQueue> queue;
};

/** The state of one run. */
class FleetRun
{
public:
    explicit FleetRun(const FleetSurgeSettings &given);
    SurgeResult go();

private:
    struct Event
    {
        Millis when;
        std::uint64_t order = 0;
        std::function<void()> what;

        bool operator<(const Event &other) const
        {
            return this->when != other.when ? this->when > other.when : this->order > other.order;
        }
    };

    void at(Millis when, std::function<void()> what);
    std::shared_ptr<const PoolView> view() const;
    void start();
    void arrive(const SurgeArrival &arrival);
    void tickAll();
    void decide(SimulatedRouter &router, const QueueEntry &entry, const QueueDecision &decision);
    void reserve(SimulatedRouter &router, const QueueEntry &entry);
    void collect(SimulatedRouter &router);
    void granted(SimulatedRouter &router, const SurgeArrival &arrival);
    void putBack(SimulatedRouter &router, const ReserveResult &result);
    void finish(SimulatedRouter &router, const RequestId &request);
    void act(SimulatedRouter &router, std::vector<QueueAction> &actions);
    void carry(SimulatedRouter &from, Outbox &outbox);
    void deliver(const InstanceId &from, const Outgoing &out);
    GroupResult &groupOf(const SurgeArrival &arrival);

    const FleetSurgeSettings settings;
    std::vector<SurgeArrival> arrivals;
    std::unordered_map<RequestId, const SurgeArrival *> byRequest;
    std::vector<std::unique_ptr<SimulatedRouter>> routers;
    std::unordered_map<InstanceId, SimulatedRouter *> byName;
    std::priority_queue<Event> events;
    std::uint64_t order = 0;
    std::size_t open = 0;
    Millis now;
    std::mt19937_64 spread;
    std::mt19937_64 firstTokens;
    SurgeResult result;
};

FleetRun::FleetRun(const FleetSurgeSettings &given)
    : settings(given)
    , arrivals(surgeArrivals(given.load))
    , spread(given.load.seed)
    , firstTokens(given.load.seed + 1)
{
    for (SurgeArrival &arrival : this->arrivals) {
        arrival.at += warmUp;
        arrival.entry.dispatchBy += warmUp;
    }
    for (const SurgeArrival &arrival : this->arrivals) {
        this->byRequest.emplace(arrival.entry.request, &arrival);
    }
    for (int i = 0; i < this->settings.routers; ++i) {
        const InstanceId name{"r" + std::to_string(i)};
        const std::uint64_t seed = given.load.seed * 100 + static_cast<std::uint64_t>(i);
        this->routers.push_back(std::make_unique<SimulatedRouter>(name, this->settings, seed));
        this->byName[name] = this->routers.back().get();
    }
}

void FleetRun::at(Millis when, std::function<void()> what)
{
    this->events.push(Event{when, ++this->order, std::move(what)});
}

std::shared_ptr<const PoolView> FleetRun::view() const
{
    auto made = std::make_shared<PoolView>();
    made->pool = pool;
    for (int i = 0; i < this->settings.targets; ++i) {
        const TargetId target{"t" + std::to_string(i)};
        const TargetDescription description{target, "", DataCentreId{}, {1, LifeState::Live}, this->settings.capacity};
        made->targets.push_back({description, hash64(target.value)});
    }
    return made;
}

void FleetRun::start()
{
    std::vector<InstanceId> names;
    for (const auto &router : this->routers) {
        names.push_back(router->name);
    }
    for (const auto &router : this->routers) {
        router->map.setInstances(names);
        router->map.setPool(this->view());
        router->owned.update(this->now, router->map);
        Outbox outbox;
        router->reserver.handleMapChange(this->now, outbox);
        this->carry(*router, outbox);
    }
}

SurgeResult FleetRun::go()
{
    this->start();
    this->open = this->arrivals.size();
    for (const SurgeArrival &arrival : this->arrivals) {
        this->at(arrival.at, [this, &arrival] { this->arrive(arrival); });
    }
    this->at(this->settings.tickEvery, [this] { this->tickAll(); });
    while (this->open > 0) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.when;
        event.what();
    }
    return this->result;
}

void FleetRun::arrive(const SurgeArrival &arrival)
{
    ++this->groupOf(arrival).offered;
    SimulatedRouter &router = *this->routers[this->spread() % this->routers.size()];
    std::vector<QueueAction> actions;
    const QueueDecision decision = router.queue->offer(this->now, arrival.entry, actions);
    this->decide(router, arrival.entry, decision);
    this->act(router, actions);
    this->result.mostWaiting = std::max(this->result.mostWaiting, router.queue->waiting());
}

void FleetRun::tickAll()
{
    for (const auto &router : this->routers) {
        Outbox outbox;
        router->reserver.tick(this->now, outbox);
        router->owned.tick(this->now);
        router->owned.serveWaiting(this->now, outbox);
        this->collect(*router);
        std::vector<QueueAction> actions;
        router->queue->tick(this->now, actions);
        this->act(*router, actions);
        this->carry(*router, outbox);
    }
    this->at(this->now + this->settings.tickEvery, [this] { this->tickAll(); });
}

void FleetRun::decide(SimulatedRouter &router, const QueueEntry &entry, const QueueDecision &decision)
{
    if (decision.verdict == QueueVerdict::Dispatch) {
        this->reserve(router, entry);
    } else if (decision.verdict == QueueVerdict::Refuse) {
        ++this->groupOf(*this->byRequest.at(entry.request)).refused;
        --this->open;
    }
}

void FleetRun::reserve(SimulatedRouter &router, const QueueEntry &entry)
{
    PlacementRequest wanted{
        entry.request, pool, hash64(std::to_string(entry.request.low)), PolicyKind::BoundedRendezvous};
    wanted.boundPercent = boundPercent;
    wanted.requestClass = entry.requestClass;
    wanted.organisation = this->settings.tellsOrganisations ? organisationHash(entry.organisation.value) : 0;
    wanted.giveUpAt = entry.dispatchBy;
    Outbox outbox;
    router.reserver.reserve(this->now, wanted, outbox);
    this->carry(router, outbox);
    this->collect(router);
}

void FleetRun::collect(SimulatedRouter &router)
{
    for (const ReserveResult &each : router.reserver.takeResults()) {
        if (each.target.empty()) {
            this->putBack(router, each);
        } else {
            this->granted(router, *this->byRequest.at(each.request));
        }
    }
}

void FleetRun::granted(SimulatedRouter &router, const SurgeArrival &arrival)
{
    std::uniform_int_distribution<std::int64_t> until(this->settings.shortestFirstToken.count,
                                                      this->settings.longestFirstToken.count);
    const Millis firstToken = this->now + Millis{until(this->firstTokens)};
    this->groupOf(arrival).latenciesMs.push_back(static_cast<double>((firstToken - arrival.at).count));
    const RequestId request = arrival.entry.request;
    this->at(this->now + arrival.service, [this, &router, request] { this->finish(router, request); });
    std::vector<QueueAction> actions;
    router.queue->granted(this->now, request, actions);
    this->act(router, actions);
}

void FleetRun::putBack(SimulatedRouter &router, const ReserveResult &refused)
{
    std::vector<QueueAction> actions;
    const Millis pause = std::min(refused.retryAfter, this->settings.longestPause);
    router.queue->putBack(this->now, refused.request, pause, actions);
    this->act(router, actions);
}

void FleetRun::finish(SimulatedRouter &router, const RequestId &request)
{
    --this->open;
    Outbox outbox;
    router.reserver.release(this->now, request, outbox);
    this->carry(router, outbox);
    std::vector<QueueAction> actions;
    router.queue->finish(this->now, request, actions);
    this->act(router, actions);
}

void FleetRun::act(SimulatedRouter &router, std::vector<QueueAction> &actions)
{
    for (const QueueAction &action : actions) {
        this->decide(router, action.entry, action.decision);
    }
}

void FleetRun::carry(SimulatedRouter &from, Outbox &outbox)
{
    const InstanceId sender = from.name;
    for (Outgoing &out : outbox) {
        this->at(this->now + this->settings.messageDelay,
                 [this, sender, sent = std::move(out)] { this->deliver(sender, sent); });
    }
}

void FleetRun::deliver(const InstanceId &from, const Outgoing &out)
{
    SimulatedRouter &router = *this->byName.at(out.to);
    Outbox outbox;
    if (const auto *request = std::get_if<ReserveRequest>(&out.message)) {
        this->result.asked += 1;
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
    }
    router.owned.serveWaiting(this->now, outbox);
    this->carry(router, outbox);
    this->collect(router);
}

GroupResult &FleetRun::groupOf(const SurgeArrival &arrival)
{
    auto &groups = arrival.surging ? this->result.surging : this->result.others;
    return groups[static_cast<std::size_t>(arrival.entry.requestClass)];
}

} // namespace

std::unique_ptr<DispatchQueue> fairQueue()
{
    AdmissionQueueSettings settings;
    settings.slots = queueSlots;
    settings.maxWaiting = queueLength;
    return std::make_unique<AdmissionQueue>(settings);
}

std::unique_ptr<DispatchQueue> naiveQueue()
{
    return std::make_unique<FifoQueue>(queueSlots, queueLength);
}

SurgeSettings scenarioLoad()
{
    SurgeSettings load;
    load.perSecond = 4.5;
    load.urgentPart = 0.2;
    load.backgroundPart = 0.4;
    load.leastServiceMs = 400;
    load.meanExtraServiceMs = 88;
    load.evenService = true;
    load.patience = {Millis{1000}, Millis{1000}, Millis{1000}};
    load.duration = Millis{120000};
    return load;
}

SurgeResult simulateFleetSurge(const FleetSurgeSettings &settings)
{
    return FleetRun(settings).go();
}

} // namespace Sequoiausher
