#include "lab/model/promptreadingmodel.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

constexpr std::uint64_t seeds = 2;
/** The stated limit: of the requests of five seconds, so many reach targets that hold over twice the mean and three. */
constexpr double mostAboveLimit = 0.03;

/** Seven seconds of a fleet of 83 gateways before 90 engines. */
PromptReadingDay largeFleet()
{
    PromptReadingDay day;
    day.gateways = 83;
    day.perSecond = 950;
    day.tokensPerMs = 56.6;
    day.length = Millis{7000};
    return day;
}

/** The worst of the seeds. */
double worstFiveSeconds(PromptReadingDay day)
{
    double worst = 0;
    double late = 0;
    std::size_t refused = 0;
    for (day.seed = 1; day.seed <= seeds; ++day.seed) {
        const PromptReadingResult result = playPromptReading(day, {QueueOrder::ShortestFirst, true});
        worst = std::max(worst, result.worstFiveSeconds);
        late += result.shareLate() / seeds;
        refused += result.refused;
    }
    MESSAGE("above the limit " << worst << ", late " << late << ", refused " << refused);
    return worst;
}

} // namespace

// Guards against engines that answer and are crowded by an owner which takes lost answers of the others for load.
TEST_CASE("an owner keeps the limit of the engines while most of them lose answers without a sign")
{
    for (const double share : {0.45, 0.9}) {
        for (const double lostShare : {0.05, 0.3, 0.9}) {
            CAPTURE(share);
            CAPTURE(lostShare);
            PromptReadingDay day = largeFleet();
            day.losing = {Millis{2000}, Millis{6500}, share};
            day.lostShare = lostShare;
            CHECK(worstFiveSeconds(day) <= mostAboveLimit);
        }
    }
}

// Guards against engines that an owner crowds because it does not count the requests of gateways that decide alone.
TEST_CASE("an owner keeps the limit of the engines while a part of the gateways decides alone")
{
    for (const double share : {0.1, 0.5, 0.9}) {
        CAPTURE(share);
        PromptReadingDay day = largeFleet();
        day.hotShare = 0.28;
        day.alone = {Millis{1000}, Millis{6500}, share};
        CHECK(worstFiveSeconds(day) <= mostAboveLimit);
    }
}

// Guards against engines that two owners crowd because neither counts what the other one grants.
TEST_CASE("two owners of a service keep the limit of its engines")
{
    for (const double share : {0.1, 0.5}) {
        CAPTURE(share);
        PromptReadingDay day = largeFleet();
        day.hotShare = 0.28;
        day.divided = {Millis{2000}, Millis{6500}, share};
        CHECK(worstFiveSeconds(day) <= mostAboveLimit);
    }
}

// Guards against engines that a new owner crowds because it does not count what the one before granted.
TEST_CASE("a new owner keeps the limit of the engines")
{
    PromptReadingDay day = largeFleet();
    day.hotShare = 0.28;
    day.ownerEndsAt = 3000;
    day.ownerBackAt = 3100;
    CHECK(worstFiveSeconds(day) <= mostAboveLimit);
}

// Guards against a bound of the owner that is a multiple of another mean than that of all engines.
TEST_CASE("an owner keeps the limit of the engines while some are unusable, leave or join")
{
    PromptReadingDay day = largeFleet();
    day.hotShare = 0.28;
    SUBCASE("unusable")
    {
        day.unusable = {Millis{2000}, Millis{5500}, 0.4};
    }
    SUBCASE("leaving")
    {
        day.leaving = {Millis{2000}, Millis{5500}, 0.4};
    }
    SUBCASE("joining")
    {
        day.joining = {Millis{2000}, Millis{5500}, 0.4};
    }
    CHECK(worstFiveSeconds(day) <= mostAboveLimit);
}
