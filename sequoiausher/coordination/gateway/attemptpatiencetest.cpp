#include "sequoiausher/coordination/gateway/attemptpatience.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

using namespace Sequoiausher;

namespace {

/** A request that was sent 100 ms ago, over a connection that stands, to a target that is at work. */
WaitState usual()
{
    WaitState state;
    state.now = Millis{10100};
    state.sentAt = Millis{10000};
    state.lastPartAt = Millis{10000};
    state.targetHeardAt = Millis{10050};
    state.deadline = Millis{13000};
    state.isConnected = true;
    state.mayRunElsewhere = true;
    state.latencyAim = Millis{500};
    state.gapAim = Millis{300};
    state.usualFirstAnswer = Millis{60};
    return state;
}

} // namespace

TEST_CASE("how long a request waits at its target")
{
    struct Case
    {
        const char *what;
        std::function<void(WaitState &)> change;
        WaitVerdict verdict;
    };
    const std::vector<Case> cases{
        {"all is well", [](WaitState &) {}, WaitVerdict::GoOn},
        {"its time is over", [](WaitState &s) { s.deadline = s.now; }, WaitVerdict::TimeUp},
        {"its time is over, also while the caller takes nothing",
         [](WaitState &s) {
             s.deadline = s.now;
             s.isReadingPaused = true;
         },
         WaitVerdict::TimeUp},
        {"nobody takes the connection yet", [](WaitState &s) { s.isConnected = false; }, WaitVerdict::GoOn},
        {"nobody takes the connection",
         [](WaitState &s) {
             s.isConnected = false;
             s.now = Millis{10400};
         },
         WaitVerdict::NoConnection},
        {"slow, at work", [](WaitState &s) { s.now = Millis{10700}; }, WaitVerdict::GoOn},
        {"very slow, at work", [](WaitState &s) { s.now = Millis{10750}; }, WaitVerdict::BetterElsewhere},
        {"slow, and silent to everybody",
         [](WaitState &s) {
             s.now = Millis{10350};
             s.targetHeardAt = Millis{9000};
         },
         WaitVerdict::BetterElsewhere},
        {"slow as it always is",
         [](WaitState &s) {
             s.now = Millis{10750};
             s.usualFirstAnswer = Millis{200};
         },
         WaitVerdict::GoOn},
        {"very slow, but it must not run twice",
         [](WaitState &s) {
             s.now = Millis{12000};
             s.mayRunElsewhere = false;
         },
         WaitVerdict::GoOn},
        {"a stream pauses",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{11100};
         },
         WaitVerdict::GoOn},
        {"a stream has stopped",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{11200};
         },
         WaitVerdict::BetterElsewhere},
        {"a stream that the caller does not take",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{12000};
             s.isReadingPaused = true;
         },
         WaitVerdict::GoOn},
        {"its target started again just now", [](WaitState &s) { s.isLifeOver = true; }, WaitVerdict::GoOn},
        {"its target started again",
         [](WaitState &s) {
             s.isLifeOver = true;
             s.now = Millis{10400};
         },
         WaitVerdict::Lost},
        {"its target started again, and it must not run twice",
         [](WaitState &s) {
             s.isLifeOver = true;
             s.mayRunElsewhere = false;
             s.now = Millis{10400};
         },
         WaitVerdict::Lost},
        {"its target started again, but its answer still comes",
         [](WaitState &s) {
             s.isLifeOver = true;
             s.hasEvents = true;
             s.now = Millis{10600};
             s.lastPartAt = Millis{10500};
         },
         WaitVerdict::GoOn},
    };
    for (const Case &one : cases) {
        CAPTURE(one.what);
        WaitState state = usual();
        one.change(state);
        CHECK(judgeWait(state) == one.verdict);
    }
}
