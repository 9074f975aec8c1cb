#include "sequoiausher/coordination/gateway/requestattempts.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr Millis now{10000};
constexpr Millis later{13000};

/** Returns the configured results and counts the calls. */
class CountingSource : public RetrySource
{
public:
    bool findTarget(Millis /*now*/) override
    {
        this->targetsAsked += 1;
        return this->hasTarget;
    }
    bool takeRetry(Millis /*now*/) override
    {
        this->retriesAsked += 1;
        return this->hasRetry;
    }

    bool hasTarget = true;
    bool hasRetry = true;
    int targetsAsked = 0;
    int retriesAsked = 0;
};

/** An attempt that was sent, and how it ended. */
struct Try
{
    AttemptEnd end;
    bool mayHaveArrived;
};

NextStep play(RequestAttempts &attempts, const std::vector<Try> &tries, RetrySource &source)
{
    NextStep step = NextStep::SendAgain;
    for (const Try &given : tries) {
        attempts.recordSent();
        attempts.recordEnd(given.end, given.mayHaveArrived);
        step = attempts.decideNext(given.end, false, now, source);
    }
    return step;
}

/** Runs every sequence of up to mostTries attempts, with every result that the source may give. */
class AllHistories
{
public:
    using Check = std::function<void(const RequestAttempts &before,
                                     const Try &last,
                                     bool mayHaveRun,
                                     const CountingSource &source,
                                     bool isBegun,
                                     NextStep step)>;

    AllHistories(const AttemptBounds &given, Check look) : bounds(given), check(std::move(look))
    {
        this->goOn(RequestAttempts(given), false, 0);
    }

private:
    static constexpr int mostTries = 4;

    void goOn(const RequestAttempts &before, bool mayHaveRun, int tries)
    {
        for (const auto &end : nameTable<AttemptEnd>) {
            for (unsigned bits = 0; bits < 16; ++bits) {
                this->tryOnce(before, mayHaveRun, tries, {end.value, (bits & 1U) != 0}, bits);
            }
        }
    }

    void tryOnce(const RequestAttempts &before, bool mayHaveRun, int tries, const Try &given, unsigned bits)
    {
        CountingSource source;
        source.hasTarget = (bits & 2U) != 0;
        source.hasRetry = (bits & 4U) != 0;
        const bool isBegun = (bits & 8U) != 0;
        RequestAttempts attempts = before;
        attempts.recordSent();
        attempts.recordEnd(given.end, given.mayHaveArrived);
        const bool isNotRun = given.end == AttemptEnd::NotSent || given.end == AttemptEnd::NotRun;
        const bool mayHaveRunNow = mayHaveRun || (!isNotRun && given.mayHaveArrived);
        const NextStep step = attempts.decideNext(given.end, isBegun, now, source);
        this->check(attempts, given, mayHaveRunNow, source, isBegun, step);
        if (step == NextStep::SendAgain && tries + 1 < mostTries) {
            this->goOn(attempts, mayHaveRunNow, tries + 1);
        }
    }

    AttemptBounds bounds;
    Check check;
};

void forAllBounds(const std::function<void(const AttemptBounds &)> &run)
{
    for (unsigned bits = 0; bits < 4; ++bits) {
        for (std::uint32_t most = 1; most <= 2; ++most) {
            const AttemptBounds bounds{(bits & 1U) != 0, most, (bits & 2U) != 0, later};
            CAPTURE(bounds.isIdempotent);
            CAPTURE(bounds.mayRetry);
            CAPTURE(most);
            run(bounds);
        }
    }
}

} // namespace

