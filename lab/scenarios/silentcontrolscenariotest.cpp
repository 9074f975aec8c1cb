// Connections that go silent between routers and towards the platform, in a fleet of real processes.

#include "lab/fleet/reservedport.h"
#include "lab/relay/relay.h"
#include "lab/scenarios/fleetprobe.h"
#include "lab/support/labcall.h"

#include <QtCore/QCoreApplication>
#include <doctest/doctest.h>

#include <optional>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

constexpr Millis deadline{1500};
/** How much later than its deadline a request may end: ticks of the router, and a busy machine. */
constexpr Millis deadlineSlack{1000};

FleetOptions small(std::size_t routers, std::size_t engines, std::size_t services)
{
    FleetOptions options;
    options.routers = routers;
    options.engines = engines;
    options.services = services;
    options.firstStart = services > 0;
    return options;
}

} // namespace

TEST_CASE("silent connections between routers hold up a keyed request until its deadline at most, and soon no more")
{
    // Symptom to be noticed: keyed requests that hang, or are refused for good. Sequence: every connection between
    // routers goes silent at once, while new ones work. Cause it guards against: links trusted for as long as they
    // are open.
    FleetOptions options = small(3, 0, 2);
    options.relays = true;
    Fleet fleet(options);
    fleet.start();
    for (std::size_t i = 0; i < fleet.routers(); ++i) {
        fleet.setLink(i, Link{LinkMode::SilentOpen, {}});
    }
    const Millis silentAt = Millis::monotonicNow();
    std::optional<Millis> worksAgain;
    std::size_t refused = 0;
    for (int i = 0; i < 60 && !worksAgain; ++i) {
        LabCaller caller(fleet.routerPort(static_cast<std::size_t>(i) % fleet.routers()));
        const Millis before = Millis::monotonicNow();
        const LabAnswer answer = caller.call("POST",
                                             "/orders",
                                             "{}",
                                             headersWithDeadline(deadline, "silent-" + std::to_string(i)),
                                             deadline + deadlineSlack * 2);
        CHECK(answer.whole);
        CHECK(Millis::monotonicNow() - before < deadline + deadlineSlack);
        if (answer.status == 200 || answer.status == 201) {
            worksAgain = Millis::monotonicNow() - silentAt;
        } else {
            ++refused;
            CHECK(answer.status >= 503);
            CHECK_FALSE(answer.headers.value("Retry-After").empty());
        }
    }
    REQUIRE(worksAgain.has_value());
    MESSAGE("keyed requests work again after " << worksAgain->count << " ms, refused before: " << refused);
    CHECK(*worksAgain < Millis{8000});
    // Nothing ran twice, and nothing ran that was refused as not run: each key once at most, the last one once.
    CHECK(fleet.runs().size() <= refused + 1);
}

TEST_CASE("silent connections to the platform's service delay a new rule by seconds only")
{
    // Symptom: a rule published after the routers' connections to the service had gone silent was in force 22 s later.
    // Cause: a watch waited for 20 s, and its connection was trusted for as long.
    const ReservedPort door;
    FleetOptions options = small(3, 0, 0);
    options.platformDoors = {door.number(), door.number(), door.number()};
    options.rules = versionedRules("v1");
    Fleet fleet(options);
    Relay relay({"127.0.0.1", door.number()}, {"127.0.0.1", fleet.platformPort()});
    fleet.start();
    FleetProbe probe(fleet);
    const Revision before = probe.look()[0].revision;
    LabCaller::waitFor([] { return false; }, Millis{300});
    relay.setLink(Link{LinkMode::SilentOpen, {}});
    fleet.publish("rules/fleet", versionedRules("v2"));
    const auto times
        = probe.times([before](const RouterSight &sight) { return sight.revision > before; }, Millis{6000});
    const std::string text = toText(times);
    MESSAGE("in force after, over connections gone silent: " << text);
    REQUIRE(longest(times).has_value());
    CHECK(*longest(times) < Millis{4000});
    CHECK(versionAt(fleet, 0) == "v2");
}
