#include "sequoiausher/transport/gateway/crashbed.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr std::size_t crashesAllowed = 3;

} // namespace

// Guards against a request that takes down every target that runs it, and is sent on each time that it comes again.
TEST_CASE("a request under which three targets ended reaches no further one")
{
    for (const char *path : {"/desk/crash", "/look/crash"}) {
        CAPTURE(path);
        CrashBed bed;
        bed.start();
        for (int i = 0; i < 4; ++i) {
            bed.callAt(bed.address(), path);
        }
        CallerReply refused;
        CHECK(bed.callAt(bed.address(), path, {}, &refused) == 503);
        CHECK(refused.head.headers.has("Retry-After"));
        CHECK(bed.crashes == crashesAllowed);
        CHECK(bed.callAt(bed.address(), "/desk/sound") == 200);
    }
}

// Guards against the same where the answer had begun: a stream that breaks off in its middle.
TEST_CASE("a stream under which three targets ended reaches no further one")
{
    CrashBed bed("llm");
    bed.start();
    for (int i = 0; i < 5; ++i) {
        bed.callAt(bed.address(), "/once/crash-begun");
    }
    CHECK(bed.callAt(bed.address(), "/once/crash-begun") == 503);
    CHECK(bed.crashes == crashesAllowed);
}

// Guards against each gateway letting such a request crash three targets of its own.
TEST_CASE("gateways count the targets that ended under a request together")
{
    CrashBed bed;
    bed.start();
    const GatewaySettings other = bed.settingsOfNeighbour();
    GatewayNode neighbour(*bed.dialect, other, *bed.log, [] {});
    neighbour.start();
    REQUIRE(GatewayTestbed::waitFor([&neighbour] { return neighbour.isReady(); }));
    GatewayTestbed::waitFor([] { return false; }, CrashBed::exchangeTime);
    bed.callAt(bed.address(), "/desk/crash");
    bed.callAt(other.address, "/desk/crash");
    GatewayTestbed::waitFor([] { return false; }, CrashBed::exchangeTime);
    bed.callAt(bed.address(), "/desk/crash");
    GatewayTestbed::waitFor([] { return false; }, CrashBed::exchangeTime);
    for (int i = 0; i < 3; ++i) {
        CHECK(bed.callAt(bed.address(), "/desk/crash") == 503);
        CHECK(bed.callAt(other.address, "/desk/crash") == 503);
    }
    CHECK(bed.crashes == crashesAllowed);
    CHECK(bed.callAt(other.address, "/desk/sound") == 200);
}

// Guards against a gateway that starts anew and lets such a request through once more.
TEST_CASE("a gateway that starts later hears which requests crash targets")
{
    CrashBed bed;
    bed.start();
    for (int i = 0; i < 4; ++i) {
        bed.callAt(bed.address(), "/desk/crash");
    }
    const GatewaySettings other = bed.settingsOfNeighbour();
    GatewayNode neighbour(*bed.dialect, other, *bed.log, [] {});
    neighbour.start();
    REQUIRE(GatewayTestbed::waitFor([&neighbour] { return neighbour.isReady(); }));
    GatewayTestbed::waitFor([] { return false; }, CrashBed::exchangeTime);
    CHECK(bed.callAt(other.address, "/desk/crash") == 503);
    CHECK(bed.crashes == crashesAllowed);
}

// Guards against taking a target that breaks its answers off for one that the request has ended.
TEST_CASE("a request whose answers are cut by targets that live on is sent on as before")
{
    CrashBed bed;
    for (const auto &[name, target] : bed.targets) {
        target->answers = [](FakeRequest &request) { request.reset(); };
    }
    bed.start();
    for (int i = 0; i < 8; ++i) {
        CHECK(bed.callAt(bed.address(), "/desk/cut") == 502);
    }
}
