#include "sequoiausher/coordination/gateway/stopschedule.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr Millis grace{8000};
constexpr Millis notice{3000};
constexpr Millis begun{100000};

StopSchedule begunStop()
{
    StopSchedule stop;
    stop.begin({grace, notice}, begun);
    return stop;
}

} // namespace

TEST_CASE("before a stop everything may be begun")
{
    const StopSchedule stop;
    CHECK(stop.mayBegin({Millis{600000}, {}}, StopSuccessor::Neighbour, begun));
    CHECK_FALSE(stop.isBegun());
    CHECK_FALSE(stop.isNoticeOver(begun));
    CHECK(stop.cutAt() == Millis::never());
    CHECK(stop.endAt() == Millis::never());
    CHECK_FALSE(stop.timeInStop(begun));
}

TEST_CASE("the cut leaves a part of the grace for last bytes, and the process ends before the grace does")
{
    const StopSchedule stop = begunStop();
    CHECK(stop.cutAt() == begun + Millis{7500});
    CHECK(stop.endAt() == begun + Millis{7750});
    CHECK(stop.timeInStop(begun + Millis{700}) == Millis{700});
    CHECK(stop.timeInStop(begun - Millis{700}) == Millis{-700});
}

// Guards against an end that moves away with each further SIGTERM, while the platform counts from the first.
TEST_CASE("a second request to stop changes nothing")
{
    StopSchedule stop = begunStop();
    stop.begin({grace, notice}, begun + Millis{5000});
    CHECK(stop.cutAt() == begun + Millis{7500});
    CHECK(stop.isNoticeOver(begun + notice));
}

// Guards against requests that are cut off by a stop which was known when they were sent to a target.
TEST_CASE("what may be begun depends on the time that is left and on where its caller can go")
{
    struct Case
    {
        const char *name;
        Millis after;
        Millis timeLeft;
        /** How many of a hundred requests of the route lasted for longer than the limit lately; absent if unknown. */
        std::optional<int> percentLonger;
        Millis limit;
        StopSuccessor successor;
        bool isBegun;
    };
    const Case cases[] = {
        {"a deadline before the cut, at once",
         Millis{0},
         Millis{7500},
         std::nullopt,
         Millis{0},
         StopSuccessor::Neighbour,
         true},
        {"a deadline before the cut, late",
         Millis{7000},
         Millis{500},
         std::nullopt,
         Millis{0},
         StopSuccessor::Neighbour,
         true},
        {"nothing known", Millis{0}, Millis{7501}, std::nullopt, Millis{7500}, StopSuccessor::Neighbour, false},
        {"nothing known, all stop", Millis{0}, Millis{15000}, std::nullopt, Millis{7500}, StopSuccessor::None, false},
        {"few are longer, in the notice",
         Millis{2900},
         Millis{15000},
         10,
         Millis{4600},
         StopSuccessor::Neighbour,
         true},
        {"some are longer, in the notice",
         Millis{2900},
         Millis{15000},
         11,
         Millis{4600},
         StopSuccessor::Neighbour,
         false},
        {"half are longer, no neighbour",
         Millis{2900},
         Millis{15000},
         50,
         Millis{4600},
         StopSuccessor::Elsewhere,
         true},
        {"most are longer, no neighbour",
         Millis{2900},
         Millis{15000},
         51,
         Millis{4600},
         StopSuccessor::Elsewhere,
         false},
        {"half are longer, all stop", Millis{2900}, Millis{15000}, 50, Millis{4600}, StopSuccessor::None, true},
        {"none is longer, after the notice, no neighbour",
         Millis{3000},
         Millis{15000},
         0,
         Millis{4500},
         StopSuccessor::Elsewhere,
         false},
        {"none is longer, after the notice",
         Millis{3000},
         Millis{15000},
         0,
         Millis{4500},
         StopSuccessor::Neighbour,
         false},
        {"none is longer, after the notice, all stop",
         Millis{3000},
         Millis{15000},
         0,
         Millis{4500},
         StopSuccessor::None,
         false},
        {"a deadline before the cut, after the notice, all stop",
         Millis{3000},
         Millis{4500},
         std::nullopt,
         Millis{0},
         StopSuccessor::None,
         true},
        {"none is longer, before the end of the notice",
         Millis{2949},
         Millis{15000},
         0,
         Millis{4551},
         StopSuccessor::None,
         true},
        {"none is longer, at the end of the notice",
         Millis{2950},
         Millis{15000},
         0,
         Millis{4550},
         StopSuccessor::None,
         false},
        {"after the cut", Millis{7600}, Millis{1}, 0, Millis{0}, StopSuccessor::None, false},
    };
    const StopSchedule stop = begunStop();
    for (const Case &each : cases) {
        CAPTURE(each.name);
        const auto longer = [&each](Millis limit) -> std::optional<double> {
            CHECK(limit == each.limit);
            constexpr double percent = 100;
            return each.percentLonger ? std::optional(*each.percentLonger / percent) : std::nullopt;
        };
        CHECK(stop.mayBegin({each.timeLeft, longer}, each.successor, begun + each.after) == each.isBegun);
    }
}

// A model compares the shipped limits with others.
TEST_CASE("the limits are settings")
{
    OverrunLimits limits;
    limits.maxShareInNotice = 0.5;
    limits.marginInNotice = 3;
    StopSchedule stop(limits);
    stop.begin({grace, notice}, begun);
    const auto half = [](Millis limit) {
        CHECK(limit == Millis{2500});
        return std::optional(0.5);
    };
    CHECK(stop.mayBegin({Millis{15000}, half}, StopSuccessor::Neighbour, begun));
    CHECK_FALSE(begunStop().mayBegin(
        {Millis{15000}, [](Millis) { return std::optional(0.5); }}, StopSuccessor::Neighbour, begun));
}

// Guards against refused callers who use up their attempts at gateways that stop.
TEST_CASE("a refused caller shall wait until others take it")
{
    const StopSchedule stop = begunStop();
    const Millis now = begun + Millis{1000};
    CHECK(stop.timeUntilTaken(StopSuccessor::Neighbour, now) == Millis{0});
    CHECK(stop.timeUntilTaken(StopSuccessor::Elsewhere, now) == Millis{2000});
    CHECK(stop.timeUntilTaken(StopSuccessor::None, now) == Millis{7000});
    CHECK(stop.timeUntilTaken(StopSuccessor::Elsewhere, begun + Millis{4000}) == Millis{0});
    CHECK(StopSchedule().timeUntilTaken(StopSuccessor::None, now) == Millis{0});
}
