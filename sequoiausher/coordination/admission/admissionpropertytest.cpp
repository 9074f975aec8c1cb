// Runs a small fleet of routers under random schedules: messages are reordered, repeated and lost, routers crash,
// owners change, lists disagree. The counts are compared with the true ones.

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/admission/ownedshards.h"
#include "sequoiausher/coordination/admission/reserver.h"
#include "sequoiausher/coordination/policies/loadbound.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

using namespace Sequoiausher;

namespace {

const PoolId pool{"plates"};
constexpr std::uint32_t percent = 125;
constexpr int routerCount = 5;
constexpr int targetCount = 6;
// Prefix 0 stands for chats without a prefix.
constexpr std::uint64_t prefixCount = 4;

/** Each schedule is run with each variant. */
struct Variant
{
    PolicyKind policy;
    bool sendsDigests;
};

constexpr std::array variants{Variant{PolicyKind::BoundedRendezvous, false},
                              Variant{PolicyKind::BoundedRendezvous, true},
                              Variant{PolicyKind::PrefixRendezvous, false},
                              Variant{PolicyKind::PrefixRendezvous, true}};

struct Router
{
    Router(const InstanceId &name, const OwnerSettings &ownerSettings, const ReserverSettings &settings)
        : owned(name, ownerSettings, 1)
        , reserver(name, 1, settings, 1, map)
    {
    }

    ShardMap map{ShardSettings{}};
    OwnedShards owned;
    Reserver reserver;
    std::map<RequestId, TargetId> running;
};

struct InFlightMessage
{
    InstanceId from;
    Outgoing out;
};

class Fleet
{
public:
    /** @param places the capacity of each target; if set, reservations that find no place wait at the owner. */
    Fleet(std::uint64_t seed, bool isLossy, const Variant &variant, std::optional<std::uint32_t> places = {})
        : random(seed)
        , lossy(isLossy)
        , policy(variant.policy)
        , canWait(places.has_value())
    {
        ReserverSettings settings;
        settings.sendsDigests = variant.sendsDigests;
        OwnerSettings ownerSettings;
        ownerSettings.maxWaitTime = this->canWait ? Millis{100} : Millis{0};
        auto made = std::make_shared<PoolView>();
        made->pool = pool;
        for (int i = 0; i < targetCount; ++i) {
            const TargetId target{"t" + std::to_string(i)};
            made->targets.push_back({{target, "", DataCentreId{}, {1, LifeState::Live}, places}, hash64(target.value)});
        }
        this->view = made;
        for (int i = 0; i < routerCount; ++i) {
            const InstanceId name{"r" + std::to_string(i)};
            this->live.push_back(name);
            this->routers.emplace(name, std::make_unique<Router>(name, ownerSettings, settings));
        }
        for (const InstanceId &name : this->live) {
            this->updateLists(name);
        }
        this->settle();
    }

    std::size_t randomBelow(std::size_t below)
    {
        return this->random() % below;
    }

    InstanceId anyRouter()
    {
        return this->live[this->randomBelow(this->live.size())];
    }

    void send(const InstanceId &from, Outbox &outbox)
    {
        for (Outgoing &out : outbox) {
            this->messagesInFlight.push_back(InFlightMessage{from, std::move(out)});
        }
    }

    void updateLists(const InstanceId &name)
    {
        Router &router = *this->routers.at(name);
        Outbox outbox;
        router.map.setInstances(this->live);
        router.map.setPool(this->view);
        router.owned.update(this->now, router.map);
        for (const InstanceId &lost : this->dead) {
            router.owned.dropInstance(lost);
        }
        router.reserver.handleMapChange(this->now, outbox);
        this->collect(name);
        this->send(name, outbox);
        this->knownRouterCount[name] = this->live.size();
    }

    void collect(const InstanceId &name)
    {
        Router &router = *this->routers.at(name);
        for (const ReserveResult &result : router.reserver.takeResults()) {
            if (!result.target.empty()) {
                router.running[result.request] = result.target;
            }
        }
    }

    void reserve()
    {
        const InstanceId name = this->anyRouter();
        Outbox outbox;
        PlacementRequest placementRequest{
            RequestId{1, ++this->lastRequest}, pool, this->random(), this->policy, percent, {}};
        placementRequest.prefixHash = placementRequest.chatHash % prefixCount;
        placementRequest.requestClass = static_cast<RequestClass>(this->lastRequest % requestClassCount);
        placementRequest.organisation = static_cast<std::uint16_t>(1 + this->lastRequest % 5 / 2);
        this->routers.at(name)->reserver.reserve(this->now, placementRequest, outbox);
        this->collect(name);
        this->send(name, outbox);
    }

