#include "sequoiausher/coordination/flow/requestflow.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

const TargetId firstTarget{"plate-01"};
const TargetId secondTarget{"plate-02"};
const Millis start{1000};

ReserveReply granted(const TargetId &target)
{
    return ReserveReply{RequestId{0, 1}, ReserveVerdict::Granted, target, Millis{0}};
}

template<typename Action>
const Action *find(const FlowActions &actions)
{
    for (const FlowAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

template<typename Action>
bool has(const FlowActions &actions)
{
    return find<Action>(actions) != nullptr;
}

FlowFacts claimedFacts()
{
    FlowFacts facts;
    facts.needsClaim = true;
    facts.deadline = start + Millis{5000};
    return facts;
}

/** A flow brought to the point where its request was sent to firstTarget. */
std::unique_ptr<RequestFlow> dispatched(const FlowFacts &facts)
{
    auto flow = std::make_unique<RequestFlow>(facts);
    flow->start(start);
    if (facts.needsClaim) {
        flow->claimed(start, ClaimFinding{ClaimResult::Acquired, {}, {}, {}});
    }
    const FlowActions actions = flow->reserved(start, granted(firstTarget));
    REQUIRE(has<Dispatch>(actions));
    return flow;
}

} // namespace

TEST_CASE("a request without a key is reserved, sent, relayed and released")
{
    FlowFacts facts;
    RequestFlow flow(facts);
    CHECK(has<Reserve>(flow.start(start)));
    const FlowActions sent = flow.reserved(start, granted(firstTarget));
    REQUIRE(has<Dispatch>(sent));
    CHECK(find<Dispatch>(sent)->target == firstTarget);
    CHECK(has<RelayHead>(flow.headArrived(start)));
    const FlowActions last = flow.answerComplete(start);
    CHECK(has<ReleaseReservation>(last));
    CHECK(has<RelayEnd>(last));
    CHECK(flow.isDone());
}

TEST_CASE("claim and reservation run side by side, and only both together dispatch")
{
    for (const bool claimFirst : {true, false}) {
        CAPTURE(claimFirst);
        RequestFlow flow(claimedFacts());
        const FlowActions begun = flow.start(start);
        CHECK(has<StartClaim>(begun));
        CHECK(has<Reserve>(begun));
        const ClaimFinding acquired{ClaimResult::Acquired, {}, {}, {}};
        const FlowActions one = claimFirst ? flow.claimed(start, acquired) : flow.reserved(start, granted(firstTarget));
        CHECK(!has<Dispatch>(one));
        const FlowActions two = claimFirst ? flow.reserved(start, granted(firstTarget)) : flow.claimed(start, acquired);
        CHECK(has<Dispatch>(two));
    }
}

TEST_CASE("a failed target call ends as honestly as what is known allows")
{
    // Symptom: a plate stamped twice, or a clerk told "not run" of a job that ran.
    // Sequence: a call to a target fails at some point of its life. Cause: what failed decides what may be said.
    struct Case
    {
        const char *name;
        TargetFailure failure;
        bool idempotent;
        bool resumable;
        bool afterHead;
        bool triesNext;
        bool resumes;
        bool breaksOff;
    };
    const Case cases[] = {
        {"never sent: another target", TargetFailure::NeverSent, false, false, false, true, false, false},
        {"target refused: another target", TargetFailure::RefusedByTarget, false, false, false, true, false, false},
        {"no head: may have run", TargetFailure::NoHead, false, false, false, false, false, false},
        {"no head, idempotent: sent again", TargetFailure::NoHead, true, false, false, true, false, false},
        {"no head from an engine: resumed", TargetFailure::NoHead, false, true, false, false, true, false},
        {"broke off at an engine: resumed", TargetFailure::AnswerTruncated, false, true, true, false, true, false},
        {"broke off at a service", TargetFailure::AnswerTruncated, false, false, true, false, false, true},
        {"broke off, idempotent, but begun", TargetFailure::AnswerTruncated, true, false, true, false, false, true},
        {"another request's answer", TargetFailure::WrongAnswer, false, false, false, false, false, false},
        {"cannot resume", TargetFailure::CannotResume, false, true, true, false, false, true},
    };
    for (const Case &each : cases) {
        CAPTURE(each.name);
        FlowFacts facts = claimedFacts();
        facts.idempotent = each.idempotent;
        facts.resumable = each.resumable;
        const auto flow = dispatched(facts);
        if (each.afterHead) {
            flow->headArrived(start);
        }
        const FlowActions actions = flow->targetFailed(start, each.failure);
        CHECK(has<Reserve>(actions) == each.triesNext);
        CHECK(has<ResumeStream>(actions) == each.resumes);
        CHECK(has<AbortAnswer>(actions) == each.breaksOff);
        const bool ends = !each.triesNext && !each.resumes;
        CHECK(flow->isDone() == ends);
        if (ends) {
            CHECK(has<ReleaseReservation>(actions));
            CHECK(!has<WithdrawClaim>(actions));
        }
        if (ends && !each.breaksOff) {
            REQUIRE(has<Refuse>(actions));
            CHECK(find<Refuse>(actions)->ran == Ran::Unknown);
        }
    }
}

TEST_CASE("when no target takes the request it was not run, and its claim is free again")
{
    const auto flow = dispatched(claimedFacts());
    FlowActions actions = flow->targetFailed(start, TargetFailure::NeverSent);
    CHECK(find<Reserve>(actions)->excluded == std::vector<TargetId>{firstTarget});
    flow->reserved(start, granted(secondTarget));
    actions = flow->targetFailed(start, TargetFailure::RefusedByTarget);
    CHECK(find<Reserve>(actions)->excluded == std::vector<TargetId>{firstTarget, secondTarget});
    actions = flow->reserved(start, ReserveReply{{}, ReserveVerdict::NoTarget, {}, Millis{700}});
    REQUIRE(has<Refuse>(actions));
    CHECK(find<Refuse>(actions)->ran == Ran::No);
    CHECK(find<Refuse>(actions)->retryAfter == Millis{700});
    CHECK(has<WithdrawClaim>(actions));
}

TEST_CASE("an idempotent request that may have run once is never called not run")
{
    // Symptom: 'not run' for a request that ran. Sequence: the first target falls silent after the request was
    // written, the second refuses the connection. Cause: only the last failure was looked at.
    FlowFacts facts = claimedFacts();
    facts.idempotent = true;
    const auto flow = dispatched(facts);
    flow->targetFailed(start, TargetFailure::NoHead);
    flow->reserved(start, granted(secondTarget));
    flow->targetFailed(start, TargetFailure::NeverSent);
    const FlowActions actions = flow->reserved(start, ReserveReply{{}, ReserveVerdict::NoTarget, {}, {}});
    REQUIRE(has<Refuse>(actions));
    CHECK(find<Refuse>(actions)->ran == Ran::Unknown);
    CHECK(!has<WithdrawClaim>(actions));
}

TEST_CASE("a retry of a running request gives its place back and attaches")
{
    RequestFlow flow(claimedFacts());
    flow.start(start);
    flow.reserved(start, granted(firstTarget));
    const ClaimFinding held{ClaimResult::HeldByOther, InstanceId{"r3"}, RequestId{1, 2}, {}};
    const FlowActions actions = flow.claimed(start, held);
    CHECK(has<ReleaseReservation>(actions));
    REQUIRE(has<AttachToHolder>(actions));
    CHECK(find<AttachToHolder>(actions)->holder == InstanceId{"r3"});
    CHECK(!has<WithdrawClaim>(actions));
    CHECK(has<RelayHead>(flow.headArrived(start)));
    CHECK(has<RelayEnd>(flow.answerComplete(start)));
}

TEST_CASE("a retry that finds the pool full is not called not run before its key was asked for")
{
    // Symptom: 'not run' for a plate that a first attempt is stamping. Sequence: the retry's reservation is refused
    // before its claim is answered. Cause: the refusal was taken for the fate of the request, which is the key's.
    const ReserveReply full{{}, ReserveVerdict::Full, {}, Millis{200}};
    const ClaimFinding held{ClaimResult::HeldByOther, InstanceId{"r3"}, RequestId{1, 2}, {}};
    RequestFlow retry(claimedFacts());
    retry.start(start);
    CHECK(retry.reserved(start, full).empty());
    CHECK(has<AttachToHolder>(retry.claimed(start, held)));

    RequestFlow first(claimedFacts());
    first.start(start);
    first.reserved(start, full);
    const FlowActions refused = first.claimed(start, ClaimFinding{ClaimResult::Acquired, {}, {}, {}});
    REQUIRE(has<Refuse>(refused));
    CHECK(find<Refuse>(refused)->ran == Ran::No);
    CHECK(find<Refuse>(refused)->retryAfter == Millis{200});
    CHECK(has<WithdrawClaim>(refused));
}

TEST_CASE("a retry whose holder turns out not to have run claims the key anew")
{
    // Symptom: a retry is refused though nobody ran the request, and two retries that take each other for the holder
    // wait for each other. Sequence: the first attempt claims, finds no place and withdraws; the retry was told of it
    // meanwhile. Cause: the holder's 'not run' ended the retry.
    const ClaimFinding held{ClaimResult::HeldByOther, InstanceId{"r3"}, RequestId{1, 2}, {}};
    RequestFlow retry(claimedFacts());
    retry.start(start);
    retry.claimed(start, held);
    const FlowActions again = retry.attachFailed(start, Ran::No);
    CHECK(has<StartClaim>(again));
    CHECK(has<Reserve>(again));
    CHECK(!has<Refuse>(again));
    retry.claimed(start, ClaimFinding{ClaimResult::Acquired, {}, {}, {}});
    CHECK(has<Dispatch>(retry.reserved(start, granted(firstTarget))));

    RequestFlow unlucky(claimedFacts());
    unlucky.start(start);
    FlowActions last;
    for (int i = 0; i < 4; ++i) {
        unlucky.claimed(start, held);
        last = unlucky.attachFailed(start, Ran::No);
    }
    REQUIRE(has<Refuse>(last));
    CHECK(find<Refuse>(last)->ran == Ran::Unknown);
}

TEST_CASE("a request without a key waits in the queue while the pool is full")
{
    RequestFlow flow(FlowFacts{});
    flow.start(start);
    const ReserveReply full{{}, ReserveVerdict::Full, {}, Millis{200}};
    CHECK(has<Requeue>(flow.reserved(start, full)));
    CHECK(has<Reserve>(flow.requeued(start)));
    CHECK(has<Dispatch>(flow.reserved(start, granted(firstTarget))));

    RequestFlow unlucky(FlowFacts{});
    unlucky.start(start);
    unlucky.reserved(start, full);
    const FlowActions refused = unlucky.shed(start, Millis{300});
    REQUIRE(has<Refuse>(refused));
    CHECK(find<Refuse>(refused)->ran == Ran::No);
}

TEST_CASE("a place granted after the request ended is given back")
{
    // Symptom: a target's count stays up for good. Sequence: the claim finds no quorum while the reservation is on
    // its way; the grant arrives afterwards. Cause: the late grant had no one to release it.
    RequestFlow flow(claimedFacts());
    flow.start(start);
    flow.claimed(start, ClaimFinding{ClaimResult::NoQuorum, {}, {}, Millis{300}});
    CHECK(flow.isDone());
    CHECK(has<ReleaseReservation>(flow.reserved(start, granted(firstTarget))));
}

TEST_CASE("a router that slept between claim and dispatch sends nothing")
{
    // Symptom: a plate stamped twice. Sequence: the router claims, sleeps past the claim's life, wakes and sends,
    // while a retry was claimed and run elsewhere. Cause: acting on what was believed before the pause.
    const auto flow = dispatched(claimedFacts());
    const FlowActions actions = flow->dispatchTooLate(start + Millis{4000});
    REQUIRE(has<Refuse>(actions));
    CHECK(find<Refuse>(actions)->ran == Ran::Unknown);
    CHECK(find<Refuse>(actions)->reason == RefusalReason::RouterPaused);
    CHECK(has<WithdrawClaim>(actions));
}

TEST_CASE("the deadline ends a request at once, with what is known")
{
    RequestFlow waiting(claimedFacts());
    waiting.start(start);
    const FlowActions notRun = waiting.tick(start + Millis{5000});
    REQUIRE(has<Refuse>(notRun));
    CHECK(find<Refuse>(notRun)->ran == Ran::Unknown);
    CHECK(find<Refuse>(notRun)->retryAfter > Millis{0});
    CHECK(has<WithdrawClaim>(notRun));

    FlowFacts unkeyed;
    unkeyed.deadline = start + Millis{5000};
    RequestFlow unclaimed(unkeyed);
    unclaimed.start(start);
    CHECK(find<Refuse>(unclaimed.tick(start + Millis{5000}))->ran == Ran::No);

    const auto running = dispatched(claimedFacts());
    const FlowActions unknown = running->tick(start + Millis{5000});
    REQUIRE(has<Refuse>(unknown));
    CHECK(find<Refuse>(unknown)->ran == Ran::Unknown);
    CHECK(has<CancelAtTarget>(unknown));
    CHECK(!has<WithdrawClaim>(unknown));
}

TEST_CASE("a client that goes away cancels its work, unless its retry may come for the answer")
{
    FlowFacts plain;
    const auto unclaimed = dispatched(plain);
    CHECK(has<CancelAtTarget>(unclaimed->clientGone(start)));
    CHECK(unclaimed->isDone());

    const auto claimed = dispatched(claimedFacts());
    CHECK(claimed->clientGone(start).empty());
    CHECK(!claimed->isDone());
    claimed->headArrived(start);
    CHECK(has<RelayEnd>(claimed->answerComplete(start)));
}

// Symptom: a pool in trouble is given a multiple of its load. Sequence: calls fail, each is sent to the next target.
// Cause: nothing bounded the resends. Without a token the request ends at once, and says what is known of it.
TEST_CASE("without a resend in the budget the request ends at once and honestly")
{
    struct Row
    {
        bool idempotent;
        TargetFailure failure;
        bool wouldResend;
        Ran ran;
    };
    const std::vector<Row> rows{
        {false, TargetFailure::NeverSent, true, Ran::No},
        {false, TargetFailure::RefusedByTarget, true, Ran::No},
        {false, TargetFailure::NoHead, false, Ran::Unknown},
        {true, TargetFailure::NoHead, true, Ran::Unknown},
    };
    for (const Row &row : rows) {
        CAPTURE(nameOf(row.failure));
        FlowFacts facts;
        facts.idempotent = row.idempotent;
        const auto flow = dispatched(facts);
        CHECK(flow->wouldResend(row.failure) == row.wouldResend);
        const FlowActions actions = flow->targetFailed(start, row.failure, false);
        CHECK_FALSE(has<Reserve>(actions));
        CHECK(has<ReleaseReservation>(actions));
        REQUIRE(has<Refuse>(actions));
        CHECK(find<Refuse>(actions)->ran == row.ran);
        CHECK((row.ran == Ran::Unknown || find<Refuse>(actions)->retryAfter > Millis{0}));
        CHECK(flow->isDone());
    }
}
