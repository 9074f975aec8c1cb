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

/** Returns a flow whose request was sent to firstTarget. */
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

TEST_CASE("a request without a key is reserved and sent, and its answer is relayed")
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

TEST_CASE("claim and reservation run in parallel, and the request is dispatched only after both")
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

TEST_CASE("a failed target call is resent, resumed or ended depending on whether it may have run")
{
    // Guards against running a request twice, and against reporting 'not run' for a request that ran: both depend on
    // how the call to the target failed.
    struct Case
    {
        const char *name;
        TargetFailure failure;
        bool idempotent;
        bool resumable;
        bool afterHead;
        bool triesNext;
        bool resumes;
        bool abortsAnswer;
    };
    const Case cases[] = {
        {"never sent: another target", TargetFailure::NeverSent, false, false, false, true, false, false},
        {"target refused: another target", TargetFailure::RefusedByTarget, false, false, false, true, false, false},
        {"no head: may have run", TargetFailure::NoHead, false, false, false, false, false, false},
        {"no head, idempotent: resent", TargetFailure::NoHead, true, false, false, true, false, false},
        {"no head from an engine: resumed", TargetFailure::NoHead, false, true, false, false, true, false},
        {"answer truncated at an engine: resumed",
         TargetFailure::AnswerTruncated,
         false,
         true,
         true,
         false,
         true,
         false},
        {"answer truncated at a service", TargetFailure::AnswerTruncated, false, false, true, false, false, true},
        {"answer truncated, idempotent, head already relayed",
         TargetFailure::AnswerTruncated,
         true,
         false,
         true,
         false,
         false,
         true},
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
        CHECK(has<AbortAnswer>(actions) == each.abortsAnswer);
        const bool ends = !each.triesNext && !each.resumes;
        CHECK(flow->isDone() == ends);
        if (ends) {
            CHECK(has<ReleaseReservation>(actions));
            CHECK(!has<WithdrawClaim>(actions));
        }
        if (ends && !each.abortsAnswer) {
            REQUIRE(has<Refuse>(actions));
            CHECK(find<Refuse>(actions)->ran == Ran::Unknown);
        }
    }
}

TEST_CASE("if no target accepts the request, it is reported as not run and its claim is withdrawn")
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

TEST_CASE("an idempotent request that may have run once is never reported as not run")
{
    // Guards against reporting 'not run' by the last failure only: the first target is silent after the request was
    // written, and the second refuses the connection.
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

TEST_CASE("a retry of a running request releases its place and attaches to the holder")
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

TEST_CASE("a retry that finds the pool full is not reported as not run before its claim is answered")
{
    // Guards against reporting 'not run' while a first attempt with the same key is running: the retry's reservation is
    // refused before its claim is answered, and a refused reservation does not show whether another attempt is running.
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

TEST_CASE("a retry whose holder turns out not to have run claims the key again")
{
    // Guards against refusing a retry although no attempt ran, and against two retries that each wait for the other as
    // the holder: the first attempt claims the key, finds no place and withdraws, while the retry already attaches to
    // it. The holder's 'not run' must not end the retry.
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

TEST_CASE("a place granted after the request ended is released")
{
    // Guards against a target's count that stays too high: the claim finds no quorum while the reservation is pending,
    // and the place that is granted afterwards must be released.
    RequestFlow flow(claimedFacts());
    flow.start(start);
    flow.claimed(start, ClaimFinding{ClaimResult::NoQuorum, {}, {}, Millis{300}});
    CHECK(flow.isDone());
    CHECK(has<ReleaseReservation>(flow.reserved(start, granted(firstTarget))));
}

TEST_CASE("a router that was paused between claim and dispatch sends nothing")
{
    // Guards against running a request twice: the router claims the key and is paused until the claim has expired, and
    // a retry is claimed and run elsewhere. The router must not act on its claim from before the pause.
    const auto flow = dispatched(claimedFacts());
    const FlowActions actions = flow->dispatchTooLate(start + Millis{4000});
    REQUIRE(has<Refuse>(actions));
    CHECK(find<Refuse>(actions)->ran == Ran::Unknown);
    CHECK(find<Refuse>(actions)->reason == RefusalReason::RouterPaused);
    CHECK(has<WithdrawClaim>(actions));
}

TEST_CASE("the deadline ends a request immediately, and the refusal reports whether it was run, as far as known")
{
    RequestFlow waiting(claimedFacts());
    waiting.start(start);
    const FlowActions claimPending = waiting.tick(start + Millis{5000});
    REQUIRE(has<Refuse>(claimPending));
    CHECK(find<Refuse>(claimPending)->ran == Ran::Unknown);
    CHECK(find<Refuse>(claimPending)->retryAfter > Millis{0});
    CHECK(has<WithdrawClaim>(claimPending));

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

TEST_CASE(
    "a request that a stopping router does not send is reported as not run, as far as no earlier dispatch may have")
{
    const auto keyed = dispatched(claimedFacts());
    const FlowActions withheld = keyed->dispatchWithheld(start);
    REQUIRE(has<Refuse>(withheld));
    CHECK(find<Refuse>(withheld)->ran == Ran::No);
    CHECK(find<Refuse>(withheld)->reason == RefusalReason::Stopping);
    CHECK(find<Refuse>(withheld)->retryAfter > Millis{0});
    CHECK(has<WithdrawClaim>(withheld));
    CHECK(has<ReleaseReservation>(withheld));
    CHECK(keyed->isDone());
    CHECK(keyed->dispatchWithheld(start).empty());

    FlowFacts idempotent;
    idempotent.idempotent = true;
    const auto resent = dispatched(idempotent);
    REQUIRE(has<Reserve>(resent->targetFailed(start, TargetFailure::NoHead)));
    REQUIRE(has<Dispatch>(resent->reserved(start, granted(secondTarget))));
    CHECK(find<Refuse>(resent->dispatchWithheld(start))->ran == Ran::Unknown);
}

// Guards against a connection that ends without a word at the end of a planned stop.
TEST_CASE("a router that ends reports whether each request was run, as far as known")
{
    RequestFlow waiting(FlowFacts{});
    waiting.start(start);
    CHECK(find<Refuse>(waiting.cutOff(start))->ran == Ran::No);

    RequestFlow claiming(claimedFacts());
    claiming.start(start);
    CHECK(find<Refuse>(claiming.cutOff(start))->ran == Ran::Unknown);

    const auto sent = dispatched(claimedFacts());
    const FlowActions cut = sent->cutOff(start);
    REQUIRE(has<Refuse>(cut));
    CHECK(find<Refuse>(cut)->ran == Ran::Unknown);
    CHECK(find<Refuse>(cut)->reason == RefusalReason::Stopping);
    CHECK(has<CancelAtTarget>(cut));
    CHECK_FALSE(has<WithdrawClaim>(cut));
    CHECK(sent->cutOff(start).empty());

    const auto relaying = dispatched(FlowFacts{});
    relaying->headArrived(start);
    REQUIRE(has<AbortAnswer>(relaying->cutOff(start)));
    CHECK(relaying->isDone());
}

TEST_CASE("a client that disconnects cancels its request, unless a retry may get the answer")
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

// Guards against overloading a failing pool: without a bound, each failed call is resent to the next target, which
// multiplies the load. Without a token in the budget the request ends, and the client is told whether it was run.
TEST_CASE("without a resend in the budget the request ends immediately, and the client is told whether it was run")
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
