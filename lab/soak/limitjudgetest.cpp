#include "lab/soak/limitjudge.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

/** Arrivals 10 ms apart at a service of four targets with 8 requests in all: more than 7 at one is above the limit. */
LimitJudge judgeOf(std::size_t above, std::size_t all, std::uint32_t held = 8, bool isInTouch = true)
{
    LimitJudge judge;
    for (std::size_t i = 0; i < all; ++i) {
        const bool isAbove = i < above;
        judge.arrived({"llm",
                       isAbove ? "t1" : "t2",
                       i % 7,
                       "c" + std::to_string(i),
                       Millis{static_cast<std::int64_t>(i) * 10},
                       isAbove ? held : 2,
                       8,
                       4,
                       isInTouch});
    }
    return judge;
}

/** The windows that break the limit. */
std::vector<LimitWindow> breaches(const LimitJudge &judge, bool isCalm = true)
{
    std::vector<LimitWindow> all = judge.worstWindows([isCalm](Millis, Millis) { return isCalm; });
    std::erase_if(all, [](const LimitWindow &window) { return !window.isBreach; });
    return all;
}

} // namespace

TEST_CASE("twenty requests and more than three in a hundred above twice the mean and three break the limit")
{
    CHECK(breaches(judgeOf(20, 400)).size() == 1);
    CHECK(breaches(judgeOf(19, 400)).empty());
    CHECK(judgeOf(19, 400).worstWindows([](Millis, Millis) { return true; }).front().above.size() == 19);
    CHECK(breaches(judgeOf(20, 400, 7)).empty());
    // 501 arrivals lie in five seconds: 16 would be more than three in a hundred of them.
    CHECK(breaches(judgeOf(20, 700)).size() == 1);
    const LimitWindow breach = breaches(judgeOf(25, 400)).front();
    CHECK(breach.above.size() == 25);
    CHECK(breach.arrivals == 400);
    CHECK(breach.above.front().target == "t1");
}

TEST_CASE("three in a hundred or fewer keep the limit")
{
    LimitJudge judge;
    for (std::size_t i = 0; i < 1000; ++i) {
        const bool isAbove = i % 40 == 0;
        judge.arrived({"llm", "t1", 0, "c", Millis{static_cast<std::int64_t>(i) * 5}, isAbove ? 8U : 2U, 8, 4, true});
    }
    CHECK(breaches(judge).empty());
}

TEST_CASE("requests of gateways that are out of touch, and disturbed windows, do not count")
{
    CHECK(breaches(judgeOf(200, 400, 8, false)).empty());
    CHECK(breaches(judgeOf(200, 400), false).empty());
}

TEST_CASE("the window may begin at any request")
{
    LimitJudge judge;
    for (std::size_t i = 0; i < 1000; ++i) {
        const bool isAbove = i >= 300 && i < 330;
        judge.arrived({"llm", "t1", 0, "c", Millis{static_cast<std::int64_t>(i) * 50}, isAbove ? 8U : 2U, 8, 4, true});
    }
    const auto found = breaches(judge);
    REQUIRE(found.size() == 1);
    CHECK(found.front().from == Millis{15000});
    CHECK(found.front().above.size() == 30);
}
