#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

/** Two plain targets in each of the data centres a and b. */
struct EvacuationBed : GatewayTestbed
{
    EvacuationBed()
    {
        this->publish(configuration());
        for (const char *dataCentre : {"a", "b"}) {
            for (int i = 0; i < 2; ++i) {
                FakeServer &target = this->addTarget(std::string(dataCentre) + std::to_string(i), "desk", dataCentre);
                target.answers = [](FakeRequest &request) { request.reply("200 OK", "ok"); };
            }
        }
    }

    std::size_t seenIn(const std::string &dataCentre) const
    {
        std::size_t sum = 0;
        for (const auto &[name, target] : this->targets) {
            sum += name.starts_with(dataCentre) ? target->seen.size() : 0;
        }
        return sum;
    }

    bool waitForLog(const std::string &text, Millis time = Millis{3000}) const
    {
        return waitFor([this, &text] { return this->logged.str().find(text) != std::string::npos; }, time);
    }

    /** Sends calls. @return how many were served. */
    int call20()
    {
        int served = 0;
        for (int i = 0; i < 20; ++i) {
            served += this->callAnew().status == 200 ? 1 : 0;
        }
        return served;
    }
};

const std::string evacuationOfA = "evacuated data centres changed data_centres=a ";
const std::string evacuationOfNone = "evacuated data centres changed data_centres=\"\" ";

} // namespace

TEST_CASE("an evacuated data centre gets no requests until it is taken back")
{
    EvacuationBed bed;
    bed.start();
    CHECK(bed.call20() == 20);
    CHECK(bed.seenIn("a") > 0);
    bed.evacuate("a");
    REQUIRE(bed.waitForLog(evacuationOfA));
    const std::size_t before = bed.seenIn("a");
    CHECK(bed.call20() == 20);
    CHECK(bed.seenIn("a") == before);
    bed.takeBack("a");
    REQUIRE(bed.waitForLog(evacuationOfNone));
    CHECK(bed.call20() == 20);
    CHECK(bed.seenIn("a") > before);
}

// Guards against a request that reaches an evacuated data centre on its second way: the first target did not run it,
// and the evacuation was requested meanwhile.
TEST_CASE("a request that is sent again goes to no evacuated data centre")
{
    EvacuationBed bed;
    for (const char *name : {"b0", "b1"}) {
        bed.targets[name]->answers
            = [](FakeRequest &request) { request.reply("503 Service Unavailable", "", "X-Not-Run: 1\r\n"); };
    }
    bed.start();
    bed.evacuate("a");
    REQUIRE(bed.waitForLog(evacuationOfA));
    for (int i = 0; i < 10; ++i) {
        CHECK(bed.callAnew().status == 503);
    }
    CHECK(bed.seenIn("a") == 0);
}

TEST_CASE("callers are refused at once, and told when to come back, if all data centres are evacuated")
{
    EvacuationBed bed;
    bed.start();
    bed.evacuate("a");
    bed.evacuate("b");
    REQUIRE(bed.waitForLog("data_centres=\"a, b\" "));
    const Millis before = Millis::monotonicNow();
    const CallerReply reply = bed.callAnew();
    CHECK(reply.status == 503);
    CHECK(reply.head.headers.has("Retry-After"));
    CHECK(Millis::monotonicNow() - before < Millis{200});
    CHECK(bed.logged.str().find("evacuated:4") != std::string::npos);
    bed.takeBack("b");
    REQUIRE(bed.waitForLog("data_centres=a from=store"));
    CHECK(bed.call20() == 20);
    CHECK(bed.seenIn("a") == 0);
}

// Guards against a start that takes the targets for all there is to know: the first request would go to a data centre
// that was evacuated minutes ago.
TEST_CASE("a gateway that starts during an evacuation is ready only once it knows of it")
{
    EvacuationBed bed;
    bed.evacuate("a");
    bed.start();
    CHECK(bed.call20() == 20);
    CHECK(bed.seenIn("a") == 0);
    CHECK(bed.logged.str().find("evacuated:2") != std::string::npos);
}

// Guards against a gateway that the store turns away: it hears of targets from its peers, and must hear of evacuations
// in the same way, of their end too.
TEST_CASE("a gateway that does not reach the store hears of evacuations from its peer")
{
    EvacuationBed one;
    one.start();
    EvacuationBed two;
    two.settings.seeds = {InstanceId{one.settings.peerAddress}};
    two.start();
    REQUIRE(two.waitForLog("peer regained"));
    two.isStoreSilent = true;
    one.evacuate("a");
    REQUIRE(two.waitForLog(evacuationOfA));
    one.takeBack("a");
    REQUIRE(two.waitForLog(evacuationOfNone));
}

// Guards against a watch that lost its history just when an evacuation was requested or taken back.
TEST_CASE("evacuations are read again with the list once the store has forgotten its changes")
{
    EvacuationBed bed;
    bed.start();
    bed.watchAnswersToLose = 1;
    bed.evacuate("a");
    bed.listTarget("a0", "desk");
    REQUIRE(bed.waitForLog(evacuationOfA));
    bed.watchAnswersToLose = 1;
    bed.takeBack("a");
    bed.listTarget("a0", "desk");
    REQUIRE(bed.waitForLog(evacuationOfNone));
}

// Guards against work in a data centre that is being emptied after the store came back from a copy that is older than
// the request: the operator writes it again a moment later.
TEST_CASE("an evacuation outlives a return of the store from a copy without it")
{
    EvacuationBed bed;
    bed.start();
    bed.copyStore();
    bed.evacuate("a");
    REQUIRE(bed.waitForLog(evacuationOfA));
    const std::size_t before = bed.seenIn("a");
    bed.restoreStore();
    REQUIRE(bed.waitForLog("the store came back from a copy"));
    CHECK(bed.call20() == 20);
    CHECK(bed.seenIn("a") == before);
    SUBCASE("requested again")
    {
        bed.evacuate("a");
        CHECK_FALSE(bed.waitForLog(evacuationOfNone, Millis{2800}));
        CHECK(bed.call20() == 20);
        CHECK(bed.seenIn("a") == before);
    }
    SUBCASE("not requested again")
    {
        CHECK(bed.waitForLog(evacuationOfNone, Millis{3500}));
    }
}
