#include "lab/bench/slopes/processcost.h"
#include "lab/bench/slopes/slopes.h"
#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/admission/ownedshards.h"
#include "sequoiausher/coordination/admission/recentchats.h"
#include "sequoiausher/coordination/admission/reserver.h"
#include "sequoiausher/coordination/membership/membership.h"
#include "sequoiausher/protocol/codec/peercodec.h"

#include <map>
#include <stdexcept>
#include <utility>

namespace Sequoiausher {

namespace {

const PoolId pool{"plate-model"};
constexpr std::size_t targetRouters = 1300;
constexpr std::uint32_t boundPercent = 125;

InstanceId router(std::size_t number)
{
    return InstanceId{"brest-1-router-" + std::to_string(number)};
}

std::vector<InstanceId> routers(std::size_t count)
{
    std::vector<InstanceId> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back(router(i));
    }
    return names;
}

TargetView targetView(std::size_t number)
{
    TargetView view;
    view.description.target = TargetId{"plate-model-" + std::to_string(10000 + number)};
    view.description.address = "10.1.2.3:8000";
    view.description.dataCentre = DataCentreId{"brest-1"};
    view.description.life = {1, LifeState::Live};
    view.hash = hash64(view.description.target.value);
    return view;
}

std::shared_ptr<const PoolView> poolView(std::size_t targets)
{
    auto view = std::make_shared<PoolView>();
    view->pool = pool;
    for (std::size_t i = 0; i < targets; ++i) {
        view->targets.push_back(targetView(i));
    }
    return view;
}

ReserveRequest reserveRequest(std::uint64_t number, std::uint64_t chats)
{
    return {RequestId{1, number},
            pool,
            0,
            hash64(std::to_string(number % chats)),
            PolicyKind::BoundedRendezvous,
            boundPercent,
            {}};
}

std::size_t granted(const Outbox &outbox)
{
    std::size_t count = 0;
    for (const Outgoing &out : outbox) {
        const auto *reply = std::get_if<ReserveReply>(&out.message);
        count += reply != nullptr && reply->verdict == ReserveVerdict::Granted ? 1 : 0;
    }
    return count;
}

/** A settled owner of one shard with that many targets. */
std::unique_ptr<ShardOwner> owner(std::size_t targets)
{
    auto made = std::make_unique<ShardOwner>(ShardId{pool, 0}, OwnerSettings{}, 1, Millis{0});
    std::vector<TargetView> views;
    for (std::size_t i = 0; i < targets; ++i) {
        views.push_back(targetView(i));
    }
    made->setTargets(Millis{0}, views);
    return made;
}

void ownerMemory()
{
    std::vector<SlopeSample> perTarget;
    for (const std::size_t targets : {10U, 100U, 1000U, 10000U}) {
        const double before = heapBytes();
        const auto made = owner(targets);
        perTarget.push_back({static_cast<double>(targets), heapBytes() - before});
    }
    printSlope("owner_memory_per_target", perTarget, "bytes");

    std::vector<SlopeSample> perReservation;
    for (const std::uint64_t reservations : {2000U, 4000U, 8000U, 16000U}) {
        const auto made = owner(16);
        const double before = heapBytes();
        Outbox outbox;
        for (std::uint64_t i = 0; i < reservations; ++i) {
            made->receive(Millis{100000}, router(i % targetRouters), reserveRequest(i, 1), outbox);
        }
        if (granted(outbox) != reservations) {
            throw std::runtime_error("an owner refused a reservation");
        }
        Outbox().swap(outbox);
        perReservation.push_back({static_cast<double>(reservations), heapBytes() - before});
    }
    printSlope("owner_memory_per_reservation", perReservation, "bytes");

    std::vector<SlopeSample> perChat;
    for (const std::uint64_t chats : {1000U, 4000U, 16000U, 32768U}) {
        const double before = heapBytes();
        RecentChats recent(chats);
        for (std::uint64_t i = 0; i < chats; ++i) {
            recent.recordPlacement(hash64(std::to_string(i)), targetView(i % 16).description.target);
        }
        perChat.push_back({static_cast<double>(chats), heapBytes() - before});
    }
    printSlope("owner_memory_per_chat", perChat, "bytes");
}

/** A reservation and its release, with 40 requests held on each target as at the peak. */
void ownerTime()
{
    constexpr std::uint64_t rounds = 20000;
    constexpr std::uint64_t heldOnEach = 40;
    constexpr std::uint64_t chats = 5000;
    std::vector<SlopeSample> perTarget;
    for (const std::size_t targets : {8U, 16U, 64U, 256U, 1000U}) {
        const auto made = owner(targets);
        const Millis now{100000};
        Outbox outbox;
        std::uint64_t number = 0;
        for (; number < heldOnEach * targets; ++number) {
            made->receive(now, router(number % targetRouters), reserveRequest(number, chats), outbox);
        }
        const std::uint64_t filled = number;
        const double before = processorMicros();
        for (; number < filled + rounds; ++number) {
            outbox.clear();
            made->receive(now, router(number % targetRouters), reserveRequest(number, chats), outbox);
            made->receive(
                now, router((number - filled) % targetRouters), Release{RequestId{1, number - filled}, pool, 0});
        }
        perTarget.push_back({static_cast<double>(targets), (processorMicros() - before) / rounds});
    }
    printSlope("owner_time_per_request_by_targets_of_shard", perTarget, "us");
}

/** What every router does when its lists change, and for each request's route. */
void mapCosts()
{
    std::vector<SlopeSample> memory;
    std::vector<SlopeSample> change;
    std::vector<SlopeSample> route;
    for (const std::size_t targets : {10U, 100U, 1000U, 3000U, 10000U}) {
        const auto view = poolView(targets);
        const double heapBefore = heapBytes();
        ShardMap map(ShardSettings{});
        map.setInstances(routers(targetRouters));
        OwnedShards owned(router(0), OwnerSettings{}, 1);
        double before = processorMicros();
        map.setPool(view);
        owned.update(Millis{0}, map);
        const auto size = static_cast<double>(targets);
        change.push_back({size, processorMicros() - before});
        memory.push_back({size, heapBytes() - heapBefore});
        constexpr std::uint64_t routes = 200;
        before = processorMicros();
        for (std::uint64_t i = 0; i < routes; ++i) {
            if (!map.routeOf(pool, hash64(std::to_string(i)))) {
                throw std::runtime_error("a map found no route");
            }
        }
        route.push_back({size, (processorMicros() - before) / routes});
    }
    printSlope("map_memory_per_target", memory, "bytes");
    printSlope("map_change_time_per_target", change, "us");
    printSlope("map_route_time_by_targets_of_pool", route, "us");

    std::vector<SlopeSample> byRouters;
    const auto view = poolView(1111);
    for (const std::size_t count : {7U, 100U, 500U, 1300U}) {
        ShardMap map(ShardSettings{});
        map.setInstances(routers(count));
        map.setPool(view);
        constexpr int routes = 200;
        const double before = processorMicros();
        for (int i = 0; i < routes; ++i) {
            map.routeOf(pool, hash64(std::to_string(i)));
        }
        byRouters.push_back({static_cast<double>(count), (processorMicros() - before) / routes});
    }
    printSlope("map_route_time_by_routers", byRouters, "us");
}

/** The entry's side: what it holds, and the frames of a request. */
void reserverCosts()
{
    ShardMap map(ShardSettings{});
    map.setInstances(routers(targetRouters));
    map.setPool(poolView(100));
    std::vector<SlopeSample> memory;
    std::vector<SlopeSample> report;
    for (const std::uint64_t held : {100U, 300U, 1000U, 3000U}) {
        const double before = heapBytes();
        Reserver reserver(router(0), 1, ReserverSettings{}, 1, map);
        Outbox outbox;
        for (std::uint64_t i = 0; i < held; ++i) {
            reserver.reserve(
                Millis{0},
                PlacementRequest{
                    RequestId{2, i}, pool, hash64(std::to_string(i)), PolicyKind::BoundedRendezvous, boundPercent, {}},
                outbox);
        }
        for (const Outgoing &out : outbox) {
            if (const auto *asked = std::get_if<ReserveRequest>(&out.message)) {
                const ReserveReply reply{asked->request, ReserveVerdict::Granted, targetView(1).description.target, {}};
                reserver.receive(Millis{1}, out.to, reply, outbox);
            }
        }
        reserver.takeResults();
        if (reserver.held() != held) {
            throw std::runtime_error("an entry did not get its reservations");
        }
        Outbox().swap(outbox);
        memory.push_back({static_cast<double>(held), heapBytes() - before});
        const double started = processorMicros();
        reserver.tick(Millis{60000}, outbox);
        report.push_back({static_cast<double>(held), processorMicros() - started});
    }
    printSlope("entry_memory_per_reservation", memory, "bytes");
    printSlope("entry_report_time_per_reservation", report, "us");
}

/** What every router does five times a second with the sums of all shards, as the daemon's node does it. */
void sumsTime()
{
    std::vector<SlopeSample> time;
    for (const std::size_t targets : {160U, 1600U, 4800U, 10000U}) {
        ShardMap map(ShardSettings{});
        map.setInstances(routers(targetRouters));
        map.setPool(poolView(targets));
        OwnedShards owned(router(0), OwnerSettings{}, 1);
        owned.update(Millis{0}, map);
        Membership membership({router(0), DataCentreId{"brest-1"}, 1}, 1, {});
        Probe probe;
        for (const ShardId &shard : map.shards()) {
            probe.gossip.sums.push_back({pool, shard.shard, 600, 16, Millis{500}});
        }
        Outbox outbox;
        membership.receive(Millis{1}, router(1), probe, outbox);
        constexpr int times = 50;
        const double before = processorMicros();
        for (int i = 0; i < times; ++i) {
            const Millis now{2 + i};
            membership.setSums(now, owned.sums(now));
            for (const ShardSum &sum : membership.sums(now)) {
                map.recordSum(sum);
            }
            owned.refreshPoolLoads(map);
            membership.sums(now);
        }
        time.push_back({static_cast<double>(map.shards().size()), (processorMicros() - before) / times});
    }
    printSlope("map_sums_time_per_shard", time, "us");
}

double frame(const PeerMessage &message)
{
    constexpr std::size_t lengthPrefix = 4;
    return static_cast<double>(encodeFrame({&message, 1}).size() + lengthPrefix);
}

void admissionBytes()
{
    const TargetId target = targetView(1).description.target;
    printFigure("admission_bytes_reserve_request", frame(reserveRequest(1, 1)), "bytes");
    printFigure("admission_bytes_reserve_reply",
                frame(ReserveReply{RequestId{1, 2}, ReserveVerdict::Granted, target, {}}),
                "bytes");
    printFigure("admission_bytes_release", frame(Release{RequestId{1, 2}, pool, 3}), "bytes");
    std::vector<SlopeSample> report;
    for (const std::size_t held : {1U, 10U, 100U, 1000U}) {
        const HoldingsReport message{pool, 3, 9, std::vector(held, Holding{RequestId{1, 2}, target})};
        report.push_back({static_cast<double>(held), frame(message)});
    }
    printSlope("admission_bytes_report_per_reservation", report, "bytes");
    printFigure("admission_bytes_digest", frame(HoldingsDigest{pool, 3, 9, 1, 2}), "bytes");
}

/** One round of reports of an entry at the target size: what goes to one owner is one frame. */
void printRound(const std::string &name, const Outbox &outbox)
{
    constexpr double headers = 52 + 4;
    std::map<InstanceId, std::vector<PeerMessage>> byOwner;
    for (const Outgoing &out : outbox) {
        byOwner[out.to].push_back(out.message);
    }
    double bytes = 0;
    for (const auto &entry : byOwner) {
        bytes += static_cast<double>(encodeFrame(entry.second).size()) + headers;
    }
    printFigure(name + "_messages_of_round_1300", static_cast<double>(outbox.size()), "messages");
    printFigure(name + "_frames_of_round_1300", static_cast<double>(byOwner.size()), "frames");
    printFigure(name + "_bytes_of_round_1300", bytes, "bytes");
}

void reportRounds()
{
    constexpr std::uint64_t held = 383;
    ShardMap map(ShardSettings{});
    map.setInstances(routers(targetRouters));
    map.setPool(poolView(10000));
    Reserver reserver(router(0), 1, ReserverSettings{}, 1, map);
    Outbox outbox;
    for (std::uint64_t i = 0; i < held; ++i) {
        const PlacementRequest wanted{
            RequestId{2, i}, pool, hash64(std::to_string(i)), PolicyKind::BoundedRendezvous, boundPercent, {}};
        reserver.reserve(Millis{0}, wanted, outbox);
    }
    for (const Outgoing &out : std::exchange(outbox, {})) {
        const auto &asked = std::get<ReserveRequest>(out.message);
        const TargetId target = map.targetsOf({pool, asked.shard}).front().description.target;
        const ReserveReply reply{asked.request, ReserveVerdict::Granted, target, {}, {}};
        reserver.receive(Millis{1}, out.to, reply, outbox);
    }
    reserver.tick(Millis{5000}, outbox);
    printRound("entry_reports", outbox);
    const Outbox reports = std::exchange(outbox, {});
    for (const Outgoing &out : reports) {
        const auto &message = std::get<HoldingsReport>(out.message);
        reserver.receive(out.to, HoldingsAnswer{pool, message.shard, false}, outbox);
    }
    reserver.tick(Millis{10000}, outbox);
    printRound("entry_digests", outbox);
}

} // namespace

void measureAdmission()
{
    ownerMemory();
    ownerTime();
    mapCosts();
    sumsTime();
    reserverCosts();
    admissionBytes();
    reportRounds();
}

} // namespace Sequoiausher
