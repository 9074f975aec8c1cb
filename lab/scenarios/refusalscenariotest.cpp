// Refused configuration, and how often the service is read, on a fleet of real processes.

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

std::int64_t totalReads(const Fleet &fleet)
{
    LabCaller caller(fleet.platformPort());
    return caller.call("GET", "/lab/reads").json().value("total").toInteger();
}

/** Reads of the service in three seconds of a fleet in which one rule is published each second. */
std::int64_t readsOf(std::size_t routers)
{
    Fleet fleet(fleetWithoutTargets(routers));
    fleet.start();
    FleetProbe probe(fleet);
    // The readers' first whole lists are over.
    LabCaller::waitFor([] { return false; }, Millis{1500});
    const std::int64_t before = totalReads(fleet);
    for (int i = 0; i < 3; ++i) {
        fleet.publish(rulesName, versionedRules("n" + std::to_string(i)));
        LabCaller::waitFor([] { return false; }, Millis{1000});
    }
    CHECK(allHaveVersion(fleet, "n2"));
    return totalReads(fleet) - before;
}

} // namespace

TEST_CASE("a bad rule set is refused with its reason, the last good one stays, also on routers that start then")
{
    // Symptom: a replaced instance had no configuration while a refused one was the newest, and after a restart of the
    // whole fleet there was none anywhere. Cause: the table holds the newest revision alone, and sets were judged
    // whole.
    Fleet fleet(fleetWithoutTargets(3));
    fleet.start();
    FleetProbe probe(fleet);
    const auto isRefused
        = [](const RouterSight &sight) { return sight.refusal.find("rules/fleet:2") != std::string::npos; };
    const Revision first = highestRevision(probe);
    fleet.publish(rulesName, versionedRules("good"));
    REQUIRE(probe.allWithin(atRevision(first + 1), inForceLimit));
    fleet.publish(rulesName, "[rule broken]\nthen.pol = nowhere\n");
    CHECK(probe.allWithin(isRefused, inForceLimit));
    CHECK(allHaveVersion(fleet, "good"));
    // Another document goes on beside it.
    const Revision before = highestRevision(probe);
    fleet.publish("rules/organisation/other", "[rule r]\nthen.refuse = 403\n");
    CHECK(probe.allWithin(atRevision(before + 2), inForceLimit));

    fleet.router(1).kill();
    fleet.restartRouter(1);
    REQUIRE(fleet.waitUntilReady(1));
    CHECK(allHaveVersion(fleet, "good"));
    CHECK(probe.allWithin(isRefused, inForceLimit));

    // Nobody remembers a good one after this: the stand-in refuses honestly, and says when to come back.
    for (std::size_t i = 0; i < fleet.routers(); ++i) {
        fleet.router(i).kill();
    }
    for (std::size_t i = 0; i < fleet.routers(); ++i) {
        fleet.restartRouter(i);
    }
    for (std::size_t i = 0; i < fleet.routers(); ++i) {
        REQUIRE(fleet.waitUntilReady(i));
        LabCaller caller(fleet.routerPort(i));
        const LabAnswer answer = caller.call("GET", "/version", {}, Fleet::headers());
        CHECK(answer.status == 503);
        CHECK(answer.headers.value("X-Ran") == "no");
        CHECK(answer.headers.value("Retry-After") == "5");
    }
    CHECK(probe.allWithin(isRefused, inForceLimit));
    const Revision mended = highestRevision(probe);
    fleet.publish(rulesName, versionedRules("mended"));
    CHECK(probe.allWithin(atRevision(mended + 1), inForceLimit));
    CHECK(allHaveVersion(fleet, "mended"));
    CHECK(probe.look()[0].refusal.empty());
}

TEST_CASE("reads of the service do not grow with the number of routers")
{
    const std::int64_t three = readsOf(3);
    const std::int64_t seven = readsOf(7);
    MESSAGE("reads in three seconds with three routers: " << three << ", with seven: " << seven);
    // Three readers each way; a call may fall on either side of the span's ends.
    CHECK(seven <= three + 6);
    CHECK(seven <= 45);
}
