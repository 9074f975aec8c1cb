#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace Sequoiausher;

// These tests guard against a process that is killed with requests in hand because nothing bounds the bytes of all
// requests together: each of them is within the limits for one.

namespace {

constexpr std::uint32_t memoryMb = 64;
/** Half of the process's memory is the budget, and five eighths of that are for large bodies. */
constexpr std::size_t budgetBytes = std::size_t{memoryMb} << 19U;
constexpr std::size_t largeBodiesBytes = budgetBytes / 8 * 5;
constexpr std::size_t bodyBytes = std::size_t{2} << 20U;
constexpr std::size_t manyCallers = 40;
constexpr int statusOk = 200;
constexpr int statusTimeout = 408;
constexpr int statusUnavailable = 503;

struct Bed : GatewayTestbed
{
    Bed() : target(addTarget("t1", "desk"))
    {
        this->settings.memoryMb = memoryMb;
        this->target.isRecording = false;
        this->target.answers = [this](FakeRequest &request) {
            this->arrived += 1;
            if (request.body.size() == bodyBytes) {
                this->largeArrived += 1;
                if (this->isHolding) {
                    this->held.push_back(request);
                    return;
                }
            }
            request.reply("200 OK", this->answer);
        };
        // The time of a route that many slow callers share.
        this->publish("1\nroute /desk/ at-most-once 0 1 15000 desk\nkey garage k1\n");
        this->start();
    }

    std::string large() const
    {
        return this->request("POST", "/desk/1", "Content-Length: " + std::to_string(bodyBytes) + "\r\n")
            + std::string(bodyBytes, 'x');
    }
    std::vector<std::unique_ptr<FakeCaller>> sendLarge(std::size_t count)
    {
        std::vector<std::unique_ptr<FakeCaller>> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(std::make_unique<FakeCaller>(this->address()));
            callers.back()->send(this->large());
        }
        return callers;
    }
    void answerHeld()
    {
        this->isHolding = false;
        for (FakeRequest &request : this->held) {
            request.reply("200 OK", "late");
        }
        this->held.clear();
    }

    FakeServer &target;
    std::string answer = "ok";
    std::vector<FakeRequest> held;
    std::size_t arrived = 0;
    std::size_t largeArrived = 0;
    bool isHolding = false;
};

std::size_t countStatus(const std::vector<std::unique_ptr<FakeCaller>> &callers, int status)
{
    return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [status](const auto &caller) {
        return caller->reply.isWhole && caller->reply.status == status;
    }));
}

} // namespace

TEST_CASE("large bodies beyond the memory for them are refused, and small requests go on")
{
    Bed bed;
    bed.isHolding = true;
    const auto callers = bed.sendLarge(manyCallers);
    constexpr std::size_t mostAtOnce = largeBodiesBytes / bodyBytes;
    CHECK(GatewayTestbed::waitFor([&] { return countStatus(callers, statusUnavailable) == manyCallers - mostAtOnce; }));
    CHECK(bed.largeArrived == mostAtOnce);
    for (const auto &caller : callers) {
        if (caller->reply.status == statusUnavailable) {
            CHECK(caller->reply.head.headers.has("Retry-After"));
            CHECK_FALSE(caller->reply.head.headers.value("X-Id").empty());
        }
    }
    for (int i = 0; i < 20; ++i) {
        CHECK(bed.call("POST", "/desk/1", "Content-Length: 0\r\n").status == statusOk);
    }
    bed.answerHeld();
    CHECK(GatewayTestbed::waitFor([&] { return countStatus(callers, statusOk) == mostAtOnce; }));
}

TEST_CASE("a large body that does not fit waits for others to end, and is served")
{
    Bed bed;
    bed.isHolding = true;
    constexpr std::size_t mostAtOnce = largeBodiesBytes / bodyBytes;
    const auto callers = bed.sendLarge(mostAtOnce + 4);
    REQUIRE(GatewayTestbed::waitFor([&] { return bed.largeArrived == mostAtOnce; }));
    bed.answerHeld();
    CHECK(GatewayTestbed::waitFor([&] { return countStatus(callers, statusOk) == callers.size(); }));
}

