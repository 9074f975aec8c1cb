#include "sequoiausher/coordination/gateway/attempttimeout.h"

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
    state.targetActiveAt = Millis{10050};
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
        WaitDecision verdict;
    };
    const std::vector<Case> cases{
        {"all is well", [](WaitState &) {}, WaitDecision::KeepWaiting},
        {"its time is over", [](WaitState &s) { s.deadline = s.now; }, WaitDecision::DeadlineExceeded},
        {"its time is over, also while the caller takes nothing",
         [](WaitState &s) {
             s.deadline = s.now;
             s.isReadingPaused = true;
         },
         WaitDecision::DeadlineExceeded},
        {"nobody takes the connection yet", [](WaitState &s) { s.isConnected = false; }, WaitDecision::KeepWaiting},
        {"nobody takes the connection",
         [](WaitState &s) {
             s.isConnected = false;
             s.now = Millis{10400};
         },
         WaitDecision::NoConnection},
        {"slow, at work", [](WaitState &s) { s.now = Millis{10700}; }, WaitDecision::KeepWaiting},
        {"very slow, at work", [](WaitState &s) { s.now = Millis{10750}; }, WaitDecision::RetryElsewhere},
        {"slow, and silent to everybody",
         [](WaitState &s) {
             s.now = Millis{10350};
             s.targetActiveAt = Millis{9000};
         },
         WaitDecision::RetryElsewhere},
        {"slow as it always is",
         [](WaitState &s) {
             s.now = Millis{10750};
             s.usualFirstAnswer = Millis{200};
         },
         WaitDecision::KeepWaiting},
        {"very slow, but it must not run twice",
         [](WaitState &s) {
             s.now = Millis{12000};
             s.mayRunElsewhere = false;
         },
         WaitDecision::KeepWaiting},
        {"a stream pauses",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{11100};
         },
         WaitDecision::KeepWaiting},
        {"a stream has stopped",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{11200};
         },
         WaitDecision::RetryElsewhere},
        {"a stream that the caller does not take",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{12000};
             s.isReadingPaused = true;
         },
         WaitDecision::KeepWaiting},
        {"its target started again just now", [](WaitState &s) { s.isLifeOver = true; }, WaitDecision::KeepWaiting},
        {"its target started again",
         [](WaitState &s) {
             s.isLifeOver = true;
             s.now = Millis{10400};
         },
         WaitDecision::Lost},
        {"its target started again, and it must not run twice",
         [](WaitState &s) {
             s.isLifeOver = true;
             s.mayRunElsewhere = false;
             s.now = Millis{10400};
         },
         WaitDecision::Lost},
        {"its target started again, but its answer still comes",
         [](WaitState &s) {
             s.isLifeOver = true;
             s.hasEvents = true;
             s.now = Millis{10600};
             s.lastPartAt = Millis{10500};
         },
         WaitDecision::KeepWaiting},
    };
    for (const Case &one : cases) {
        CAPTURE(one.what);
        WaitState state = usual();
        one.change(state);
        CHECK(checkWait(state) == one.verdict);
    }
}
