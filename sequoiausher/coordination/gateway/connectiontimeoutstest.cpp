#include "sequoiausher/coordination/gateway/connectiontimeouts.h"

#include <doctest/doctest.h>

#include <random>

using namespace Sequoiausher;

namespace {

constexpr Millis limit{15000};

} // namespace

TEST_CASE("a connection without a request is idle from when it was accepted")
{
    IdleClock idle(Millis{1000}, limit);
    CHECK_FALSE(idle.isOver(Millis{15999}, limit));
    CHECK(idle.isOver(Millis{16000}, limit));
}

// Guards against closing a connection that its caller has left idle for only two thirds of the limit. This happens if
// an answer is delayed on its way for seconds and the idle time is counted from when the answer was written.
TEST_CASE("a connection is idle from when its caller has acknowledged the answer")
{
    IdleClock idle(Millis{0}, limit);
    idle.recordAnswer(Millis{1000}, limit);
    CHECK_FALSE(idle.isAcknowledged());
    idle.recordUnacknowledged(Millis{1040}, 800);
    CHECK(idle.idleSince(Millis{1040}) == Millis{1040});
    idle.recordUnacknowledged(Millis{6000}, 0);
    CHECK(idle.isAcknowledged());
    CHECK(idle.idleSince(Millis{9000}) == Millis{6000});
    SUBCASE("the first observation of a fully acknowledged answer counts")
    {
        idle.recordUnacknowledged(Millis{7000}, 0);
        CHECK(idle.idleSince(Millis{9000}) == Millis{6000});
    }
    SUBCASE("the next answer restarts the clock")
    {
        idle.recordAnswer(Millis{8000}, limit);
        CHECK_FALSE(idle.isAcknowledged());
        CHECK(idle.idleSince(Millis{8500}) == Millis{8500});
    }
    CHECK_FALSE(idle.isOver(Millis{20999}, limit));
}

// Guards against cutting a long answer on a slow link 30 s after it was handed over although its caller still reads.
// This happens if the time limit of an answer is counted from its beginning.
TEST_CASE("an answer that is read slowly keeps its connection open while there is progress")
{
    IdleClock idle(Millis{0}, limit);
    idle.recordAnswer(Millis{1000}, limit);
    std::size_t left = 2000;
    for (Millis now{2000}; now < Millis{100000}; now = now + Millis{10000}) {
        left -= 100;
        idle.recordUnacknowledged(now, left);
        CHECK_FALSE(idle.isOver(now + Millis{9999}, limit));
    }
    // The last part of the answer was acknowledged at 92 s.
    CHECK_FALSE(idle.isOver(Millis{121999}, limit));
    CHECK(idle.isOver(Millis{122000}, limit));
}

TEST_CASE("an answer without progress keeps its connection open for two limits")
{
    IdleClock idle(Millis{0}, limit);
    idle.recordAnswer(Millis{1000}, limit);
    idle.recordUnacknowledged(Millis{1040}, 1000);
    idle.recordUnacknowledged(Millis{9000}, 1000);
    CHECK_FALSE(idle.isOver(Millis{30999}, limit));
    CHECK(idle.isOver(Millis{31000}, limit));
}

// Guards against closing connections that callers still use when the limit is reduced while connections are idle. Their
// callers do not know the new limit.
TEST_CASE("the longest limit in force since the last answer applies")
{
    IdleClock idle(Millis{0}, limit);
    CHECK_FALSE(idle.isOver(Millis{6000}, Millis{5000}));
    CHECK(idle.isOver(Millis{15000}, Millis{5000}));
    SUBCASE("a limit that was raised meanwhile applies even after it was reduced again")
    {
        CHECK_FALSE(idle.isOver(Millis{15000}, Millis{20000}));
        CHECK_FALSE(idle.isOver(Millis{19000}, Millis{5000}));
        CHECK(idle.isOver(Millis{20000}, Millis{5000}));
    }
    SUBCASE("after an answer under the new limit, the new limit applies")
    {
        idle.recordAnswer(Millis{16000}, Millis{5000});
        idle.recordUnacknowledged(Millis{16010}, 0);
        CHECK(idle.isOver(Millis{21010}, Millis{5000}));
    }
}

TEST_CASE("the announced idle time is shorter than the limit")
{
    CHECK(announcedIdleTime(limit) == Millis{12000});
    CHECK(announcedIdleTime(Millis{0}) == Millis{0});
}

TEST_CASE("decision about a request that has arrived in part")
{
    struct Case
    {
        const char *what;
        PartialRequest request;
        Millis now;
        PartialRequestDecision decision;
    };
    const Case cases[]{
        {"head still arriving", {Millis{1000}, Millis{3900}, false}, Millis{3999}, PartialRequestDecision::Wait},
        {"head takes too long although bytes arrive",
         {Millis{1000}, Millis{3999}, false},
         Millis{4000},
         PartialRequestDecision::HeadTooSlow},
        {"body arrives for longer than the head may take",
         {Millis{1000}, Millis{30000}, true},
         Millis{31000},
         PartialRequestDecision::Wait},
        {"body stopped", {Millis{1000}, Millis{2000}, true}, Millis{17000}, PartialRequestDecision::BodyStopped},
        {"body arrives byte by byte",
         {Millis{1000}, Millis{60900}, true},
         Millis{61000},
         PartialRequestDecision::BodyTooSlow},
        {"body arrives byte by byte, just below the limit",
         {Millis{1000}, Millis{60900}, true},
         Millis{60999},
         PartialRequestDecision::Wait},
        {"body stopped, just below the limit",
         {Millis{1000}, Millis{2000}, true},
         Millis{16999},
         PartialRequestDecision::Wait},
    };
    for (const Case &each : cases) {
        CAPTURE(each.what);
        CHECK(checkPartialRequest(each.request, each.now, Millis{3000}, limit) == each.decision);
    }
}

// Guards against a request that is sent just as its target closes the connection: one that runs at most once could then
// not be sent again.
TEST_CASE("an idle connection to a target is not used in the last moments before the target closes it")
{
    CHECK(usableIdleTime(Millis{10000}) == Millis{9000});
    CHECK(usableIdleTime(Millis{4000}) == Millis{3500});
    CHECK(usableIdleTime(Millis{1000}) == Millis{500});
    CHECK(usableIdleTime(Millis{500}) == Millis{0});
    CHECK(usableIdleTime(Millis{0}) == Millis{0});
}

// The load of a large fleet: 86 gateways before 90 engines, 708 requests a second to any of them, so that a gateway
// uses an engine once in 11 s on average. Most requests open a connection unless one is kept for nearly all of its
// time.
TEST_CASE("gateways that seldom use a target find their connection open more often")
{
    constexpr double requestsPerSecond = 708.0 / 86 / 90;
    const auto reusedFraction = [](Millis usable) {
        std::mt19937_64 random(1);
        std::exponential_distribution<double> gap(requestsPerSecond);
        int reused = 0;
        constexpr int requests = 20000;
        for (int i = 0; i < requests; ++i) {
            reused += gap(random) * 1000 < static_cast<double>(usable.count) ? 1 : 0;
        }
        return static_cast<double>(reused) / requests;
    };
    const double before = reusedFraction(Millis{5000});
    CHECK(before < 0.4);
    CHECK(reusedFraction(usableIdleTime(Millis{10000})) > before + 0.15);
}
