#include "sequoiausher/transport/gateway/cutoffbed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace Sequoiausher;

namespace {

/** By then a path that is whole again has delivered what it held. */
constexpr Millis deliveryTime{500};
/** How much later than the caller's deadline a target's may end. */
constexpr Millis deadlineTolerance{50};

/** One gateway, and a path to its target that can be cut. */
struct PathBed : GatewayTestbed
{
    PathBed()
    {
        this->publish(configuration());
        FakeServer &target = this->addTarget("t0", "desk");
        target.answers = [this](FakeRequest &request) {
            this->arrived.insert(request.header("X-Id"));
            request.reply("200 OK", "well");
        };
        this->path = &this->addPath("t0");
        this->start();
    }

    std::string requestOf(const std::string &id, Millis timeLeft) const
    {
        return "POST /desk/1 HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: " + id
            + "\r\nX-Left: " + std::to_string(timeLeft.count) + "\r\nContent-Length: 0\r\n\r\n";
    }

    FakePath *path = nullptr;
    std::set<std::string> arrived;
};

} // namespace

// Guards against a request that its gateway has given up, and that runs when a silent path delivers what it held.
TEST_CASE("a request that was given up while its path was silent does not reach its target afterwards")
{
    PathBed bed;
    FakeCaller first(bed.address());
    first.send(bed.requestOf("first", Millis{1000}));
    REQUIRE(GatewayTestbed::waitFor([&first] { return first.reply.isWhole; }));
    bed.path->cut(PathCut::Silent);
    SUBCASE("at its deadline")
    {
        FakeCaller caller(bed.address());
        caller.send(bed.requestOf("abandoned", Millis{600}));
        CHECK(GatewayTestbed::waitFor([&caller] { return caller.reply.isWhole; }));
    }
    SUBCASE("by its caller")
    {
        FakeCaller caller(bed.address());
        caller.send(bed.requestOf("abandoned", Millis{2000}));
        GatewayTestbed::waitFor([] { return false; }, Millis{100});
        caller.close();
        GatewayTestbed::waitFor([] { return false; }, Millis{100});
    }
    SUBCASE("by the removal of its target")
    {
        FakeCaller caller(bed.address());
        caller.send(bed.requestOf("abandoned", Millis{2000}));
        GatewayTestbed::waitFor([] { return false; }, Millis{100});
        bed.removeTarget("t0");
        CHECK(GatewayTestbed::waitFor([&caller] { return caller.reply.isWhole; }));
    }
    bed.path->heal();
    GatewayTestbed::waitFor([] { return false; }, deliveryTime);
    CHECK(bed.arrived == std::set<std::string>{"first"});
}

// Guards against a target that is told the time that was left when its connection was dialled, not when it opened.
TEST_CASE("a target is told the time that is left when its connection opens")
{
    CutOffBed bed;
    Millis arrivedAt;
    Millis passedOn;
    for (const auto &[name, target] : bed.targets) {
        target->answers = [&arrivedAt, &passedOn](FakeRequest &request) {
            arrivedAt = Millis::monotonicNow();
            passedOn = Millis{std::stoll(request.header("X-Left"))};
            request.reply("200 OK", "well");
        };
    }
    bed.startBoth();
    bed.cut(PathCut::Silent);
    constexpr Millis timeLeft{2500};
    FakeCaller caller(bed.address());
    const Millis sentAt = Millis::monotonicNow();
    caller.send("POST /once/1 HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: late\r\nX-Left: "
                + std::to_string(timeLeft.count) + "\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(GatewayTestbed::waitFor([&caller] { return caller.reply.isWhole; }));
    REQUIRE(caller.reply.status == 200);
    const Millis spent = arrivedAt - sentAt;
    CAPTURE(spent.count);
    CHECK(passedOn <= timeLeft - spent + deadlineTolerance);
}
