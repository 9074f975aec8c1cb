#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr int callCount = 12;

/** Two targets, the first of which says in all its answers that it leaves. */
struct LeavingBed : GatewayTestbed
{
    LeavingBed() : leaving(this->addTarget("t1", "desk")), staying(this->addTarget("t2", "desk"))
    {
        this->publish(configuration());
        this->leaving.answers = [](FakeRequest &request) { request.reply("200 OK", "well", "X-Leaves: 1\r\n"); };
        this->staying.answers = [](FakeRequest &request) { request.reply("200 OK", "well"); };
    }

    /** Calls until the leaving target has answered one. */
    void callUntilTold()
    {
        for (int i = 0; i < callCount && this->leaving.seen.empty(); ++i) {
            CHECK(this->callAnew().status == 200);
        }
        REQUIRE(this->leaving.seen.size() == 1);
    }

    void checkLeftAlone()
    {
        for (int i = 0; i < callCount; ++i) {
            CHECK(this->callAnew().status == 200);
        }
        CHECK(this->leaving.seen.size() == 1);
    }

    FakeServer &leaving;
    FakeServer &staying;
};

} // namespace

// Guards against sending on to a target that said that it leaves, for as long as the store is away.
TEST_CASE("a target whose answer says that it leaves gets nothing more, whatever the store says")
{
    LeavingBed bed;
    bed.start();
    SUBCASE("nothing")
    {
        bed.isStoreSilent = true;
        bed.callUntilTold();
    }
    SUBCASE("that it is there, in a change")
    {
        bed.callUntilTold();
        bed.rewriteTarget("t1");
        GatewayTestbed::waitFor([] { return false; }, Millis{300});
    }
    SUBCASE("that it is there, in a list")
    {
        bed.callUntilTold();
        bed.publish(GatewayTestbed::configuration(2));
        GatewayTestbed::waitFor([] { return false; }, Millis{300});
    }
    SUBCASE("that it is gone, and there again")
    {
        bed.callUntilTold();
        bed.removeTarget("t1");
        GatewayTestbed::waitFor([] { return false; }, Millis{300});
        bed.listTarget("t1", "desk");
        GatewayTestbed::waitFor([] { return false; }, Millis{300});
    }
    bed.checkLeftAlone();
}

TEST_CASE("where all targets of a service said that they leave, requests are refused at once")
{
    LeavingBed bed;
    bed.staying.answers = bed.leaving.answers;
    bed.start();
    for (int i = 0; i < callCount && (bed.leaving.seen.empty() || bed.staying.seen.empty()); ++i) {
        bed.callAnew();
    }
    const CallerReply reply = bed.callAnew();
    CHECK(reply.status == 503);
    CHECK(reply.head.headers.has("Retry-After"));
    CHECK(bed.leaving.seen.size() + bed.staying.seen.size() == 2);
}

// Guards against taking the word of whoever has the address now for one of the target that was meant.
TEST_CASE("another target at the address says nothing of the one that was meant")
{
    GatewayTestbed bed;
    FakeServer &target = bed.addTarget("t1", "desk");
    bed.publish(GatewayTestbed::configuration());
    target.answers = [](FakeRequest &request) { request.reply("421 Misdirected Request", "", "X-Leaves: 1\r\n"); };
    bed.start();
    bed.call("GET", "/look/1");
    target.answers = [](FakeRequest &request) { request.reply("200 OK", "well"); };
    CHECK(bed.call("GET", "/look/1").status == 200);
}
