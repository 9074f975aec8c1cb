#include "sequoiausher/coordination/gateway/connectiontimeouts.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr Millis limit{15000};

} // namespace

TEST_CASE("a connection that was accepted and not used is idle from then on")
{
    IdleClock idle(Millis{1000}, limit);
    CHECK_FALSE(idle.isOver(Millis{15999}, limit));
    CHECK(idle.isOver(Millis{16000}, limit));
}

// Symptom: a connection was closed under its caller, who had it idle for two thirds of the limit. Events: an answer is
// held up on its way for seconds. Cause: the idle time was counted from when the answer was written.
TEST_CASE("a connection is idle from when its caller has the answer")
{
    IdleClock idle(Millis{0}, limit);
    idle.recordAnswer(Millis{1000}, limit);
    CHECK_FALSE(idle.isAcknowledged());
    idle.observe(Millis{1040}, 800);
    CHECK(idle.since(Millis{1040}) == Millis{1040});
    idle.observe(Millis{6000}, 0);
    CHECK(idle.isAcknowledged());
    CHECK(idle.since(Millis{9000}) == Millis{6000});
    SUBCASE("the first observation counts")
    {
        idle.observe(Millis{7000}, 0);
        CHECK(idle.since(Millis{9000}) == Millis{6000});
    }
    SUBCASE("an answer later it counts anew")
    {
        idle.recordAnswer(Millis{8000}, limit);
        CHECK_FALSE(idle.isAcknowledged());
        CHECK(idle.since(Millis{8500}) == Millis{8500});
    }
    CHECK_FALSE(idle.isOver(Millis{20999}, limit));
}

// Symptom: a long answer on a slow link was cut 30 s after it had been handed over, though its caller took more of it
// all the time. Cause: the time that an answer may take was counted from its beginning.
TEST_CASE("an answer that is taken slowly holds its connection for as long as something of it is taken")
{
    IdleClock idle(Millis{0}, limit);
    idle.recordAnswer(Millis{1000}, limit);
    std::size_t left = 2000;
    for (Millis now{2000}; now < Millis{100000}; now = now + Millis{10000}) {
        left -= 100;
        idle.observe(now, left);
        CHECK_FALSE(idle.isOver(now + Millis{9999}, limit));
    }
    // The last part of it was taken at 92 s.
    CHECK_FALSE(idle.isOver(Millis{121999}, limit));
    CHECK(idle.isOver(Millis{122000}, limit));
}

TEST_CASE("an answer that nobody takes holds its connection for two limits")
{
    IdleClock idle(Millis{0}, limit);
    idle.recordAnswer(Millis{1000}, limit);
    idle.observe(Millis{1040}, 1000);
    idle.observe(Millis{9000}, 1000);
    CHECK_FALSE(idle.isOver(Millis{30999}, limit));
    CHECK(idle.isOver(Millis{31000}, limit));
}

// Symptom: as above. Events: the limit shrinks while connections are idle. Cause: they were judged by a limit that
// their callers did not know.
TEST_CASE("the longest limit since the answer counts")
{
    IdleClock idle(Millis{0}, limit);
    CHECK_FALSE(idle.isOver(Millis{6000}, Millis{5000}));
    CHECK(idle.isOver(Millis{15000}, Millis{5000}));
    SUBCASE("one that grows meanwhile too, and does not shrink again")
    {
        CHECK_FALSE(idle.isOver(Millis{15000}, Millis{20000}));
        CHECK_FALSE(idle.isOver(Millis{19000}, Millis{5000}));
        CHECK(idle.isOver(Millis{20000}, Millis{5000}));
    }
    SUBCASE("an answer under the new limit goes by that")
    {
        idle.recordAnswer(Millis{16000}, Millis{5000});
        idle.observe(Millis{16010}, 0);
        CHECK(idle.isOver(Millis{21010}, Millis{5000}));
    }
}

TEST_CASE("callers are told of a shorter time than the limit")
{
    CHECK(announcedIdleTime(limit) == Millis{12000});
    CHECK(announcedIdleTime(Millis{0}) == Millis{0});
}

TEST_CASE("when a request that stops in the middle is given up")
{
    struct Case
    {
        const char *what;
        PartialRequest request;
        Millis now;
        PartialRequestDecision verdict;
    };
    const Case cases[]{
        {"a head on its way", {Millis{1000}, Millis{3900}, false}, Millis{3999}, PartialRequestDecision::Wait},
        {"a head that takes too long, though bytes come",
         {Millis{1000}, Millis{3999}, false},
         Millis{4000},
         PartialRequestDecision::HeadTooSlow},
        {"a body that comes, for longer than a head may take",
         {Millis{1000}, Millis{30000}, true},
         Millis{31000},
         PartialRequestDecision::Wait},
        {"a body that stopped", {Millis{1000}, Millis{2000}, true}, Millis{17000}, PartialRequestDecision::BodyStopped},
        {"a body that comes byte by byte",
         {Millis{1000}, Millis{60900}, true},
         Millis{61000},
         PartialRequestDecision::BodyTooSlow},
        {"a body that comes byte by byte a moment less",
         {Millis{1000}, Millis{60900}, true},
         Millis{60999},
         PartialRequestDecision::Wait},
        {"a body that stopped a moment less",
         {Millis{1000}, Millis{2000}, true},
         Millis{16999},
         PartialRequestDecision::Wait},
    };
    for (const Case &each : cases) {
        CAPTURE(each.what);
        CHECK(checkPartialRequest(each.request, each.now, Millis{3000}, limit) == each.verdict);
    }
}