TEST_CASE("a body of unknown length is bounded like one that states its length")
{
    Bed bed;
    bed.isHolding = true;
    std::string chunked = bed.request("POST", "/desk/1", "Transfer-Encoding: chunked\r\n");
    constexpr std::size_t chunks = 32;
    for (std::size_t i = 0; i < chunks; ++i) {
        chunked += "10000\r\n" + std::string(bodyBytes / chunks, 'x') + "\r\n";
    }
    chunked += "0\r\n\r\n";
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (std::size_t i = 0; i < manyCallers; ++i) {
        callers.push_back(std::make_unique<FakeCaller>(bed.address()));
        callers.back()->send(chunked);
    }
    GatewayTestbed::waitFor([&] { return bed.largeArrived + countStatus(callers, statusUnavailable) == manyCallers; },
                            Millis{6000});
    CHECK(bed.largeArrived + countStatus(callers, statusUnavailable) == manyCallers);
    CHECK(bed.largeArrived > 0);
    CHECK(bed.largeArrived <= largeBodiesBytes / bodyBytes);
    bed.answerHeld();
}

TEST_CASE("a caller that stops in the middle of a large body gives its memory up once others wait for it")
{
    Bed bed;
    constexpr std::size_t mostAtOnce = largeBodiesBytes / bodyBytes;
    std::vector<std::unique_ptr<FakeCaller>> stalled;
    for (std::size_t i = 0; i < mostAtOnce; ++i) {
        stalled.push_back(std::make_unique<FakeCaller>(bed.address()));
        stalled.back()->send(bed.large().substr(0, bodyBytes / 2));
    }
    // Longer than others wait for their memory.
    GatewayTestbed::waitFor([] { return false; }, Millis{1500});
    CHECK(countStatus(stalled, statusTimeout) == 0);
    const auto callers = bed.sendLarge(4);
    CHECK(GatewayTestbed::waitFor([&] { return countStatus(callers, statusOk) == callers.size(); }));
    CHECK(countStatus(stalled, statusTimeout) > 0);
    CHECK(bed.largeArrived == callers.size());
}

TEST_CASE("answers that their callers do not take hold no more than the memory for them, and arrive whole later")
{
    for (const std::size_t answerBytes : {std::size_t{900} << 10U, std::size_t{8} << 20U}) {
        CAPTURE(answerBytes);
        Bed bed;
        bed.answer = std::string(answerBytes, 'a');
        constexpr int receiveBytes = 16384;
        std::vector<std::unique_ptr<CrossingCaller>> callers;
        for (std::size_t i = 0; i < manyCallers; ++i) {
            callers.push_back(std::make_unique<CrossingCaller>(bed.address(), receiveBytes));
            callers.back()->send(bed.request("POST", "/desk/1", "Content-Length: 0\r\n"));
        }
        std::size_t most = 0;
        GatewayTestbed::waitFor(
            [&] {
                most = std::max(most, bed.node->heldMemory().answers);
                return false;
            },
            Millis{1500});
        CHECK(bed.arrived == manyCallers);
        // Bodies of requests need an eighth at least; the rest is what one answer may hold once memory is short.
        constexpr std::size_t tightBytes = std::size_t{128} << 10U;
        CHECK(most <= budgetBytes / 8 * 7 + manyCallers * tightBytes);
        std::size_t whole = 0;
        for (const auto &caller : callers) {
            const bool isWhole = GatewayTestbed::waitFor([&] { return caller->look(); }, Millis{1500});
            whole += isWhole && caller->body.size() == answerBytes ? 1 : 0;
        }
        CAPTURE(bed.logged.str().substr(bed.logged.str().size() > 2500 ? bed.logged.str().size() - 2500 : 0));
        CAPTURE(most);
        CHECK(whole == manyCallers);
    }
}
