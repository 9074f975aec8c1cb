#include "sequoiausher/coordination/gateway/attempttimeout.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

using namespace Sequoiausher;

namespace {

/** A request that was sent 100 ms ago over an open connection to an active target. */
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
    state.mayRunTwiceAtOnce = true;
    state.latencyAim = Millis{500};
    state.gapAim = Millis{300};
    state.usualFirstAnswer = Millis{60};
    return state;
}

} // namespace

TEST_CASE("decision of a request that waits at its target")
{
    struct Case
    {
        const char *what;
        std::function<void(WaitState &)> change;
        WaitDecision decision;
    };
    const std::vector<Case> cases{
        {"answer not due yet", [](WaitState &) {}, WaitDecision::KeepWaiting},
        {"deadline passed", [](WaitState &s) { s.deadline = s.now; }, WaitDecision::DeadlineExceeded},
        {"deadline passed while the caller does not read",
         [](WaitState &s) {
             s.deadline = s.now;
             s.isReadingPaused = true;
         },
         WaitDecision::DeadlineExceeded},
        {"connection not accepted yet", [](WaitState &s) { s.isConnected = false; }, WaitDecision::KeepWaiting},
        {"connection not accepted within its timeout",
         [](WaitState &s) {
             s.isConnected = false;
             s.now = Millis{10400};
         },
         WaitDecision::NoConnection},
        {"slow, target active", [](WaitState &s) { s.now = Millis{10700}; }, WaitDecision::KeepWaiting},
        {"very slow, target active", [](WaitState &s) { s.now = Millis{10750}; }, WaitDecision::RetryElsewhere},
        {"slow, and target silent for all requests",
         [](WaitState &s) {
             s.now = Millis{10350};
             s.targetActiveAt = Millis{9000};
         },
         WaitDecision::RetryElsewhere},
        {"slow, but within the usual time",
         [](WaitState &s) {
             s.now = Millis{10750};
             s.usualFirstAnswer = Millis{200};
         },
         WaitDecision::KeepWaiting},
        {"very slow, but the request must not run twice",
         [](WaitState &s) {
             s.now = Millis{12000};
             s.mayRunElsewhere = false;
         },
         WaitDecision::KeepWaiting},
        {"stream pauses",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{11100};
         },
         WaitDecision::KeepWaiting},
        {"stream has stopped",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{11200};
         },
         WaitDecision::RetryElsewhere},
        {"stream that the caller does not read",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{12000};
             s.isReadingPaused = true;
         },
         WaitDecision::KeepWaiting},
        {"slow, and the target may have paused with the request",
         [](WaitState &s) {
             s.now = Millis{11450};
             s.targetActiveAt = Millis{9000};
             s.mayRunTwiceAtOnce = false;
         },
         WaitDecision::KeepWaiting},
        {"slow, and the target silent for longer than a pause",
         [](WaitState &s) {
             s.now = Millis{11500};
             s.targetActiveAt = Millis{9000};
             s.mayRunTwiceAtOnce = false;
         },
         WaitDecision::RetryElsewhere},
        {"very slow, and the target active for others",
         [](WaitState &s) {
             s.now = Millis{10750};
             s.targetActiveAt = Millis{10700};
             s.mayRunTwiceAtOnce = false;
         },
         WaitDecision::RetryElsewhere},
        {"stream has stopped, and the target may have paused with it",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{11500};
             s.lastPartAt = Millis{10050};
             s.mayRunTwiceAtOnce = false;
         },
         WaitDecision::KeepWaiting},
        {"stream has stopped for longer than a pause",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{11550};
             s.lastPartAt = Millis{10050};
             s.mayRunTwiceAtOnce = false;
         },
         WaitDecision::RetryElsewhere},
        {"stream has stopped since the path to its target was cut",
         [](WaitState &s) {
             s.hasEvents = true;
             s.now = Millis{10350};
             s.lastPartAt = Millis{10050};
             s.mayRunTwiceAtOnce = false;
             s.isPathCut = true;
         },
         WaitDecision::RetryElsewhere},
        {"target restarted just now", [](WaitState &s) { s.isProcessGone = true; }, WaitDecision::KeepWaiting},
        {"target restarted",
         [](WaitState &s) {
             s.isProcessGone = true;
             s.now = Millis{10400};
         },
         WaitDecision::Lost},
        {"target restarted, and the request must not run twice",
         [](WaitState &s) {
             s.isProcessGone = true;
             s.mayRunElsewhere = false;
             s.now = Millis{10400};
         },
         WaitDecision::Lost},
        {"target restarted, but the answer still arrives",
         [](WaitState &s) {
             s.isProcessGone = true;
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
        CHECK(checkWait(state) == one.decision);
    }
}
