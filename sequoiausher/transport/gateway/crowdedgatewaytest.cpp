#include "sequoiausher/coordination/gateway/connectionmemory.h"
#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr std::uint32_t descriptors = 40;
/** Callers may hold half of the descriptors, and keep half of these. */
constexpr std::size_t maxCallers = 20;
constexpr std::size_t maxKept = 10;

struct CrowdedBed : GatewayTestbed
{
    CrowdedBed()
    {
        this->publish(configuration());
        this->addTarget("t1", "desk").answers = [](FakeRequest &request) { request.reply("200 OK", "well"); };
        this->settings.descriptors = descriptors;
        this->start();
    }

    /** Opens one more connection, which the caller leaves open. */
    FakeCaller &connect()
    {
        this->callers.push_back(std::make_unique<FakeCaller>(this->address()));
        return *this->callers.back();
    }
    FakeCaller &ask(FakeCaller &caller)
    {
        caller.send(this->request("GET", "/look/1"));
        waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
        return caller;
    }

    std::vector<std::unique_ptr<FakeCaller>> callers;
};

} // namespace

// Guards against a gateway that gets most new connections of a region, keeps all of them open and then has no
// descriptor left to reach a target with.
TEST_CASE("with many connections open, a gateway answers and closes, and lets other gateways have the rest unread")
{
    CrowdedBed bed;
    for (std::size_t i = 0; i < maxKept; ++i) {
        const CallerReply &reply = bed.ask(bed.connect()).reply;
        CHECK(reply.status == 200);
        CHECK(reply.head.headers.value("Connection") != "close");
    }
    for (std::size_t i = 0; i < maxCallers; ++i) {
        const CallerReply &reply = bed.ask(bed.connect()).reply;
        CHECK(reply.status == 200);
        CHECK(reply.head.headers.value("Connection") == "close");
    }
    std::vector<FakeCaller *> silent;
    for (std::size_t i = maxKept; i < maxCallers; ++i) {
        silent.push_back(&bed.connect());
    }
    GatewayTestbed::waitFor([] { return false; }, Millis{200});
    // The one that has been silent for longest yields unread, so its caller may ask elsewhere; the others stay.
    CHECK(bed.ask(bed.connect()).reply.status == 200);
    GatewayTestbed::waitFor([&] { return silent.front()->reply.hasEnded; });
    CHECK(silent.front()->reply.hasEnded);
    CHECK(silent.front()->reply.status == 0);
    for (std::size_t i = 1; i < silent.size(); ++i) {
        CHECK_FALSE(silent[i]->reply.hasEnded);
    }
    CHECK(bed.ask(*silent.back()).reply.status == 200);
}

// Guards against closing a connection whose request may be running, which its caller could not send again.
TEST_CASE("while all connections have requests in progress, a further one is closed unread")
{
    GatewayTestbed bed;
    bed.publish(GatewayTestbed::configuration());
    std::vector<FakeRequest> held;
    bed.addTarget("t1", "desk").answers = [&held](FakeRequest &request) { held.push_back(request); };
    // The memory for connections is less than the descriptors allow, so each request has a descriptor for its target.
    bed.settings.descriptors = 400;
    bed.settings.memoryMb = 1;
    const std::size_t most = ConnectionMemory({std::size_t{1} << 20U, 400}).maxConnections();
    bed.start();
    std::vector<std::unique_ptr<FakeCaller>> waiting;
    for (std::size_t i = 0; i < most; ++i) {
        waiting.push_back(std::make_unique<FakeCaller>(bed.address()));
        waiting.back()->send(bed.request("POST", "/desk/1", "Content-Length: 0\r\n"));
    }
    REQUIRE(GatewayTestbed::waitFor([&] { return held.size() == most; }));
    FakeCaller refused(bed.address());
    refused.send(bed.request("GET", "/look/1"));
    GatewayTestbed::waitFor([&refused] { return refused.reply.hasEnded; }, Millis{500});
    CHECK(refused.reply.hasEnded);
    CHECK(refused.reply.status == 0);
    for (const auto &caller : waiting) {
        CHECK_FALSE(caller->reply.hasEnded);
    }
}

TEST_CASE("a gateway keeps connections open again once there are few")
{
    CrowdedBed bed;
    for (std::size_t i = 0; i <= maxKept; ++i) {
        bed.ask(bed.connect());
    }
    bed.callers.clear();
    GatewayTestbed::waitFor([] { return false; }, Millis{200});
    CHECK(bed.ask(bed.connect()).reply.head.headers.value("Connection") != "close");
}
