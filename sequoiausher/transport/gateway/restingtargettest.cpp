#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

constexpr Millis rest{1500};

/** Targets that turn all requests away and ask for rest, beside others. */
struct RestBed : GatewayTestbed
{
    explicit RestBed(int restingCount, int wellCount)
    {
        this->publish(configuration());
        for (int i = 0; i < restingCount + wellCount; ++i) {
            const std::string name = "t" + std::to_string(i);
            FakeServer &target = this->addTarget(name, "desk");
            if (i >= restingCount) {
                this->well.push_back(&target);
                target.answers = [](FakeRequest &request) { request.reply("200 OK", "well"); };
                continue;
            }
            this->resting.push_back(&target);
            target.answers = [this, name](FakeRequest &request) {
                const Millis now = Millis::monotonicNow();
                const auto asked = this->askedUntil.find(name);
                this->early += asked != this->askedUntil.end() && now < asked->second ? 1 : 0;
                this->askedUntil[name] = now + rest;
                request.reply(
                    "503 Service Unavailable", "", "X-Not-Run: 1\r\nX-Rest: " + std::to_string(rest.count) + "\r\n");
            };
        }
    }

    /** Calls every few milliseconds; how many were served. */
    int callFor(Millis span)
    {
        int served = 0;
        const Millis end = Millis::monotonicNow() + span;
        while (Millis::monotonicNow() < end) {
            served += this->callAnew().status == 200 ? 1 : 0;
            waitFor([] { return false; }, Millis{15});
        }
        return served;
    }

    std::size_t restingSeen() const
    {
        std::size_t sum = 0;
        for (const FakeServer *target : this->resting) {
            sum += target->seen.size();
        }
        return sum;
    }

    std::vector<FakeServer *> resting;
    std::vector<FakeServer *> well;
    std::map<std::string, Millis> askedUntil;
    /** Requests that came before the end of the rest that their target had asked for. */
    int early = 0;
};

} // namespace

// Guards against asking again, a moment later, a target that wants no request for seconds.
TEST_CASE("a target that asked for rest gets nothing until it is over, and is asked again then")
{
    RestBed bed(2, 2);
    bed.start();
    CHECK(bed.callFor(rest - Millis{200}) > 10);
    CHECK(bed.restingSeen() == 2);
    bed.callFor(Millis{1000});
    CHECK(bed.restingSeen() > 2);
    CHECK(bed.early == 0);
}

// Guards against treating targets that rest like failing ones, all of which are used where most of them fail.
TEST_CASE("targets that rest are left alone also where most of a service's targets do")
{
    RestBed bed(5, 1);
    bed.start();
    CHECK(bed.callFor(Millis{1200}) > 10);
    CHECK(bed.early == 0);
}

TEST_CASE("where all targets rest, callers are refused at once and told when the first is back")
{
    RestBed bed(2, 0);
    bed.start();
    for (int i = 0; i < 4; ++i) {
        bed.callAnew();
    }
    CHECK(bed.restingSeen() == 2);
    const CallerReply reply = bed.callAnew();
    CHECK(reply.status == 503);
    const double seconds = std::atof(std::string(reply.head.headers.value("Retry-After")).c_str());
    CHECK(seconds > 1.0);
    CHECK(seconds < 2.5);
    CHECK(bed.early == 0);
}

TEST_CASE("of several rests that a target asked for the longest holds, and a good answer ends none")
{
    GatewayTestbed bed;
    FakeServer &target = bed.addTarget("t1", "desk");
    bed.publish(GatewayTestbed::configuration());
    std::vector<FakeRequest> waiting;
    target.answers = [&waiting](FakeRequest &request) { waiting.push_back(request); };
    bed.start();
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(std::make_unique<FakeCaller>(bed.address()));
        callers.back()->send("POST /desk/1 HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: id-" + std::to_string(i)
                             + "\r\nContent-Length: 0\r\n\r\n");
    }
    REQUIRE(GatewayTestbed::waitFor([&waiting] { return waiting.size() == 3; }));
    waiting[0].reply("503 Service Unavailable", "", "X-Not-Run: 1\r\nX-Rest: 900\r\n");
    waiting[1].reply("503 Service Unavailable", "", "X-Not-Run: 1\r\nX-Rest: 100\r\n");
    waiting[2].reply("200 OK", "well");
    REQUIRE(GatewayTestbed::waitFor([&callers] {
        return std::all_of(callers.begin(), callers.end(), [](const auto &one) { return one->reply.isWhole; });
    }));
    GatewayTestbed::waitFor([] { return false; }, Millis{300});
    CHECK(bed.call("GET", "/look/1").status == 503);
    CHECK(waiting.size() == 3);
}
