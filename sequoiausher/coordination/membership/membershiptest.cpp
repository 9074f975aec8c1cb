#include "sequoiausher/coordination/membership/membership.h"
#include "sequoiausher/coordination/spread/testfleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace Sequoiausher;

namespace {

constexpr Millis second{1000};
constexpr LifeNews leaving{1, LifeState::Leaving};

std::size_t routersThatSeeUnreachable(TestFleet &fleet, const InstanceId &instance)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        count += fleet.isAlive(i) && !fleet.membership(i).isReachable(instance) ? 1 : 0;
    }
    return count;
}

std::size_t routersWithoutNews(TestFleet &fleet, const TargetId &target, const LifeNews &life)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto known = fleet.membership(i).target(target);
        const bool has = known.has_value() && known.value() == life;
        count += fleet.isAlive(i) && !has ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("news of a leaving target reaches every router within bounded time")
{
    struct Row
    {
        std::size_t routers;
        int loss;
        Millis limit;
    };
    for (const Row &row : {Row{7, 0, {200}}, Row{7, 20, {4000}}, Row{100, 0, {5000}}, Row{100, 20, {6000}}}) {
        TestFleetSettings settings;
        settings.routers = row.routers;
        settings.lossPercent = row.loss;
        TestFleet fleet(settings);
        fleet.run(second * 5);
        fleet.membership(3).addTargetNews({{"plate-03"}, leaving});
        fleet.run(row.limit);
        CAPTURE(row.routers);
        CAPTURE(row.loss);
        CHECK(routersWithoutNews(fleet, {"plate-03"}, leaving) == 0);
    }
}

TEST_CASE("life states never go backwards, whatever the order of news")
{
    // Guards against giving work to a target that left, after old news that the target is live arrives late through
    // another router.
    const bool holds = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3)));
        Membership membership({{"r1"}, {"dc"}, 1}, 1, {});
        Outbox outbox;
        std::optional<LifeNews> before;
        LifeNews newest;
        for (const auto &step : steps) {
            const LifeNews life{static_cast<Incarnation>(step.first), static_cast<LifeState>(step.second)};
            Gossip gossip;
            gossip.targets.push_back({{"t"}, life});
            gossip.instances.push_back({{"r1"}, {9, LifeState::Gone}});
            membership.receive(Millis{1}, {"r2"}, Probe{0, gossip}, outbox);
            newest = isNewer(life, newest) ? life : newest;
            const auto after = membership.target({"t"});
            RC_ASSERT(after.has_value());
            RC_ASSERT((!before.has_value() || !isNewer(before.value(), after.value())));
            before = after;
        }
        RC_ASSERT((!before.has_value() || before.value() == newest));
        const auto own = membership.instance({"r1"});
        RC_ASSERT(own.value().state == LifeState::Live);
    });
    CHECK(holds);
}

TEST_CASE("a dead router becomes unreachable for every router and stays listed; its return is noticed")
{
    TestFleetSettings settings;
    settings.routers = 30;
    TestFleet fleet(settings);
    fleet.run(second * 5);
    const InstanceId dead{"router-4"};
    fleet.kill(4);
    fleet.run(second * 25);
    CHECK(routersThatSeeUnreachable(fleet, dead) == 29);
    CHECK(fleet.membership(0).listed().size() == 30);
    CHECK(fleet.membership(0).reachable().size() == 29);
    fleet.restart(4);
    fleet.run(second * 15);
    CHECK(routersThatSeeUnreachable(fleet, dead) == 0);
}

TEST_CASE("message loss alone makes no router unreachable for long")
{
    TestFleetSettings settings;
    settings.routers = 30;
    settings.lossPercent = 10;
    TestFleet fleet(settings);
    std::size_t changes = 0;
    fleet.onEvent = [&changes](std::size_t, const MembershipEvent &event) {
        changes += event.kind == MembershipEventKind::ReachabilityChanged ? 1 : 0;
    };
    fleet.run(second * 120);
    CHECK(changes <= 30);
}

TEST_CASE("a router that was paused declares no router unreachable and reports the pause")
{
    // Guards against a router that declares the whole fleet dead and sends it no more work. After a pause of ten
    // seconds every probe that the router had sent looked unanswered, because the time of the pause counted.
    TestFleet fleet({});
    fleet.run(second * 5);
    std::size_t woke = 0;
    std::size_t lost = 0;
    fleet.onEvent = [&](std::size_t router, const MembershipEvent &event) {
        woke += router == 2 && event.kind == MembershipEventKind::WokeLate ? 1 : 0;
        lost += router == 2 && event.kind == MembershipEventKind::ReachabilityChanged ? 1 : 0;
    };
    fleet.pause(2, second * 10);
    fleet.run(second * 20);
    CHECK(woke == 1);
    CHECK(lost == 0);
    CHECK(routersThatSeeUnreachable(fleet, {"router-2"}) == 0);
}