TEST_CASE("next step after the attempts of a request")
{
    struct Case
    {
        const char *what;
        AttemptBounds bounds;
        std::vector<Try> tries;
        NextStep step;
        int retries;
    };
    const AttemptBounds once{false, 2, true, later};
    const AttemptBounds again{true, 2, true, later};
    const AttemptBounds fixed{true, 2, false, later};
    const std::vector<Case> cases{
        {"nothing was sent: the next attempt is no retry",
         once,
         {{AttemptEnd::NotSent, false}},
         NextStep::SendAgain,
         0},
        {"full: the next attempt is a retry", once, {{AttemptEnd::NotRun, true}}, NextStep::SendAgain, 1},
        {"connection lost, may run once", once, {{AttemptEnd::NoAnswer, true}}, NextStep::RespondUnknown, 0},
        {"connection lost, may run again", again, {{AttemptEnd::NoAnswer, true}}, NextStep::SendAgain, 1},
        {"connection lost, may run again, but its rule forbids a retry",
         fixed,
         {{AttemptEnd::NoAnswer, true}},
         NextStep::RespondUnknown,
         0},
        {"connection lost twice",
         again,
         {{AttemptEnd::NoAnswer, true}, {AttemptEnd::NoAnswer, true}},
         NextStep::RespondUnknown,
         1},
        {"a target that received nothing does not count",
         again,
         {{AttemptEnd::NotSent, false}, {AttemptEnd::NoAnswer, true}},
         NextStep::SendAgain,
         1},
        {"full after an attempt that may have run",
         again,
         {{AttemptEnd::NoAnswer, true}, {AttemptEnd::NotRun, true}},
         NextStep::RespondUnknown,
         1},
        {"full twice", once, {{AttemptEnd::NotRun, true}, {AttemptEnd::NotRun, true}}, NextStep::RefuseNotRun, 1},
        {"deadline exceeded", again, {{AttemptEnd::DeadlineExceeded, true}}, NextStep::RespondTimeout, 0},
        {"deadline exceeded, and nothing was sent",
         again,
         {{AttemptEnd::DeadlineExceeded, false}},
         NextStep::RefuseNotRun,
         0},
    };
    for (const Case &given : cases) {
        CAPTURE(given.what);
        RequestAttempts attempts(given.bounds);
        CountingSource source;
        CHECK(play(attempts, given.tries, source) == given.step);
        CHECK(source.retriesAsked == given.retries);
    }
}

TEST_CASE("after a failed connection another target is tried without a retry from the budget")
{
    RequestAttempts attempts({false, 1, true, later});
    CountingSource source;
    attempts.recordTarget(TargetId{"a"});
    CHECK(attempts.decideNext(AttemptEnd::NotSent, false, now, source) == NextStep::SendAgain);
    CHECK(source.retriesAsked == 0);
    source.hasTarget = false;
    CHECK(attempts.decideNext(AttemptEnd::NotSent, false, now, source) == NextStep::RefuseNotRun);
    CHECK(attempts.tried() == std::vector<TargetId>{TargetId{"a"}});
    CHECK(attempts.targetsUsed() == 0);
}

TEST_CASE("no other target is tried with too little time left")
{
    RequestAttempts attempts({true, 2, true, now + Millis{20}});
    CountingSource source;
    CHECK(play(attempts, {{AttemptEnd::NoAnswer, true}}, source) == NextStep::RespondUnknown);
    CHECK(source.targetsAsked == 0);
    CHECK(source.retriesAsked == 0);
}

// Guards against a request that leaves a silent target and takes two retries from the budget. The budget is asked
// before the target is left, since the request stays without a retry, and again when the attempt ends. The retry that
// was taken must therefore be remembered until it is sent.
TEST_CASE("a request that leaves its target takes one retry from the budget")
{
    RequestAttempts attempts({true, 2, true, later});
    CountingSource source;
    attempts.recordSent();
    CHECK(attempts.mayRunElsewhere());
    CHECK(attempts.tryLeaveTarget(now, source) == LeaveDecision::Leave);
    attempts.recordEnd(AttemptEnd::Silent, true);
    source.hasRetry = false;
    CHECK(attempts.decideNext(AttemptEnd::Silent, false, now, source) == NextStep::SendAgain);
    CHECK(source.retriesAsked == 1);
    attempts.recordSent();
    CHECK_FALSE(attempts.mayRunElsewhere());
}

TEST_CASE("each retry is taken from the budget separately")
{
    RequestAttempts attempts({true, 3, true, later});
    CountingSource source;
    attempts.recordSent();
    CHECK(attempts.tryLeaveTarget(now, source) == LeaveDecision::Leave);
    attempts.recordEnd(AttemptEnd::Silent, true);
    CHECK(attempts.decideNext(AttemptEnd::Silent, false, now, source) == NextStep::SendAgain);
    source.hasRetry = false;
    CHECK(play(attempts, {{AttemptEnd::NoAnswer, true}}, source) == NextStep::RespondUnknown);
    CHECK(source.retriesAsked == 2);
}

