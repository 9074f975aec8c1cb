#include "sequoiausher/coordination/gateway/attemptoutcome.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr AttemptOutcome full{AttemptEnd::NotRun, TargetOutcome::Full};
constexpr AttemptOutcome misdirected{AttemptEnd::NotRun, TargetOutcome::Misdirected};
constexpr AttemptOutcome failed{AttemptEnd::Failed, TargetOutcome::Failed};
constexpr AttemptOutcome broken{AttemptEnd::Broken, TargetOutcome::Lost};

/** The head of an answer with this status has arrived, and the caller has received nothing yet. */
AnswerState answered(int status, bool isIdempotent)
{
    AnswerState state;
    state.hasHead = true;
    state.status = status;
    state.isIdempotent = isIdempotent;
    return state;
}

AnswerState begun(int status, bool isForwardedAsItArrives)
{
    AnswerState state = answered(status, true);
    state.isAnswerBegun = true;
    state.isForwardedAsItArrives = isForwardedAsItArrives;
    return state;
}

AnswerState torn(int status, bool isForwardedAsItArrives)
{
    AnswerState state = begun(status, isForwardedAsItArrives);
    state.isInsideEvent = true;
    return state;
}

AnswerState closed(int status, bool isForwardedAsItArrives, AnswerEnd end)
{
    AnswerState state = answered(status, false);
    state.isAnswerBegun = isForwardedAsItArrives;
    state.isForwardedAsItArrives = isForwardedAsItArrives;
    state.end = end;
    return state;
}

AnswerState emptyStream(AnswerEnd end)
{
    AnswerState state = closed(200, false, end);
    state.isEmptyStream = true;
    return state;
}

AnswerState refused(int status, bool isMisdirected)
{
    AnswerState state = answered(status, false);
    state.didNotRun = !isMisdirected;
    state.isMisdirected = isMisdirected;
    return state;
}

const std::vector<int> statuses{0, 200, 204, 404, 408, 421, 429, 499, 500, 502, 503, 504};

void forAllAnswers(const std::function<void(const AnswerState &)> &check)
{
    for (const int status : statuses) {
        for (unsigned bits = 0; bits < 512; ++bits) {
            AnswerState state;
            state.hasHead = (bits & 1U) != 0;
            state.status = status;
            state.didNotRun = (bits & 2U) != 0;
            state.isMisdirected = (bits & 4U) != 0;
            state.isIdempotent = (bits & 8U) != 0;
            state.isAnswerBegun = (bits & 16U) != 0;
            state.isForwardedAsItArrives = (bits & 32U) != 0;
            state.isInsideEvent = (bits & 64U) != 0;
            state.isEmptyStream = (bits & 128U) != 0;
            state.end = (bits & 256U) != 0 ? AnswerEnd::UnconfirmedClose : AnswerEnd::Framing;
            CAPTURE(status);
            CAPTURE(bits);
            check(state);
        }
    }
}

} // namespace

TEST_CASE("outcome of a complete answer")
{
    struct Case
    {
        const char *what;
        AnswerState state;
        std::optional<AttemptOutcome> outcome;
    };
    const std::vector<Case> cases{
        {"success", answered(200, false), std::nullopt},
        {"error of the caller", answered(404, true), std::nullopt},
        {"failed, may run once", answered(500, false), std::nullopt},
        {"failed, may run again", answered(500, true), failed},
        {"full, with the statement that it did not run", refused(503, false), full},
        {"address of another target", refused(421, true), misdirected},
        {"503 without that statement, may run once", answered(503, false), std::nullopt},
        {"503 without that statement, may run again", answered(503, true), failed},
        {"429 without that statement", answered(429, true), std::nullopt},
        {"a stream that ended", begun(200, true), std::nullopt},
        {"closed in order, by a target that lives", closed(200, false, AnswerEnd::Close), std::nullopt},
        {"closed in order, maybe since its target ended", closed(200, false, AnswerEnd::UnconfirmedClose), broken},
        {"a stream closed in order, by a target that lives", closed(200, true, AnswerEnd::Close), std::nullopt},
        {"the same, maybe since its target ended", closed(200, true, AnswerEnd::UnconfirmedClose), broken},
        {"an empty stream with an end mark", emptyStream(AnswerEnd::Framing), std::nullopt},
        {"an empty stream without one", emptyStream(AnswerEnd::Close), broken},
        {"a stream that stopped inside an event", torn(200, true), broken},
        {"a stream that another target should have resumed", begun(200, false), failed},
        {"a stream that another target could not resume", begun(500, false), failed},
    };
    for (const Case &given : cases) {
        CAPTURE(given.what);
        CHECK(classifyCompleteAnswer(given.state) == given.outcome);
    }
}