    void release()
    {
        Router &router = *this->routers.at(this->anyRouter());
        if (!router.running.empty()) {
            this->releaseOne(router, router.running.begin()->first);
        }
    }

    /** The last request is cancelled, whether or not it has a target yet. */
    void cancelLast()
    {
        for (const auto &entry : this->routers) {
            this->releaseOne(*entry.second, RequestId{1, this->lastRequest});
        }
    }

    void releaseOne(Router &router, const RequestId request)
    {
        Outbox outbox;
        router.reserver.release(this->now, request, outbox);
        router.running.erase(request);
        for (const auto &entry : this->routers) {
            if (entry.second.get() == &router) {
                this->send(entry.first, outbox);
            }
        }
    }

    void deliver(std::size_t index, bool keepCopy)
    {
        const InFlightMessage message = this->messagesInFlight[index];
        this->digests += std::holds_alternative<HoldingsDigest>(message.out.message) ? 1 : 0;
        if (!keepCopy) {
            this->messagesInFlight.erase(this->messagesInFlight.begin() + static_cast<std::ptrdiff_t>(index));
        }
        const auto receiver = this->routers.find(message.out.to);
        if (receiver == this->routers.end()) {
            return;
        }
        Router &router = *receiver->second;
        Outbox outbox;
        if (const auto *request = std::get_if<ReserveRequest>(&message.out.message)) {
            this->deliverRequest(receiver->first, router, message.from, *request, outbox);
        } else if (const auto *release = std::get_if<Release>(&message.out.message)) {
            router.owned.receive(this->now, message.from, *release);
        } else if (const auto *report = std::get_if<HoldingsReport>(&message.out.message)) {
            router.owned.receive(this->now, message.from, *report, outbox);
        } else if (const auto *digest = std::get_if<HoldingsDigest>(&message.out.message)) {
            router.owned.receive(this->now, message.from, *digest, outbox);
        } else if (const auto *answer = std::get_if<HoldingsAnswer>(&message.out.message)) {
            router.reserver.receive(message.from, *answer, outbox);
        } else if (const auto *reply = std::get_if<ReserveReply>(&message.out.message)) {
            router.reserver.receive(this->now, message.from, *reply, outbox);
            this->collect(receiver->first);
        }
        this->serveWaiting(router, outbox);
        this->send(receiver->first, outbox);
    }

    /** Serves waiting reservations after each message and tick; checks the bound at each grant of a settled owner. */
    void serveWaiting(Router &router, Outbox &outbox)
    {
        const ShardOwner *shard = router.owned.find({pool, 0});
        const std::uint32_t before = shard == nullptr ? 0 : shard->sum(this->now).inFlight;
        Outbox served;
        router.owned.serveWaiting(this->now, served);
        if (shard != nullptr && shard->isSettled(this->now)) {
            this->admissionsOfWaiting += this->checkGrants(*shard, before, served);
        }
        outbox.insert(outbox.end(), served.begin(), served.end());
    }

    /** Checks the bound at each grant of a settled owner, by the owner's counts and by the true counts. */
    void deliverRequest(const InstanceId &owner,
                        Router &router,
                        const InstanceId &from,
                        const ReserveRequest &request,
                        Outbox &outbox)
    {
        const ShardOwner *shard = router.owned.find({pool, 0});
        const std::uint32_t before = shard == nullptr ? 0 : shard->sum(this->now).inFlight;
        const std::size_t heldBefore = shard == nullptr ? 0 : shard->holdings();
        router.owned.receive(this->now, from, request, outbox);
        if (shard == nullptr || !shard->isSettled(this->now) || shard->holdings() == heldBefore) {
            return;
        }
        const TargetId &target = std::get<ReserveReply>(outbox.back().message).target;
        this->checkGrants(*shard, before, outbox);
        this->admissions += 1;
        if (!this->lossy && this->listsAgree()) {
            RC_ASSERT(shard->counted(target) >= this->trueCount(target));
        }
        (void)owner;
    }

    /** Checks each grant against the bound at that moment. @return the number of grants. */
    static std::uint64_t checkGrants(const ShardOwner &shard, std::uint32_t before, const Outbox &outbox)
    {
        std::vector<TargetId> granted;
        for (const Outgoing &out : outbox) {
            const auto *reply = std::get_if<ReserveReply>(&out.message);
            if (reply != nullptr && reply->verdict == ReserveVerdict::Granted) {
                granted.push_back(reply->target);
            }
        }
        for (std::size_t i = 0; i < granted.size(); ++i) {
            const auto since = granted.begin() + static_cast<std::ptrdiff_t>(i) + 1;
            const auto later = static_cast<std::uint32_t>(std::count(since, granted.end(), granted[i]));
            RC_ASSERT(shard.counted(granted[i]) - later <= loadBound(percent, before + i, targetCount));
        }
        return granted.size();
    }

