#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

using namespace Sequoiausher;

namespace {

/** By this time after a cut, callers at the gateway must be served again. */
constexpr Millis detectionTime{3000};

/** Two gateways that know each other, with targets of two services, and paths from the first gateway to all of them. */
struct CutOffBed : GatewayTestbed
{
    CutOffBed()
    {
        this->publish(configuration());
        for (int i = 0; i < 4; ++i) {
            this->addServed("desk" + std::to_string(i), "desk");
            this->addServed("llm" + std::to_string(i), "llm");
        }
    }
    ~CutOffBed()
    {
        this->neighbour.reset();
    }

    void addServed(const std::string &name, const std::string &service)
    {
        FakeServer &target = this->addTarget(name, service);
        target.isRecording = false;
        target.answers = [this](FakeRequest &request) {
            this->runs += 1;
            if (request.head.target.starts_with("/once/") || request.head.target.starts_with("/talk/")) {
                request.beginEvents();
                request.event(1);
                request.event(2);
                request.endEvents();
            } else {
                request.reply("200 OK", "well");
            }
        };
        this->addPath(name);
    }

    void startBoth()
    {
        this->start();
        this->other = this->settingsOfNeighbour();
        this->neighbour = std::make_unique<GatewayNode>(*this->dialect, this->other, *this->log, [] {});
        this->neighbour->start();
        REQUIRE(waitFor([this] { return this->neighbour->isReady(); }));
        // Until each has a report of the other.
        pause(Millis{1000});
    }

    static void pause(Millis time)
    {
        waitFor([] { return false; }, time);
    }

    void cut(PathCut how)
    {
        for (const auto &[name, path] : this->paths) {
            path->cut(how);
        }
    }
    void heal()
    {
        for (const auto &[name, path] : this->paths) {
            path->heal();
        }
    }

    struct Count
    {
        int sent = 0;
        int whole = 0;
        Millis longest;
    };
    /** Calls of all kinds, one after the other, at the first gateway. */
    Count callFor(Millis span)
    {
        Count count;
        const Millis end = Millis::monotonicNow() + span;
        constexpr auto kinds = std::to_array({"/desk/1", "/look/1", "/once/1", "/talk/1"});
        while (Millis::monotonicNow() < end) {
            const char *path = kinds[static_cast<std::size_t>(count.sent) % kinds.size()];
            const Millis begun = Millis::monotonicNow();
            FakeCaller caller(this->address());
            caller.send(std::string("POST ") + path + " HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: id-"
                        + std::to_string(this->calls++) + "\r\nContent-Length: 0\r\n\r\n");
            waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
            count.sent += 1;
            count.whole += caller.reply.status == 200 && caller.reply.isWhole ? 1 : 0;
            count.longest = std::max(count.longest, Millis::monotonicNow() - begun);
            pause(Millis{10});
        }
        return count;
    }

    int calls = 0;
    int runs = 0;
    GatewaySettings other;
    std::unique_ptr<GatewayNode> neighbour;
};

} // namespace

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
        bed.callFor(detectionTime);
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
