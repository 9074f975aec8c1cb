#include "lab/fleet/fleet.h"

#include "lab/support/labcall.h"

#include <QtCore/QCoreApplication>
#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

} // namespace

TEST_CASE("a fleet starts, carries keyed calls, loses a router and gets it back, and stops with status 0")
{
    FleetOptions options;
    options.routers = 5;
    options.engines = 1;
    options.services = 2;
    options.relays = true;
    Fleet fleet(options);
    fleet.start();
    LabCaller caller(fleet.routerPort(0));
    CHECK(caller.call("POST", "/orders", "{}", Fleet::headers("fleet-1")).status == 200);
    const LabAnswer chat
        = caller.call("POST", "/v1/chat/completions", Fleet::chatBody("a plate", 4, false), Fleet::headers());
    CHECK(chat.status == 200);
    CHECK(chat.whole);
    REQUIRE(fleet.runs().size() == 2);
    CHECK(fleet.runs().back().idempotencyKey == "fleet-1");
    fleet.router(1).kill();
    CHECK(!fleet.router(1).isRunning());
    fleet.restartRouter(1);
    CHECK(fleet.waitUntilReady(1));
    fleet.setLink(2, Link{LinkMode::Cut, {}});
    fleet.router(2).freeze();
    fleet.router(2).thaw();
    CHECK(fleet.status(2).value("instance").toString() == "r3");
    CHECK(fleet.router(2).stop(Millis{8000}).value_or(-1) == 0);
}
