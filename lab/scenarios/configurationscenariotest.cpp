// How configuration comes into force on a fleet of real processes, and that it never goes back.

#include "lab/scenarios/fleetprobe.h"
#include "lab/support/labcall.h"

#include <QtCore/QCoreApplication>
#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

constexpr Millis inForceLimit{2000};
const std::string rulesName = "rules/fleet";

} // namespace

TEST_CASE("a published rule is in force on all seven within two seconds, also with the service down after one read")
{
    // Symptom to be noticed: a router that still decides by the old rule. Sequence: a rule is published, one router
    // reads it, the service goes down. Cause it guards against: a router that only the service can tell.
    Fleet fleet(fleetWithoutTargets(7));
    fleet.start();
    FleetProbe probe(fleet);
    Revision revision = highestRevision(probe);
    for (int i = 1; i <= 5; ++i) {
        fleet.publish(rulesName, versionedRules("v" + std::to_string(i)));
        const auto times = probe.times(atRevision(++revision), inForceLimit);
        const std::string text = toText(times);
        MESSAGE("in force after: " << text);
        REQUIRE(longest(times).has_value());
        CHECK(allHaveVersion(fleet, "v" + std::to_string(i)));
    }
    for (int i = 6; i <= 8; ++i) {
        const std::string version = "v" + std::to_string(i);
        fleet.publish(rulesName, versionedRules(version));
        ++revision;
        const Millis limit = Millis::monotonicNow() + inForceLimit;
        while (highestRevision(probe) < revision && Millis::monotonicNow() < limit) {
        }
        fleet.setPlatformMode("down");
        const auto times = probe.times(atRevision(revision), inForceLimit);
        const std::string text = toText(times);
        MESSAGE("in force after, service down: " << text);
        CHECK(longest(times).has_value());
        CHECK(allHaveVersion(fleet, version));
        fleet.setPlatformMode("up");
        LabCaller::waitFor([] { return false; }, Millis{600});
    }
    CHECK(probe.reversions() == 0);
}

TEST_CASE("an old revision never comes back: stale service, restarted service, restarted router, healed partition")
{
    // Symptom to be noticed: a rule that was accepted is undone on some router. Cause it guards against: taking what
    // came last for what is newest.
    FleetOptions options = fleetWithoutTargets(5);
    options.relays = true;
    Fleet fleet(options);
    fleet.start();
    FleetProbe probe(fleet);
    const Revision first = highestRevision(probe);
    fleet.publish(rulesName, versionedRules("v1"));
    REQUIRE(probe.allWithin(atRevision(first + 1), inForceLimit));

    // The service answers with what was, while a router starts anew.
    fleet.setPlatformMode("stale");
    fleet.publish(rulesName, versionedRules("hidden"));
    fleet.router(1).kill();
    fleet.restartRouter(1);
    REQUIRE(fleet.waitUntilReady(1));
    CHECK(versionAt(fleet, 1) == "v1");
    fleet.setPlatformMode("up");
    REQUIRE(probe.allWithin(atRevision(first + 2), Millis{3000}));

    // All are cut off from each other; a rule is published, and the cuts heal.
    for (std::size_t i = 0; i < fleet.routers(); ++i) {
        fleet.setLink(i, Link{LinkMode::Cut, {}});
    }
    fleet.publish(rulesName, versionedRules("v3"));
    const Millis cutUntil = Millis::monotonicNow() + Millis{1500};
    while (Millis::monotonicNow() < cutUntil) {
        probe.look();
    }
    for (std::size_t i = 0; i < fleet.routers(); ++i) {
        fleet.setLink(i, Link{});
    }
    const auto healed = probe.times(atRevision(first + 3), Millis{6000});
    const std::string text = toText(healed);
    MESSAGE("in force after the cut healed: " << text);
    CHECK(longest(healed).has_value());

    // The service goes back to an old state, also for routers that start then and read it before they know any peer.
    // Symptom: such a router was ready with the old rules, for as long as it took to compare itself with another.
    // Cause: having read the whole service was enough to be ready, though ready peers were there to ask.
    fleet.platform().kill();
    fleet.platform().start();
    LabCaller::waitFor([] { return false; }, Millis{300});
    fleet.publish("organisations", organisationsDocument());
    fleet.publish(rulesName, versionedRules("old"));
    fleet.publishInstances();
    for (const std::size_t router : {2, 3}) {
        fleet.router(router).kill();
        fleet.restartRouter(router);
        REQUIRE(fleet.waitUntilReady(router));
        CHECK(versionAt(fleet, router) == "v3");
    }
    const Millis until = Millis::monotonicNow() + Millis{1000};
    while (Millis::monotonicNow() < until) {
        probe.look();
    }
    CHECK(allHaveVersion(fleet, "v3"));
    CHECK(probe.reversions() == 0);
}