    bool listsAgree() const
    {
        return std::all_of(this->live.begin(), this->live.end(), [this](const InstanceId &name) {
            return this->knownRouterCount.at(name) == this->live.size();
        });
    }

    std::uint32_t trueCount(const TargetId &target) const
    {
        std::uint32_t count = 0;
        for (const auto &entry : this->routers) {
            for (const auto &held : entry.second->running) {
                count += held.second == target ? 1 : 0;
            }
        }
        return count;
    }

    void deliverAll()
    {
        while (!this->messagesInFlight.empty()) {
            this->deliver(this->randomBelow(this->messagesInFlight.size()), false);
        }
    }

    void advance(Millis span)
    {
        this->now += span;
        for (const InstanceId &name : this->live) {
            Outbox outbox;
            Router &router = *this->routers.at(name);
            router.reserver.tick(this->now, outbox);
            router.owned.tick(this->now);
            this->serveWaiting(router, outbox);
            this->collect(name);
            this->send(name, outbox);
        }
    }

    /** Delivers all messages: none is in flight for longer than a second, as on a real network with timeouts. */
    void settle()
    {
        this->deliverAll();
        // Compared before a report could correct the counts: they must be right after each message.
        if (!this->lossy && this->listsAgree() && this->owner().isSettled(this->now)) {
            this->compareWithTruth();
        }
        this->advance(Millis{1000});
        this->deliverAll();
    }

    void crash()
    {
        if (this->live.size() > 2) {
            const InstanceId name = this->anyRouter();
            std::erase(this->live, name);
            this->dead.push_back(name);
            this->routers.erase(name);
            // Messages of the crashed router are lost with its connections; in lossy runs, some still arrive.
            if (!this->lossy) {
                std::erase_if(this->messagesInFlight,
                              [&name](const InFlightMessage &message) { return message.from == name; });
            }
        }
    }

    void step(int kind)
    {
        const std::size_t count = this->messagesInFlight.size();
        if (kind < 30) {
            this->reserve();
        } else if (kind < 45) {
            this->release();
        } else if (kind < 50) {
            this->cancelLast();
        } else if (kind < 80) {
            if (count > 0) {
                this->deliver(this->randomBelow(count), false);
            }
        } else if (kind < 85) {
            if (count > 0) {
                this->deliver(this->randomBelow(count), true);
            }
        } else if (kind < 90) {
            if (this->lossy && count > 0) {
                this->messagesInFlight.erase(this->messagesInFlight.begin()
                                             + static_cast<std::ptrdiff_t>(this->randomBelow(count)));
            }
        } else if (kind < 94) {
            this->settle();
        } else if (kind < 98) {
            this->updateLists(this->anyRouter());
        } else if (kind == 98) {
            this->crash();
        } else {
            this->advance(Millis{100});
        }
    }

    void updateAllLists()
    {
        for (const InstanceId &name : std::vector<InstanceId>(this->live)) {
            this->updateLists(name);
        }
    }

    const ShardOwner &owner() const
    {
        const InstanceId name = this->routers.begin()->second->map.ownerOf({pool, 0});
        return *this->routers.at(name)->owned.find({pool, 0});
    }

    void compareWithTruth() const
    {
        for (const TargetView &target : this->view->targets) {
            const TargetId &name = target.description.target;
            RC_ASSERT(this->owner().counted(name) == this->trueCount(name));
        }
    }

    void releaseAll()
    {
        for (const auto &entry : this->routers) {
            while (!entry.second->running.empty()) {
                this->releaseOne(*entry.second, entry.second->running.begin()->first);
            }
        }
    }