TEST_CASE("a request stays at its target without another one or without a retry")
{
    RequestAttempts attempts({true, 2, true, later});
    CountingSource source;
    attempts.recordSent();
    source.hasTarget = false;
    CHECK(attempts.tryLeaveTarget(now, source) == LeaveDecision::NoTarget);
    CHECK(source.retriesAsked == 0);
    source.hasTarget = true;
    source.hasRetry = false;
    CHECK(attempts.tryLeaveTarget(now, source) == LeaveDecision::NoRetry);
    // A retry that was denied does not count as taken.
    attempts.recordEnd(AttemptEnd::Broken, true);
    CHECK(attempts.decideNext(AttemptEnd::Broken, false, now, source) == NextStep::RespondUnknown);
    CHECK(source.retriesAsked == 2);
}

TEST_CASE("a request that may run at most once may not run elsewhere")
{
    RequestAttempts attempts({false, 2, true, later});
    attempts.recordSent();
    CHECK_FALSE(attempts.mayRunElsewhere());
}

TEST_CASE(
    "over all histories: a request that may have run is not reported as not run, nor sent again if not idempotent")
{
    forAllBounds([](const AttemptBounds &bounds) {
        AllHistories(bounds,
                     [&bounds](const auto &, const Try &last, bool mayHaveRun, const auto &, bool, NextStep step) {
                         CAPTURE(nameOf(last.end));
                         if (mayHaveRun) {
                             CHECK(step != NextStep::RefuseNotRun);
                             CHECK((bounds.isIdempotent || step != NextStep::SendAgain));
                         }
                     });
    });
}

TEST_CASE("over all histories: a retry is taken from the budget exactly when one is sent")
{
    forAllBounds([](const AttemptBounds &bounds) {
        AllHistories(
            bounds,
            [&bounds](
                const RequestAttempts &attempts, const Try &, bool, const CountingSource &source, bool, NextStep step) {
                const bool isRetry = attempts.targetsUsed() > 0;
                CHECK(source.targetsAsked <= 1);
                CHECK(source.retriesAsked <= 1);
                if (step == NextStep::SendAgain) {
                    CHECK(bounds.mayRetry);
                    CHECK(source.hasTarget);
                    CHECK(attempts.targetsUsed() < bounds.mostTargets);
                    CHECK(source.retriesAsked == (isRetry ? 1 : 0));
                } else if (source.retriesAsked > 0) {
                    CHECK(source.hasTarget);
                    CHECK_FALSE(source.hasRetry);
                }
            });
    });
}

// The reference decision asks for target and retry before it decides. RequestAttempts asks only for what it needs, and
// must come to the same decision.
TEST_CASE("over all histories: the decision equals the one made with all inputs known in advance")
{
    forAllBounds([](const AttemptBounds &bounds) {
        AllHistories(bounds,
                     [&bounds](const RequestAttempts &attempts,
                               const Try &last,
                               bool mayHaveRun,
                               const CountingSource &source,
                               bool isBegun,
                               NextStep step) {
                         AttemptState state;
                         state.isIdempotent = bounds.isIdempotent;
                         state.mayHaveRun = mayHaveRun;
                         state.isAnswerBegun = isBegun;
                         state.targetsUsed = attempts.targetsUsed();
                         state.mostTargets = bounds.mostTargets;
                         state.timeLeft = bounds.deadline - now;
                         const bool isPaid = attempts.targetsUsed() == 0 || source.hasRetry;
                         state.isRetryAllowed = bounds.mayRetry && source.hasTarget && isPaid;
                         CHECK(step == decideNextStep(state, last.end));
                     });
    });
}

// Guards against abandoning a request early with a 502 although its rule forbids a retry, and against cutting a long
// answer whose target has only paused. Both happen if a wait ends as if another target could take the request.
TEST_CASE("a request keeps waiting for its target where no other target can take it")
{
    RequestAttempts again({true, 2, true, later});
    again.recordSent();
    CHECK(again.mayRunElsewhere());
    again.markAnswerNotResumable();
    CHECK_FALSE(again.mayRunElsewhere());
    CountingSource source;
    again.recordEnd(AttemptEnd::Broken, true);
    CHECK(again.decideNext(AttemptEnd::Broken, true, now, source) == NextStep::CutOff);
    CHECK(source.retriesAsked == 0);
    RequestAttempts fixed({true, 2, false, later});
    fixed.recordSent();
    CHECK_FALSE(fixed.mayRunElsewhere());
}
