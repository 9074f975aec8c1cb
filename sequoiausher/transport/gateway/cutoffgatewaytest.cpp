#include "sequoiausher/transport/gateway/cutoffbed.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <vector>

using namespace Sequoiausher;

// Guards against a gateway that refuses all requests because its own paths to the targets are cut, while its peers
// reach them.
TEST_CASE("a gateway without a path to any target serves its callers through its peers")
{
    for (const auto &how : nameTable<PathCut>) {
        CAPTURE(how.name);
        CutOffBed bed;
        bed.startBoth();
        const auto before = bed.callFor(Millis{500});
        CHECK(before.whole == before.sent);
        bed.cut(how.value);
        bed.callFor(CutOffBed::detectionTime);
        const auto during = bed.callFor(Millis{1500});
        CAPTURE(during.sent);
        CHECK(during.sent >= 10);
        CHECK(during.whole * 50 >= during.sent * 49);
    }
}

// Guards against taking a path that resets all connections for targets that ended: the requests that were on it would
// count as crashing their targets, and all gateways would refuse them.
TEST_CASE("requests whose connections a cut path reset are served afterwards, at every gateway")
{
    CutOffBed bed;
    bool isHeld = true;
    std::size_t held = 0;
    for (const auto &[name, target] : bed.targets) {
        target->answers = [&isHeld, &held](FakeRequest &request) {
            if (isHeld) {
                held += 1;
            } else {
                request.reply("200 OK", "well");
            }
        };
    }
    bed.startBoth();
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<FakeCaller>(bed.address()));
        callers.back()->send("POST /desk/same HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: id-" + std::to_string(i)
                             + "\r\nContent-Length: 0\r\n\r\n");
    }
    REQUIRE(GatewayTestbed::waitFor([&held] { return held == 4; }));
    isHeld = false;
    bed.cut(PathCut::Reset);
    CutOffBed::pause(Millis{1500});
    for (const std::string &gateway : {bed.address(), bed.other.address}) {
        CAPTURE(gateway);
        FakeCaller caller(gateway);
        caller.send("POST /desk/same HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: id-9\r\nContent-Length: 0\r\n\r\n");
        GatewayTestbed::waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
        CHECK(caller.reply.status == 200);
    }
}

// Guards against a refusal that takes as long as all ways to all targets together, where nobody reaches any of them.
TEST_CASE("where no gateway reaches a service, its callers are refused at once and told when to come back")
{
    for (const auto &how : nameTable<PathCut>) {
        if (how.value == PathCut::RefuseNew) {
            // Connections from before the cut reach the targets.
            continue;
        }
        CAPTURE(how.name);
        CutOffBed bed;
        bed.startBoth();
        bed.callFor(Millis{200});
        bed.cut(how.value);
        for (const auto &[name, target] : bed.targets) {
            bed.crashTarget(name);
        }
        bed.callFor(CutOffBed::detectionTime);
        const auto during = bed.callFor(Millis{500});
        CHECK(during.whole == 0);
        CHECK(during.longest < Millis{100});
        const CallerReply reply = bed.call("GET", "/look/1");
        CHECK(reply.status == 503);
        const double seconds = std::atof(std::string(reply.head.headers.value("Retry-After")).c_str());
        CHECK(seconds >= 0.5);
        CHECK(seconds <= 1);
    }
}

// Guards against a gateway that goes on over its peers, or refuses, after its paths are back.
TEST_CASE("a gateway uses its own paths again soon after they are back")
{
    for (const auto &how : nameTable<PathCut>) {
        CAPTURE(how.name);
        CutOffBed bed;
        bed.startBoth();
        bed.callFor(Millis{200});
        bed.cut(how.value);
        bed.callFor(Millis{1000});
        bed.heal();
        const auto after = bed.callFor(Millis{1500});
        CHECK(after.whole * 50 >= after.sent * 49);
        const std::size_t before = bed.acceptedByPaths();
        const std::size_t tunnels = bed.tunnelsCarried();
        bed.callFor(Millis{500});
        CHECK(bed.tunnelsCarried() == tunnels);
        CHECK(bed.acceptedByPaths() - before < 20);
    }
}

// Guards against a service that is refused because its paths come and go.
TEST_CASE("a gateway whose paths come and go every second serves nearly all its callers")
{
    CutOffBed bed;
    bed.startBoth();
    CutOffBed::Count all;
    for (int i = 0; i < 3; ++i) {
        bed.cut(PathCut::Reset);
        const auto away = bed.callFor(Millis{1000});
        bed.heal();
        const auto back = bed.callFor(Millis{1000});
        all.sent += away.sent + back.sent;
        all.whole += away.whole + back.whole;
    }
    CHECK(all.whole * 10 >= all.sent * 9);
}

// Guards against taking a target that stands still for a second for a path that is cut.
TEST_CASE("a target that pauses for a second does not send the other targets' requests through peers")
{
    CutOffBed bed;
    bed.startBoth();
    bed.callFor(Millis{200});
    bed.targets.at("desk0")->answers = [](FakeRequest &) {};
    bed.targets.at("llm0")->answers = [](FakeRequest &) {};
    bed.callFor(Millis{1500});
    CHECK(bed.tunnelsCarried() == 0);
}
