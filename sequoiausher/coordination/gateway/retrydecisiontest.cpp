#include "sequoiausher/coordination/gateway/retrydecision.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

namespace {

AttemptState stateOf(bool idempotent, bool mayHaveRun, bool begun, std::uint32_t used, std::uint32_t most)
{
    return {idempotent, mayHaveRun, begun, used, most, Millis{1000}, Millis{30}, true};
}

} // namespace

TEST_CASE("next step after an attempt has ended")
{
    struct Case
    {
        const char *what;
        AttemptState state;
        AttemptEnd end;
        NextStep step;
    };
    const std::vector<Case> cases{
        {"at most once, nothing sent", stateOf(false, false, false, 0, 1), AttemptEnd::NotSent, NextStep::SendAgain},
        {"at most once, full, one target only",
         stateOf(false, false, false, 1, 1),
         AttemptEnd::NotRun,
         NextStep::RefuseNotRun},
        {"at most once, full, two targets",
         stateOf(false, false, false, 1, 2),
         AttemptEnd::NotRun,
         NextStep::SendAgain},
        {"at most once, connection lost",
         stateOf(false, true, false, 1, 2),
         AttemptEnd::NoAnswer,
         NextStep::RespondUnknown},
        {"at most once, no answer before the timeout",
         stateOf(false, true, false, 1, 2),
         AttemptEnd::Silent,
         NextStep::RespondUnknown},
        {"at most once, answer broken off", stateOf(false, true, true, 1, 2), AttemptEnd::Broken, NextStep::CutOff},
        {"at most once, failed", stateOf(false, true, false, 1, 2), AttemptEnd::Failed, NextStep::ForwardFailure},
        {"at most once, deadline exceeded",
         stateOf(false, true, false, 1, 2),
         AttemptEnd::DeadlineExceeded,
         NextStep::RespondTimeout},
        {"never sent, deadline exceeded",
         stateOf(false, false, false, 0, 2),
         AttemptEnd::DeadlineExceeded,
         NextStep::RefuseNotRun},
        {"idempotent, connection lost", stateOf(true, true, false, 1, 2), AttemptEnd::NoAnswer, NextStep::SendAgain},
        {"idempotent, connection lost twice",
         stateOf(true, true, false, 2, 2),
         AttemptEnd::NoAnswer,
         NextStep::RespondUnknown},
        {"idempotent, full after a lost connection",
         stateOf(true, true, false, 2, 2),
         AttemptEnd::NotRun,
         NextStep::RespondUnknown},
        {"idempotent, failed", stateOf(true, true, false, 1, 2), AttemptEnd::Failed, NextStep::SendAgain},
        {"idempotent, failed twice", stateOf(true, true, false, 2, 2), AttemptEnd::Failed, NextStep::ForwardFailure},
        {"resumable stream, broken off", stateOf(true, true, true, 1, 2), AttemptEnd::Broken, NextStep::SendAgain},
        {"resumable stream, deadline exceeded",
         stateOf(true, true, true, 1, 2),
         AttemptEnd::DeadlineExceeded,
         NextStep::CutOff},
    };
    for (const Case &given : cases) {
        CAPTURE(given.what);
        CHECK(decideNextStep(given.state, given.end) == given.step);
    }
}

TEST_CASE("no retry without budget or time")
{
    AttemptState state = stateOf(true, true, false, 1, 2);
    state.isRetryAllowed = false;
    CHECK(decideNextStep(state, AttemptEnd::NoAnswer) == NextStep::RespondUnknown);
    state.isRetryAllowed = true;
    state.timeLeft = Millis{20};
    CHECK(decideNextStep(state, AttemptEnd::NoAnswer) == NextStep::RespondUnknown);
}

TEST_CASE("a partial answer that cannot be resumed is cut off, however the attempt ended")
{
    for (const auto &end : nameTable<AttemptEnd>) {
        AttemptState state = stateOf(true, true, true, 1, 2);
        state.canResumeAnswer = false;
        CAPTURE(nameOf(end.value));
        CHECK(decideNextStep(state, end.value) == NextStep::CutOff);
        state.isAnswerBegun = false;
        CHECK(decideNextStep(state, end.value) != NextStep::CutOff);
    }
}

// The at-most-once guarantee, checked over all states: a request that is not idempotent and may have run is neither
// sent again nor reported as not run.
TEST_CASE("in no state is a request that may run at most once sent again after it may have run")
{
    for (const auto &end : nameTable<AttemptEnd>) {
        for (int bits = 0; bits < 16; ++bits) {
            AttemptState state = stateOf(false, (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0 ? 1 : 0, 3);
            state.isRetryAllowed = (bits & 8) != 0;
            const bool ranMaybe = state.mayHaveRun
                || (end.value != AttemptEnd::NotSent && end.value != AttemptEnd::NotRun
                    && end.value != AttemptEnd::DeadlineExceeded);
            if (!ranMaybe) {
                continue;
            }
            const NextStep step = decideNextStep(state, end.value);
            CAPTURE(nameOf(end.value));
            CHECK(step != NextStep::SendAgain);
            CHECK(step != NextStep::RefuseNotRun);
        }
    }
}
