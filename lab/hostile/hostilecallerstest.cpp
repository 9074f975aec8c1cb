#include "lab/hostile/hostilebed.h"
#include "sequoiausher/transport/http/testloop.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

// Each case guards against callers that end a gateway, or take it away from others, by what they make it hold: it must
// live, keep to the memory and the descriptors of its settings, and answer an ordinary caller.

namespace {

/** Fewer than the connections that callers may hold, and more. */
constexpr std::size_t fewConnections = 4;
constexpr std::size_t manyConnections = 180;
constexpr std::size_t tooManyConnections = 300;
/** As many as a process may have descriptors in all. */
constexpr std::size_t allDescriptors = HostileBed::descriptors;

struct Bed
{
    Bed()
    {
        this->bed.start();
    }

    CrowdPlan crowd(std::size_t connections, const std::string &first, const std::string &repeated = {}) const
    {
        CrowdPlan plan;
        plan.address = this->bed.address(Door::Callers);
        plan.connections = connections;
        plan.first = first;
        plan.repeated = repeated;
        return plan;
    }
    void checkBounds()
    {
        CHECK(this->bed.gateway().isRunning());
        this->checkBoundsAfterEnd();
    }
    void checkBoundsAfterEnd()
    {
        CAPTURE(this->bed.lastLines());
        CAPTURE(this->bed.peak().memoryBytes);
        CAPTURE(this->bed.peak().unreadBytes);
        CAPTURE(this->bed.peak().unsentBytes);
        CHECK(this->bed.peakBytes() <= HostileBed::memoryBytes);
        CHECK(this->bed.peak().descriptors <= HostileBed::descriptors);
    }
    void check()
    {
        CAPTURE(this->bed.lastLines());
        this->checkBounds();
        CHECK(this->bed.wasServedBesideCrowd());
        CHECK(this->bed.wasReadyBesideCrowd());
        CHECK(this->bed.servesOrdinaryCaller());
        CHECK(this->bed.isReady());
    }
    void playAndCheck(const CrowdPlan &plan)
    {
        this->bed.play(plan);
        this->check();
    }

    /** Has nearly all connections send this and no more, and some clients come again and again. */
    void checkLateRequestsBeside(const std::string &part)
    {
        constexpr std::size_t nearlyAll = 195;
        constexpr std::size_t comingAgain = 20;
        constexpr int requests = 10;
        CrowdPlan again = this->crowd(comingAgain, {});
        again.closesAfter = Millis{50};
        this->bed.begin(this->crowd(nearlyAll, part));
        this->bed.begin(again);
        this->bed.observe(Millis{1500});
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            served += this->bed.servesCallerAfter(Millis{100}) ? 1 : 0;
        }
        CHECK(served == requests);
        this->checkBounds();
    }

    /** Made before anything that needs an event loop. */
    QCoreApplication &application = Internal::testApplication();
    HostileBed bed;
};

std::string bodyOf(const std::string &length)
{
    return HostileBed::beginOfHead("POST") + "Content-Length: " + length + "\r\n\r\n";
}

} // namespace

TEST_CASE("few callers that send requests on unknown routes ahead and read nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(fewConnections, {}, HostileBed::unknownRoute()));
}

TEST_CASE("few callers that send requests with unknown keys ahead and read nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(fewConnections, {}, HostileBed::unknownKey()));
}

TEST_CASE("few callers that send served requests ahead and read nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(fewConnections, {}, HostileBed::served()));
}

TEST_CASE("many callers that send requests on unknown routes ahead and read nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(manyConnections, {}, HostileBed::unknownRoute()));
}

TEST_CASE("many callers that send served requests ahead and read little")
{
    Bed bed;
    bed.bed.setAnswerBytes(65536);
    CrowdPlan plan = bed.crowd(manyConnections, {}, HostileBed::served());
    plan.reading = CrowdReading::Little;
    bed.playAndCheck(plan);
}

TEST_CASE("callers that leave large answers unread")
{
    Bed bed;
    bed.bed.setAnswerBytes(std::size_t{16} << 20U);
    bed.playAndCheck(bed.crowd(20, {}, HostileBed::served()));
}

TEST_CASE("many callers that leave answers unread")
{
    Bed bed;
    bed.bed.setAnswerBytes(std::size_t{512} << 10U);
    bed.playAndCheck(bed.crowd(manyConnections, HostileBed::served()));
}

TEST_CASE("callers that leave the last answer of their connection unread, which is closed after it")
{
    Bed bed;
    bed.bed.setAnswerBytes(std::size_t{512} << 10U);
    bed.playAndCheck(bed.crowd(allDescriptors, HostileBed::beginOfHead() + "Connection: close\r\n\r\n"));
}

TEST_CASE("callers that send a part of a head")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(tooManyConnections, HostileBed::beginOfHead()));
}

TEST_CASE("callers that send a head byte by byte")
{
    Bed bed;
    CrowdPlan plan = bed.crowd(tooManyConnections, HostileBed::beginOfHead() + "X-Long: ", "x");
    plan.pause = Millis{50};
    bed.playAndCheck(plan);
}

TEST_CASE("callers that open connections and send nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(tooManyConnections, {}));
}

TEST_CASE("callers that send a body in part")
{
    Bed bed;
    CrowdPlan plan = bed.crowd(manyConnections, bodyOf("4000000"), std::string(65536, 'x'));
    plan.mostBytes = std::size_t{2} << 20U;
    bed.playAndCheck(plan);
}

