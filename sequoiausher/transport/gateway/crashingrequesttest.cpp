#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <QTimer>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace Sequoiausher;

namespace {

constexpr int targetCount = 10;
constexpr std::size_t crashesAllowed = 3;
/** By then gateways that hear each other have told each other what they know. */
constexpr Millis tellingTime{1500};

/** Targets that end as soon as they run a request whose path says so. */
struct CrashBed : GatewayTestbed
{
    explicit CrashBed(const std::string &service = "desk")
    {
        this->publish(configuration());
        for (int i = 0; i < targetCount; ++i) {
            const std::string name = "t" + std::to_string(i);
            FakeServer &target = this->addTarget(name, service);
            target.answers = [this, name](FakeRequest &request) { this->run(name, request); };
        }
    }

    void run(const std::string &name, FakeRequest &request)
    {
        if (request.head.target.find("crash") == std::string::npos) {
            request.reply("200 OK", "well");
            return;
        }
        if (request.head.target.find("begun") != std::string::npos) {
            request.beginEvents();
            request.event(1);
        }
        this->crashes += 1;
        // Not in the middle of the server's own call.
        QTimer::singleShot(0, [this, name] { this->crashTarget(name); });
    }

    /** One call of the request at the gateway with that address; its status. */
    int callAt(const std::string &gateway, const std::string &path, CallerReply *whole = nullptr)
    {
        FakeCaller caller(gateway);
        caller.send(this->request("POST", path, "Content-Length: 0\r\n"));
        waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
        if (whole != nullptr) {
            *whole = caller.reply;
        }
        return caller.reply.status;
    }

    std::size_t crashes = 0;
};

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
        CHECK(bed.callAt(bed.address(), path, &refused) == 503);
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
    GatewayTestbed::waitFor([] { return false; }, tellingTime);
    bed.callAt(bed.address(), "/desk/crash");
    bed.callAt(other.address, "/desk/crash");
    GatewayTestbed::waitFor([] { return false; }, tellingTime);
    bed.callAt(bed.address(), "/desk/crash");
    GatewayTestbed::waitFor([] { return false; }, tellingTime);
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
    GatewayTestbed::waitFor([] { return false; }, tellingTime);
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
