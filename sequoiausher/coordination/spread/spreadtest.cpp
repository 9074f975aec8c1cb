#include "sequoiausher/coordination/spread/testfleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace Sequoiausher;

namespace {

constexpr Millis second{1000};

std::size_t routersThatDiffer(TestFleet &fleet)
{
    std::size_t differing = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const bool equal = fleet.spread(i).documents().digest() == fleet.serviceDigest();
        differing += fleet.isAlive(i) && !equal ? 1 : 0;
    }
    return differing;
}

std::size_t unready(TestFleet &fleet)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        count += fleet.isAlive(i) && !fleet.spread(i).isReady(fleet.now()) ? 1 : 0;
    }
    return count;
}

std::vector<std::size_t> readers(TestFleet &fleet)
{
    std::vector<std::size_t> numbers;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isAlive(i) && fleet.spread(i).isReader(fleet.now())) {
            numbers.push_back(i);
        }
    }
    return numbers;
}

/** Causes one random fault or change. */
void disturb(TestFleet &fleet, std::mt19937_64 &random)
{
    const std::size_t router = random() % fleet.size();
    const std::string name = "rules/organisation/" + std::to_string(random() % 5);
    switch (random() % 10) {
    case 0:
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.setGroup(i, static_cast<int>(random() % 2));
        }
        break;
    case 1:
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.setGroup(i, 0);
        }
        break;
    case 2:
        fleet.pause(router, second * static_cast<std::int64_t>(1 + random() % 10));
        break;
    case 3:
        fleet.restart(router);
        break;
    case 4:
        fleet.setServiceDown(random() % 2 == 0);
        break;
    case 5:
        fleet.setServiceStale(router, random() % 5);
        break;
    default:
        fleet.publish(name, std::to_string(random()), random() % 5 == 0);
    }
}

TestFleetSettings faulty(std::uint64_t seed, int loss)
{
    TestFleetSettings settings;
    settings.routers = 12;
    settings.dataCentres = 3;
    settings.seed = seed;
    settings.lossPercent = loss;
    settings.repeatPercent = 10;
    settings.jitter = Millis{400};
    return settings;
}

TestFleetCounts runFaults(std::uint64_t seed, int loss, std::size_t &differing, std::size_t &notReady)
{
    TestFleet fleet(faulty(seed, loss));
    std::mt19937_64 random(seed);
    fleet.publish("rules/fleet", "first");
    fleet.run(second * 5);
    for (int step = 0; step < 60; ++step) {
        disturb(fleet, random);
        fleet.run(second);
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.setGroup(i, 0);
        fleet.setServiceStale(i, 0);
    }
    fleet.setServiceDown(false);
    fleet.run(second * 60);
    differing = routersThatDiffer(fleet);
    notReady = unready(fleet);
    return fleet.counts();
}

} // namespace

TEST_CASE("after any faults every router holds the newest documents, and none ever returned to an older revision")
{
    // Guards against reverting an accepted rule on some routers. Messages are lost, repeated and reordered, routers
    // pause, restart and are cut off, and readers see old states of the service. A router that kept whatever it
    // received last would accept a late copy as new; naiveReversions counts this, which proves that these runs provoke
    // the failure.
    std::uint64_t naiveReversions = 0;
    const bool holds = rc::check([&naiveReversions] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        const int loss = *rc::gen::inRange(0, 30);
        std::size_t differing = 0;
        std::size_t notReady = 0;
        const TestFleetCounts counts = runFaults(seed, loss, differing, notReady);
        naiveReversions += counts.naiveReversions;
        RC_ASSERT(counts.reversions == 0U);
        RC_ASSERT(differing == 0U);
        RC_ASSERT(notReady == 0U);
    });
    CHECK(holds);
    CHECK(naiveReversions > 0);
}

TEST_CASE("a change reaches every router of a healthy fleet by push alone")
{
    for (const std::size_t routers : {std::size_t{7}, std::size_t{100}}) {
        TestFleetSettings settings;
        settings.routers = routers;
        TestFleet fleet(settings);
        fleet.publish("rules/fleet", "first");
        fleet.run(second * 15);
        REQUIRE(unready(fleet) == 0);
        std::size_t copies = 0;
        fleet.onSent = [&copies](std::size_t, const PeerMessage &message) {
            copies += std::holds_alternative<DocumentPush>(message) ? 1 : 0;
        };
        fleet.publish("rules/fleet", "second");
        fleet.run(Millis{300});
        CHECK(routersThatDiffer(fleet) == 0);
        CHECK(copies < routers + 3 * settings.spread.fanOut);
    }
}