    std::shared_ptr<const PoolView> view;
    std::vector<InstanceId> live;
    std::vector<InstanceId> dead;
    std::map<InstanceId, std::unique_ptr<Router>> routers;
    std::map<InstanceId, std::size_t> knownRouterCount;
    std::vector<InFlightMessage> messagesInFlight;
    Millis now{1};
    std::uint64_t lastRequest = 0;
    std::uint64_t admissions = 0;
    std::uint64_t digests = 0;
    std::uint64_t admissionsOfWaiting = 0;
    std::mt19937_64 random;
    bool lossy;
    PolicyKind policy;
    bool canWait;
};

std::uint64_t run(Fleet &fleet)
{
    const auto kinds = *rc::gen::resize(400, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100)));
    for (const int kind : kinds) {
        fleet.step(kind);
    }
    fleet.updateAllLists();
    for (int i = 0; i < 20; ++i) {
        fleet.settle();
    }
    fleet.compareWithTruth();
    fleet.releaseAll();
    for (int i = 0; i < 60; ++i) {
        fleet.settle();
        if (fleet.canWait) {
            // Some waiting reservations were granted only now.
            fleet.releaseAll();
        }
    }
    for (const auto &entry : fleet.routers) {
        RC_ASSERT(entry.second->reserver.held() == std::size_t{0});
    }
    RC_ASSERT(fleet.owner().holdings() == std::size_t{0});
    return fleet.admissions;
}

/** How far the fullest target exceeds the bound if each router chooses by its own counts alone. */
std::uint64_t excessWithOwnCountsOnly(PolicyKind kind)
{
    std::mt19937_64 random(3);
    std::vector<std::unique_ptr<Policy>> policies;
    std::vector<PoolLoad> own(7);
    std::vector<std::uint32_t> truth(12);
    for (PoolLoad &load : own) {
        policies.push_back(makePolicy(kind, 1));
        load.counted = truth.size();
        for (std::size_t i = 0; i < truth.size(); ++i) {
            const std::string name = "t" + std::to_string(i);
            load.targets.push_back(TargetLoad{TargetId{name}, hash64(name), 0, 0, true});
        }
    }
    struct Running
    {
        std::size_t router;
        std::size_t target;
    };
    std::vector<Running> running;
    std::uint64_t excess = 0;
    for (int i = 0; i < 5000; ++i) {
        const std::size_t router = random() % own.size();
        const std::size_t target = policies[router]->choose(own[router], PolicyRequest{random(), percent}).value();
        const std::uint64_t bound = loadBound(percent, running.size(), truth.size());
        truth[target] += 1;
        own[router].targets[target].inFlight += 1;
        own[router].total += 1;
        running.push_back({router, target});
        excess = std::max(excess, truth[target] > bound ? truth[target] - bound : 0);
        if (running.size() > 120) {
            const std::size_t ended = random() % running.size();
            truth[running[ended].target] -= 1;
            own[running[ended].router].targets[running[ended].target].inFlight -= 1;
            own[running[ended].router].total -= 1;
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(ended));
        }
    }
    return excess;
}

} // namespace

TEST_CASE("without loss, counts equal the true ones and the bound holds at each admission")
{
    for (const Variant &variant : variants) {
        CAPTURE(nameOf(variant.policy));
        CAPTURE(variant.sendsDigests);
        CHECK(rc::check([&variant](std::uint64_t seed) {
            Fleet fleet(seed, false, variant);
            RC_CLASSIFY(run(fleet) > 10, "more than ten admissions");
            RC_ASSERT((fleet.digests > 0) == variant.sendsDigests);
        }));
    }
}

TEST_CASE("with loss, the owner keeps its bound and nothing leaks")
{
    for (const Variant &variant : variants) {
        CAPTURE(nameOf(variant.policy));
        CAPTURE(variant.sendsDigests);
        CHECK(rc::check([&variant](std::uint64_t seed) {
            Fleet fleet(seed, true, variant);
            RC_CLASSIFY(run(fleet) > 10, "more than ten admissions");
            RC_CLASSIFY(fleet.digests > 0, "with digests");
        }));
    }
}

TEST_CASE("with few places, so that reservations wait at the owner, counts and bound hold in the same way")
{
    for (const bool isLossy : {false, true}) {
        for (const Variant &variant : variants) {
            CAPTURE(isLossy);
            CAPTURE(nameOf(variant.policy));
            CAPTURE(variant.sendsDigests);
            std::uint64_t waited = 0;
            CHECK(rc::check([&](std::uint64_t seed) {
                Fleet fleet(seed, isLossy, variant, 2);
                run(fleet);
                waited += fleet.admissionsOfWaiting;
            }));
            CHECK(waited > 100);
        }
    }
}

TEST_CASE("routers that choose by their own counts alone break the bound under the same load")
{
    for (const PolicyKind kind : {PolicyKind::RoundRobin,
                                  PolicyKind::Rendezvous,
                                  PolicyKind::BoundedRendezvous,
                                  PolicyKind::PrefixRendezvous}) {
        CAPTURE(nameOf(kind));
        CHECK(excessWithOwnCountsOnly(kind) > 0);
    }
}