TEST_CASE("the two sides of a partition become unreachable for each other and reachable again when it heals")
{
    TestFleetSettings settings;
    settings.routers = 20;
    TestFleet fleet(settings);
    fleet.run(second * 5);
    for (std::size_t i = 0; i < 10; ++i) {
        fleet.setGroup(i, 1);
    }
    fleet.run(second * 60);
    CHECK(fleet.membership(0).reachable().size() == 10);
    fleet.membership(0).addTargetNews({{"plate-01"}, leaving});
    fleet.run(second);
    CHECK(routersWithoutNews(fleet, {"plate-01"}, leaving) == 10);
    for (std::size_t i = 0; i < 10; ++i) {
        fleet.setGroup(i, 0);
    }
    fleet.run(second * 40);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.membership(i).reachable().size() == 20);
    }
    CHECK(routersWithoutNews(fleet, {"plate-01"}, leaving) == 0);
}

TEST_CASE("a planned stop reaches peers at once; leaving routers answer but get no new work")
{
    TestFleet fleet({});
    fleet.run(second * 3);
    Outbox outbox;
    fleet.membership(1).announceLeaving(outbox);
    REQUIRE(outbox.size() == MembershipSettings{}.urgentFanOut);
    for (const Outgoing &out : outbox) {
        const std::size_t to = static_cast<std::size_t>(std::stoi(out.to.value.substr(7)));
        Outbox next;
        fleet.membership(to).receive(fleet.now(), {"router-1"}, std::get<Probe>(out.message), next);
        CHECK_FALSE(next.empty());
        CHECK(fleet.membership(to).reachable().size() == 7);
        CHECK(fleet.membership(to).live().size() == 6);
    }
    outbox.clear();
    fleet.membership(1).announceGone(outbox);
    CHECK_FALSE(outbox.empty());
    fleet.run(second * 3);
    CHECK(fleet.membership(0).live().size() == 6);
}

TEST_CASE("a starting router gets no work until it has its configuration, and then all routers see it live at once")
{
    // Guards against refusals for about a second after a router returns. If every start counts as live, a restarted
    // router gets work from its first message on, before it has a configuration. If only departures are pushed, some
    // peers learn of the return at once and others with a later probe.
    TestFleetSettings settings;
    settings.routers = 30;
    TestFleet fleet(settings);
    fleet.run(second * 3);
    fleet.kill(1);
    fleet.run(second * 10);
    fleet.restart(1);
    fleet.membership(1).beginJoining();
    fleet.run(second * 3);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CAPTURE(i);
        CHECK(fleet.membership(i).live().size() == 29);
    }
    fleet.membership(1).announceLive();
    fleet.run(Millis{600});
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CAPTURE(i);
        CHECK(fleet.membership(i).live().size() == 30);
    }
}

TEST_CASE("messages stay bounded however much news there is, and sums still arrive")
{
    const MembershipSettings limits;
    TestFleetSettings settings;
    settings.routers = 20;
    TestFleet fleet(settings);
    std::vector<ShardSum> own;
    for (std::uint32_t shard = 0; shard < 200; ++shard) {
        own.push_back({{"plates"}, shard, shard, 3, {}});
    }
    for (int i = 0; i < 1000; ++i) {
        fleet.membership(0).addTargetNews({{"t" + std::to_string(i)}, leaving});
    }
    bool bounded = true;
    fleet.onSent = [&](std::size_t, const PeerMessage &message) {
        if (const auto *probe = std::get_if<Probe>(&message)) {
            bounded = bounded && probe->gossip.sums.size() <= limits.sumsPerMessage;
            bounded = bounded && probe->gossip.targets.size() <= limits.urgentPerMessage;
            bounded = bounded && probe->gossip.instances.size() <= limits.urgentPerMessage;
        }
    };
    for (int step = 0; step < 30; ++step) {
        fleet.membership(0).setSums(fleet.now(), own);
        fleet.run(second);
    }
    CHECK(bounded);
    CHECK(routersWithoutNews(fleet, {"t999"}, leaving) == 0);
    CHECK(fleet.membership(9).sums(fleet.now()).size() > 150);
}

TEST_CASE("a sum that two routers send back and forth never replaces the owner's next sum")
{
    Membership first({{"a"}, {"dc"}, 1}, 1, {});
    Membership other({{"b"}, {"dc"}, 1}, 2, {});
    const std::vector<ListedInstance> list{{{"a"}, {"dc"}}, {{"b"}, {"dc"}}};
    first.setListed(list);
    other.setListed(list);
    Outbox outbox;
    Gossip old;
    old.sums.push_back({{"plates"}, 0, 5, 3, Millis{0}});
    Gossip next;
    next.sums.push_back({{"plates"}, 0, 6, 3, Millis{0}});
    // The routers send each other the old sum fifty times, 20 ms each way, before the next sum arrives.
    first.receive(Millis{0}, {"owner"}, Probe{0, old}, outbox);
    for (int echo = 0; echo < 50; ++echo) {
        Gossip there;
        there.sums = first.sums(Millis{echo * 40});
        other.receive(Millis{echo * 40 + 20}, {"a"}, Probe{0, there}, outbox);
        Gossip back;
        back.sums = other.sums(Millis{echo * 40 + 20});
        first.receive(Millis{echo * 40 + 40}, {"b"}, Probe{0, back}, outbox);
    }
    first.receive(Millis{1500}, {"owner"}, Probe{0, next}, outbox);
    REQUIRE(first.sums(Millis{2300}).size() == 1);
    CHECK(first.sums(Millis{2300})[0].inFlight == 6);
}