TEST_CASE("only a few routers read the service, and the next one takes over from a failed reader")
{
    // Guards against configuration that stops changing because all readers are on failed machines that the platform's
    // list still holds. Choosing readers from the list alone causes this; the reachable routers must count as well.
    TestFleetSettings settings;
    settings.routers = 12;
    TestFleet fleet(settings);
    fleet.publish("a", "1");
    fleet.run(second * 10);
    const auto before = readers(fleet);
    REQUIRE(before.size() == 3);
    for (const std::size_t reader : before) {
        fleet.kill(reader);
    }
    fleet.run(second * 30);
    CHECK(readers(fleet).size() == 3);
    fleet.publish("a", "2");
    fleet.run(second * 2);
    CHECK(routersThatDiffer(fleet) == 0);
}

TEST_CASE("while the service is down a document of one router still reaches all, and more routers try to read")
{
    TestFleetSettings settings;
    settings.routers = 50;
    TestFleet fleet(settings);
    fleet.publish("a", "1");
    fleet.run(second * 10);
    fleet.setServiceDown(true);
    fleet.run(second * 40);
    CHECK(readers(fleet).size() > 3);
    fleet.addServiceDocument(7, {"a", fleet.publish("a", "2"), "2", false});
    fleet.run(Millis{500});
    CHECK(routersThatDiffer(fleet) == 0);
    fleet.run(second * 200);
    CHECK(readers(fleet).size() <= settings.spread.maxReaders);
    CHECK(unready(fleet) == 0);
}

TEST_CASE("a restarted router is not ready until it has all documents from peers, also while the service is down")
{
    TestFleet fleet({});
    fleet.publish("a", "1");
    fleet.run(second * 10);
    fleet.setServiceDown(true);
    fleet.restart(2);
    CHECK_FALSE(fleet.spread(2).isReady(fleet.now()));
    fleet.run(second * 3);
    CHECK(fleet.spread(2).isReady(fleet.now()));
    CHECK(fleet.spread(2).documents().digest() == fleet.serviceDigest());
}

TEST_CASE("a router that was paused is not ready until a peer confirmed its documents")
{
    // Guards against a router that applies a rule that was withdrawn a minute ago, during a pause of the router. Only
    // its own clock shows a process after a pause that its state is old.
    TestFleet fleet({});
    fleet.publish("a", "1");
    fleet.run(second * 10);
    bool actedOnOld = false;
    fleet.onEvent = [&](std::size_t router, const MembershipEvent &event) {
        if (event.kind == MembershipEventKind::WokeLate && fleet.spread(router).isReady(fleet.now())) {
            actedOnOld = true;
        }
    };
    fleet.pause(1, second * 20);
    fleet.run(second * 5);
    fleet.publish("a", "2");
    fleet.run(second * 20);
    CHECK_FALSE(actedOnOld);
    CHECK(fleet.spread(1).isReady(fleet.now()));
    CHECK(routersThatDiffer(fleet) == 0);
}

TEST_CASE("large sets are sent in bounded messages")
{
    TestFleetSettings settings;
    TestFleet fleet(settings);
    for (int i = 0; i < 200; ++i) {
        fleet.publish("rules/organisation/" + std::to_string(i), std::string(2000, 'x'));
    }
    std::size_t largest = 0;
    fleet.onSent = [&largest](std::size_t, const PeerMessage &message) {
        if (const auto *push = std::get_if<DocumentPush>(&message)) {
            std::size_t bytes = 0;
            for (const Document &document : push->documents) {
                bytes += document.name.size() + document.body.size();
            }
            largest = std::max(largest, bytes);
        }
    };
    fleet.run(second * 15);
    CHECK(routersThatDiffer(fleet) == 0);
    CHECK(largest <= settings.spread.pushBytes);
    CHECK(largest > settings.spread.pushBytes / 2);
}

TEST_CASE("a router without peers reads nothing at first, the instance list after a random delay, and everything last")
{
    SpreadSettings settings;
    Spread spread({"r1"}, 3, settings);
    Outbox outbox;
    spread.setFleet(Millis{0}, {{}, {{"r1"}}});
    CHECK(spread.readPlan(Millis{0}) == ReadPlan::Nothing);
    CHECK(spread.readPlan(settings.maxReadDelay) == ReadPlan::Instances);
    CHECK(spread.readPlan(settings.maxReadDelay + settings.isolationTimeout) == ReadPlan::Watch);
    spread.setFleet(settings.maxReadDelay, {{{"r1"}}, {{"r1"}}});
    CHECK(spread.readPlan(settings.maxReadDelay) == ReadPlan::Watch);
    spread.addServiceDocuments(settings.maxReadDelay, {}, true, outbox);
    CHECK(spread.isReady(settings.maxReadDelay));
}
