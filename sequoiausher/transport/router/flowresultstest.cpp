#include "sequoiausher/transport/router/flowresults.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

TEST_CASE("a claim's end is told with its holder and its time to come back")
{
    struct Case
    {
        ClaimOutcomeKind kind;
        ClaimResult result;
    };
    const std::vector<Case> cases{
        {ClaimOutcomeKind::Acquired, ClaimResult::Acquired},
        {ClaimOutcomeKind::HeldBy, ClaimResult::HeldByOther},
        {ClaimOutcomeKind::BodyDiffers, ClaimResult::BodyDiffers},
        {ClaimOutcomeKind::NoQuorum, ClaimResult::NoQuorum},
    };
    for (const Case &expected : cases) {
        CAPTURE(nameOf(expected.kind));
        ClaimOutcome outcome;
        outcome.kind = expected.kind;
        outcome.holder = InstanceId{"r2"};
        outcome.heldBy = RequestId{1, 2};
        outcome.retryAfter = Millis{300};
        const ClaimFinding finding = claimFindingOf(outcome);
        CHECK(finding.result == expected.result);
        CHECK(finding.holder == InstanceId{"r2"});
        CHECK(finding.heldBy == RequestId{1, 2});
        CHECK(finding.retryAfter == Millis{300});
    }
}

TEST_CASE("a reservation that this router made alone counts as granted, and an owner out of reach as full")
{
    struct Case
    {
        ReserveOutcome outcome;
        ReserveVerdict verdict;
    };
    const std::vector<Case> cases{
        {ReserveOutcome::Granted, ReserveVerdict::Granted},
        {ReserveOutcome::GrantedLocally, ReserveVerdict::Granted},
        {ReserveOutcome::Full, ReserveVerdict::Full},
        {ReserveOutcome::Unreachable, ReserveVerdict::Full},
        {ReserveOutcome::NoTarget, ReserveVerdict::NoTarget},
    };
    for (const Case &expected : cases) {
        CAPTURE(nameOf(expected.outcome));
        const ReserveReply reply
            = reserveReplyOf(ReserveResult{RequestId{1, 2}, expected.outcome, TargetId{"t1"}, Millis{200}});
        CHECK(reply == ReserveReply{RequestId{1, 2}, expected.verdict, TargetId{"t1"}, Millis{200}});
    }
}

TEST_CASE("a refusal counts by its reason, and by whether the request may have run")
{
    struct Case
    {
        RefusalReason reason;
        Ran ran;
        Outcome outcome;
    };
    const std::vector<Case> cases{
        {RefusalReason::RateLimited, Ran::No, Outcome::RefusedLimit},
        {RefusalReason::NoTarget, Ran::No, Outcome::RefusedFull},
        {RefusalReason::PoolFull, Ran::No, Outcome::RefusedFull},
        {RefusalReason::TargetUnreachable, Ran::No, Outcome::RefusedFull},
        {RefusalReason::Stopping, Ran::No, Outcome::RefusedFull},
        {RefusalReason::Stopping, Ran::Unknown, Outcome::Unknown},
        {RefusalReason::NoQuorum, Ran::No, Outcome::RefusedNoQuorum},
        {RefusalReason::RouterPaused, Ran::No, Outcome::RefusedNoQuorum},
        {RefusalReason::KeyReused, Ran::No, Outcome::RefusedInvalid},
        {RefusalReason::DeadlinePassed, Ran::No, Outcome::RefusedDeadline},
        {RefusalReason::DeadlinePassed, Ran::Unknown, Outcome::Unknown},
        {RefusalReason::OutcomeUnknown, Ran::Unknown, Outcome::Unknown},
        {RefusalReason::ClientGone, Ran::No, Outcome::Cancelled},
    };
    for (const Case &expected : cases) {
        CAPTURE(nameOf(expected.reason));
        CHECK(outcomeOf(Refuse{0, expected.ran, expected.reason, Millis{0}}) == expected.outcome);
    }
}
