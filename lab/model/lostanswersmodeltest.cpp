#include "lab/model/lostanswersmodel.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

struct Played
{
    double servedShare = 0;
    double worst = 0;
};

/** Several seeds of a day: the mean share of the callers that are served, and the worst five seconds of all. */
Played play(double perSecond, const LostAnswersPolicy &policy)
{
    constexpr std::uint64_t seeds = 5;
    Played played;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LostAnswersDay day;
        day.crowdedPerSecond = perSecond;
        day.seed = seed;
        const LostAnswersResult result = playLostAnswers(day, policy);
        played.servedShare += static_cast<double>(result.served) / static_cast<double>(result.asked) / seeds;
        played.worst = std::max(played.worst, result.worstFiveSeconds);
    }
    return played;
}

LostAnswersPolicy counting(double weight)
{
    LostAnswersPolicy policy;
    policy.overdue.weight = weight;
    return policy;
}

} // namespace

TEST_CASE("a day is the same for the same seed")
{
    const LostAnswersResult one = playLostAnswers(LostAnswersDay(), LostAnswersPolicy());
    const LostAnswersResult same = playLostAnswers(LostAnswersDay(), LostAnswersPolicy());
    CHECK(one.asked == same.asked);
    CHECK(one.served == same.served);
    CHECK(one.worstFiveSeconds == same.worstFiveSeconds);
    CHECK(one.served <= one.asked);
}

// Guards against targets that answer and are crowded, because requests whose answers were lost without a sign count at
// the other targets until their callers leave.
TEST_CASE("overdue requests that count in part crowd the targets that answer less, and cost no caller an answer")
{
    for (const double perSecond : {300.0, 450.0, 600.0}) {
        CAPTURE(perSecond);
        const Played shipped = play(perSecond, LostAnswersPolicy());
        const Played inFull = play(perSecond, counting(1));
        CHECK(shipped.worst < inFull.worst * 0.8);
        CHECK(shipped.servedShare > inFull.servedShare - 0.01);
    }
}

// Alternatives to the shipped way: passing over the targets that lose answers serves more callers, but crowds the
// others far beyond the limit; shedding by answer times changes neither.
TEST_CASE("passing over the targets that lose answers serves more callers and crowds the others")
{
    const double perSecond = 450;
    const Played shipped = play(perSecond, LostAnswersPolicy());
    LostAnswersPolicy passing;
    passing.trialShare = 0.2;
    passing.cap = 2;
    const Played passedOver = play(perSecond, passing);
    CHECK(passedOver.servedShare > shipped.servedShare + 0.1);
    CHECK(passedOver.worst > 0.5);
    LostAnswersPolicy shedding;
    shedding.sheds = true;
    const Played shed = play(perSecond, shedding);
    CHECK(shed.servedShare < shipped.servedShare + 0.02);
    CHECK(shed.worst > shipped.worst / 2);
    LostAnswersPolicy knowing;
    knowing.knowsAll = true;
    CHECK(play(perSecond, knowing).servedShare > passedOver.servedShare);
}