TEST_CASE("outcome of an attempt without a complete answer")
{
    for (const AttemptEnd how : {AttemptEnd::NotSent, AttemptEnd::NoAnswer, AttemptEnd::Broken}) {
        CAPTURE(nameOf(how));
        CHECK(classifyLostAnswer(AnswerState(), how) == AttemptOutcome{how, TargetOutcome::Lost});
        CHECK(classifyLostAnswer(answered(200, true), how) == AttemptOutcome{how, TargetOutcome::Lost});
        // The head of a refusal is enough: its body is not needed.
        CHECK(classifyLostAnswer(refused(503, false), how) == full);
        CHECK(classifyLostAnswer(refused(421, true), how) == misdirected);
    }
}

TEST_CASE("outcome of an abandoned wait")
{
    struct Case
    {
        WaitDecision why;
        bool hasHead;
        std::optional<AttemptOutcome> outcome;
    };
    const std::vector<Case> cases{
        {WaitDecision::KeepWaiting, false, std::nullopt},
        {WaitDecision::KeepWaiting, true, std::nullopt},
        {WaitDecision::DeadlineExceeded, false, AttemptOutcome{AttemptEnd::DeadlineExceeded, TargetOutcome::Lost}},
        {WaitDecision::DeadlineExceeded, true, AttemptOutcome{AttemptEnd::DeadlineExceeded, TargetOutcome::Neutral}},
        {WaitDecision::NoConnection, false, AttemptOutcome{AttemptEnd::NotSent, TargetOutcome::Lost}},
        {WaitDecision::NoConnection, true, AttemptOutcome{AttemptEnd::NotSent, TargetOutcome::Lost}},
        {WaitDecision::Lost, false, AttemptOutcome{AttemptEnd::NoAnswer, TargetOutcome::Neutral}},
        {WaitDecision::Lost, true, AttemptOutcome{AttemptEnd::Broken, TargetOutcome::Neutral}},
        {WaitDecision::RetryElsewhere, false, AttemptOutcome{AttemptEnd::Silent, TargetOutcome::Lost}},
        {WaitDecision::RetryElsewhere, true, AttemptOutcome{AttemptEnd::Silent, TargetOutcome::Lost}},
    };
    for (const Case &given : cases) {
        CAPTURE(nameOf(given.why));
        CAPTURE(given.hasHead);
        CHECK(classifyAbandonedWait(given.why, given.hasHead) == given.outcome);
    }
}

// A request that counts as not run is sent again, or refused with the statement that it was not run and never will be.
// Both need an explicit statement of the target.
TEST_CASE("in no state does a request count as not run without the target's statement")
{
    forAllAnswers([](const AnswerState &state) {
        const bool hasStatement = state.hasHead && (state.didNotRun || state.isMisdirected);
        const std::optional<AttemptOutcome> whole = classifyCompleteAnswer(state);
        CHECK((whole && whole->end == AttemptEnd::NotRun) == hasStatement);
        const bool mayBeBroken = state.isInsideEvent || state.end == AnswerEnd::UnconfirmedClose;
        const bool isBroken = whole && whole->end == AttemptEnd::Broken;
        CHECK((!isBroken || (mayBeBroken && !hasStatement)));
        CHECK((!mayBeBroken || whole));
        CHECK((!state.isInsideEvent || isBroken || hasStatement));
        CHECK((!whole || isBroken || whole->end == AttemptEnd::NotRun || whole->end == AttemptEnd::Failed));
        CHECK((classifyLostAnswer(state, AttemptEnd::NoAnswer).end == AttemptEnd::NotRun) == hasStatement);
        CHECK((classifyLostAnswer(state, AttemptEnd::Broken).end == AttemptEnd::NotRun) == hasStatement);
    });
}

TEST_CASE("in no state does the failure of a request that may run at most once lead to a retry")
{
    forAllAnswers([](const AnswerState &state) {
        const std::optional<AttemptOutcome> whole = classifyCompleteAnswer(state);
        if (whole && whole->end == AttemptEnd::Failed) {
            CHECK((state.isIdempotent || state.isAnswerBegun));
            CHECK(whole->mark == TargetOutcome::Failed);
        }
    });
}

TEST_CASE("an answer that the caller has in part is completed only by an answer that resumes it")
{
    forAllAnswers([](const AnswerState &state) {
        if (state.isAnswerBegun && !state.isForwardedAsItArrives) {
            CHECK(classifyCompleteAnswer(state).has_value());
        }
    });
}

TEST_CASE("a status that implies 'not run' is forwarded only with the target's statement")
{
    for (const int status : statuses) {
        CAPTURE(status);
        CHECK_FALSE(falselyImpliesNotRun(status, true));
        const bool impliesNotRun = status == 408 || status == 421 || status == 429 || status == 503;
        CHECK(falselyImpliesNotRun(status, false) == impliesNotRun);
        CHECK((markForStatus(status) == TargetOutcome::Failed) == (status >= 500));
        CHECK((markForStatus(status) == TargetOutcome::Answered) == (status < 500));
    }
}
