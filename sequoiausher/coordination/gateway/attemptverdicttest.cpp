#include "sequoiausher/coordination/gateway/attemptverdict.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr AttemptVerdict full{AttemptEnd::NotRun, TargetOutcome::Full};
constexpr AttemptVerdict misdirected{AttemptEnd::NotRun, TargetOutcome::Lost};
constexpr AttemptVerdict failed{AttemptEnd::Failed, TargetOutcome::Failed};

/** The head of an answer with this status has come, and the caller has nothing yet. */
AnswerState answered(int status, bool isIdempotent)
{
    AnswerState state;
    state.hasHead = true;
    state.status = status;
    state.isIdempotent = isIdempotent;
    return state;
}

AnswerState begun(int status, bool isGivenAsItComes)
{
    AnswerState state = answered(status, true);
    state.isAnswerBegun = true;
    state.isGivenAsItComes = isGivenAsItComes;
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
        for (unsigned bits = 0; bits < 64; ++bits) {
            AnswerState state;
            state.hasHead = (bits & 1U) != 0;
            state.status = status;
            state.didNotRun = (bits & 2U) != 0;
            state.isMisdirected = (bits & 4U) != 0;
            state.isIdempotent = (bits & 8U) != 0;
            state.isAnswerBegun = (bits & 16U) != 0;
            state.isGivenAsItComes = (bits & 32U) != 0;
            CAPTURE(status);
            CAPTURE(bits);
            check(state);
        }
    }
}

} // namespace

TEST_CASE("what a whole answer means")
{
    struct Case
    {
        const char *what;
        AnswerState state;
        std::optional<AttemptVerdict> verdict;
    };
    const std::vector<Case> cases{
        {"good", answered(200, false), std::nullopt},
        {"the caller's own fault", answered(404, true), std::nullopt},
        {"failed, may run once", answered(500, false), std::nullopt},
        {"failed, may run again", answered(500, true), failed},
        {"full, with the word that it did not run", refused(503, false), full},
        {"another target's address", refused(421, true), misdirected},
        {"503 without that word, may run once", answered(503, false), std::nullopt},
        {"503 without that word, may run again", answered(503, true), failed},
        {"429 without that word", answered(429, true), std::nullopt},
        {"a stream that ended", begun(200, true), std::nullopt},
        {"a stream that another target was to go on with", begun(200, false), failed},
        {"a stream that another target could not go on with", begun(500, false), failed},
    };
    for (const Case &given : cases) {
        CAPTURE(given.what);
        CHECK(judgeWhole(given.state) == given.verdict);
    }
}

TEST_CASE("what is left where there is no whole answer")
{
    for (const AttemptEnd how : {AttemptEnd::NotSent, AttemptEnd::NoAnswer, AttemptEnd::Broken}) {
        CAPTURE(nameOf(how));
        CHECK(judgeLost(AnswerState(), how) == AttemptVerdict{how, TargetOutcome::Lost});
        CHECK(judgeLost(answered(200, true), how) == AttemptVerdict{how, TargetOutcome::Lost});
        // The head says all that matters: the rest of a refusal is not waited for.
        CHECK(judgeLost(refused(503, false), how) == full);
        CHECK(judgeLost(refused(421, true), how) == misdirected);
    }
}

TEST_CASE("why a wait was given up")
{
    struct Case
    {
        WaitVerdict why;
        bool hasHead;
        std::optional<AttemptVerdict> verdict;
    };
    const std::vector<Case> cases{
        {WaitVerdict::GoOn, false, std::nullopt},
        {WaitVerdict::GoOn, true, std::nullopt},
        {WaitVerdict::TimeUp, false, AttemptVerdict{AttemptEnd::TimeUp, TargetOutcome::Lost}},
        {WaitVerdict::TimeUp, true, AttemptVerdict{AttemptEnd::TimeUp, TargetOutcome::Neutral}},
        {WaitVerdict::NoConnection, false, AttemptVerdict{AttemptEnd::NotSent, TargetOutcome::Lost}},
        {WaitVerdict::NoConnection, true, AttemptVerdict{AttemptEnd::NotSent, TargetOutcome::Lost}},
        {WaitVerdict::Lost, false, AttemptVerdict{AttemptEnd::NoAnswer, TargetOutcome::Neutral}},
        {WaitVerdict::Lost, true, AttemptVerdict{AttemptEnd::Broken, TargetOutcome::Neutral}},
        {WaitVerdict::BetterElsewhere, false, AttemptVerdict{AttemptEnd::Silent, TargetOutcome::Lost}},
        {WaitVerdict::BetterElsewhere, true, AttemptVerdict{AttemptEnd::Silent, TargetOutcome::Lost}},
    };
    for (const Case &given : cases) {
        CAPTURE(nameOf(given.why));
        CAPTURE(given.hasHead);
        CHECK(judgeGivenUp(given.why, given.hasHead) == given.verdict);
    }
}

// What counts as not run is sent again, or refused with the promise that it never runs: only the target's word may
// bring that about.
TEST_CASE("in no state does a request count as not run without the target's word")
{
    forAllAnswers([](const AnswerState &state) {
        const bool hasWord = state.hasHead && (state.didNotRun || state.isMisdirected);
        const std::optional<AttemptVerdict> whole = judgeWhole(state);
        CHECK((whole && whole->end == AttemptEnd::NotRun) == hasWord);
        CHECK((!whole || whole->end == AttemptEnd::NotRun || whole->end == AttemptEnd::Failed));
        CHECK((judgeLost(state, AttemptEnd::NoAnswer).end == AttemptEnd::NotRun) == hasWord);
        CHECK((judgeLost(state, AttemptEnd::Broken).end == AttemptEnd::NotRun) == hasWord);
    });
}

TEST_CASE("in no state is a failure sent again that must run once")
{
    forAllAnswers([](const AnswerState &state) {
        const std::optional<AttemptVerdict> whole = judgeWhole(state);
        if (whole && whole->end == AttemptEnd::Failed) {
            CHECK((state.isIdempotent || state.isAnswerBegun));
            CHECK(whole->mark == TargetOutcome::Failed);
        }
    });
}

TEST_CASE("an answer that the caller has in part is only finished by what goes on with it")
{
    forAllAnswers([](const AnswerState &state) {
        if (state.isAnswerBegun && !state.isGivenAsItComes) {
            CHECK(judgeWhole(state).has_value());
        }
    });
}

TEST_CASE("no status is given to the caller that promises what the target has not")
{
    for (const int status : statuses) {
        CAPTURE(status);
        CHECK_FALSE(promisesTooMuch(status, true));
        const bool promises = status == 408 || status == 421 || status == 429 || status == 503;
        CHECK(promisesTooMuch(status, false) == promises);
        CHECK((markOfAnswer(status) == TargetOutcome::Failed) == (status >= 500));
        CHECK((markOfAnswer(status) == TargetOutcome::Answered) == (status < 500));
    }
}