TEST_CASE("callers that send a chunked body in part")
{
    Bed bed;
    const std::string head = HostileBed::beginOfHead("POST") + "Transfer-Encoding: chunked\r\n\r\n";
    CrowdPlan plan = bed.crowd(manyConnections, head, "8000\r\n" + std::string(0x8000, 'x') + "\r\n");
    plan.mostBytes = std::size_t{2} << 20U;
    bed.playAndCheck(plan);
}

TEST_CASE("callers that send a body in chunks of one byte")
{
    Bed bed;
    const std::string head = HostileBed::beginOfHead("POST") + "Transfer-Encoding: chunked\r\n\r\n";
    CrowdPlan plan = bed.crowd(manyConnections, head, "1\r\nx\r\n");
    plan.mostBytes = std::size_t{4} << 20U;
    bed.playAndCheck(plan);
}

TEST_CASE("callers that go on sending a body that was refused")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(allDescriptors, bodyOf("900000000"), std::string(65536, 'x')));
}

TEST_CASE("callers that send heads of thousands of fields, and no body")
{
    Bed bed;
    std::string fields;
    constexpr std::size_t headBytes = 16000;
    const std::string begin = HostileBed::beginOfHead("POST");
    const std::string end = "Content-Length: 60000\r\n\r\n";
    while (begin.size() + fields.size() + end.size() < headBytes) {
        fields += "a:\r\n";
    }
    bed.playAndCheck(bed.crowd(manyConnections, begin + fields + end));
}

TEST_CASE("callers that send heads of thousands of fields ahead and read nothing")
{
    Bed bed;
    std::string fields;
    constexpr std::size_t headBytes = 16000;
    const std::string begin = HostileBed::beginOfHead();
    while (begin.size() + fields.size() < headBytes) {
        fields += "a:\r\n";
    }
    bed.bed.target().answers = [](FakeRequest & /*unanswered*/) {};
    const CrowdPlan plan = bed.crowd(manyConnections, {}, begin + fields + "\r\n");
    bed.bed.play(plan);
    // The target answers nobody.
    bed.checkBounds();
    CHECK(bed.bed.wasReadyBesideCrowd());
}

TEST_CASE("callers that await permission for a body and send none")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(
        tooManyConnections, HostileBed::beginOfHead("POST") + "Content-Length: 60000\r\nExpect: 100-continue\r\n\r\n"));
}

TEST_CASE("callers that break off while their requests run")
{
    Bed bed;
    std::vector<FakeRequest> held;
    bed.bed.target().answers = [&held](FakeRequest &request) {
        // Every tenth is answered, so that the ordinary caller may be.
        if (held.size() % 10 == 0) {
            request.reply("200 OK", "ok");
        }
        held.push_back(request);
    };
    CrowdPlan plan = bed.crowd(manyConnections, HostileBed::served());
    plan.closesAfter = Millis{60};
    bed.bed.play(plan);
    bed.bed.target().answers = [](FakeRequest &request) { request.reply("200 OK", "ok"); };
    bed.checkBounds();
    CHECK(bed.bed.wasReadyBesideCrowd());
    CHECK(bed.bed.servesOrdinaryCaller());
}

TEST_CASE("requests that come a moment after their connections, beside parts of heads")
{
    Bed bed;
    bed.checkLateRequestsBeside(HostileBed::beginOfHead());
}

TEST_CASE("requests that come a moment after their connections, beside parts of bodies")
{
    Bed bed;
    bed.checkLateRequestsBeside(bodyOf("1000") + "x");
}

TEST_CASE("callers that open and close as fast as they can")
{
    Bed bed;
    CrowdPlan plan = bed.crowd(manyConnections, HostileBed::beginOfHead());
    plan.closesAfter = Millis{1};
    bed.playAndCheck(plan);
}

TEST_CASE("a planned stop beside few callers that read nothing")
{
    Bed bed;
    bed.bed.begin(bed.crowd(fewConnections, {}, HostileBed::unknownRoute()));
    bed.bed.observe(Millis{1500});
    const auto status = bed.bed.gateway().stop(HostileBed::grace);
    bed.checkBoundsAfterEnd();
    CHECK(status == 0);
}

TEST_CASE("a planned stop beside many callers that read nothing")
{
    Bed bed;
    bed.bed.setAnswerBytes(65536);
    bed.bed.begin(bed.crowd(manyConnections, {}, HostileBed::served()));
    bed.bed.observe(Millis{1500});
    const auto status = bed.bed.gateway().stop(HostileBed::grace);
    bed.checkBoundsAfterEnd();
    CHECK(status == 0);
}

TEST_CASE("a lower limit of descriptors beside callers that send a part of a head")
{
    Bed bed;
    constexpr std::size_t fewerDescriptors = 100;
    CrowdPlan plan = bed.crowd(manyConnections, HostileBed::beginOfHead());
    plan.opensAgain = false;
    bed.bed.begin(plan);
    bed.bed.observe(Millis{1000});
    bed.bed.reloadWith(fewerDescriptors);
    bed.bed.observe(Millis{2500});
    CHECK(readProcessUsage(bed.bed.gateway().processId()).descriptors <= fewerDescriptors);
    bed.check();
}
