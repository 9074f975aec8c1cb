#pragma once

// What happens to one request, and what is to be done about it: the events that go into a RequestFlow and the actions
// that come out. The caller carries the actions out in order and feeds their results back as later events.
//
//     for (const FlowAction &action : flow.start(now)) { std::visit(executor, action); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <string>
#include <variant>
#include <vector>

namespace Sequoiausher {

/** Whether the caller may believe that its request was run. */
enum class Ran {
    Yes,
    /** Surely not run: it may be sent again. */
    No,
    /** It may have run; the system does not send it again. */
    Unknown,
};

template<>
inline constexpr auto nameTable<Ran> = std::to_array<NameEntry<Ran>>({
    {Ran::Yes, "yes"},
    {Ran::No, "no"},
    {Ran::Unknown, "unknown"},
});

/** How a call to a target ended where it brought no whole answer. */
enum class TargetFailure {
    /** Nothing was written: the target never had the request. */
    NeverSent,
    /** The target itself says that it did not run the request. */
    RefusedByTarget,
    /** The connection was lost or silent before the answer's head. */
    NoHead,
    /** The answer began and broke off. */
    AnswerTruncated,
    /** The answer was another request's. */
    WrongAnswer,
    /** The engine does not know the stream that was to be resumed. */
    CannotResume,
};

template<>
inline constexpr auto nameTable<TargetFailure> = std::to_array<NameEntry<TargetFailure>>({
    {TargetFailure::NeverSent, "never-sent"},
    {TargetFailure::RefusedByTarget, "refused-by-target"},
    {TargetFailure::NoHead, "no-head"},
    {TargetFailure::AnswerTruncated, "broke-off"},
    {TargetFailure::WrongAnswer, "wrong-answer"},
    {TargetFailure::CannotResume, "cannot-resume"},
});

/** The outcome of a claim as the flow needs it. */
enum class ClaimResult {
    Acquired,
    /** Another attempt holds the key. */
    HeldByOther,
    BodyDiffers,
    NoQuorum,
};

/** What the claimant found out. */
struct ClaimFinding
{
    ClaimResult result = ClaimResult::NoQuorum;
    InstanceId holder;
    RequestId heldBy;
    Millis retryAfter;
};

/** Why a request ends without an answer from a target. */
enum class RefusalReason {
    ShedByLimit,
    NoTarget,
    PoolFull,
    NoQuorum,
    KeyReused,
    DeadlinePassed,
    RouterPaused,
    TargetUnreachable,
    OutcomeUnknown,
    ClientGone,
    Stopping,
};

template<>
inline constexpr auto nameTable<RefusalReason> = std::to_array<NameEntry<RefusalReason>>({
    {RefusalReason::ShedByLimit, "rate_limited"},
    {RefusalReason::NoTarget, "no_target"},
    {RefusalReason::PoolFull, "pool_full"},
    {RefusalReason::NoQuorum, "claim_no_quorum"},
    {RefusalReason::KeyReused, "idempotency_key_reused"},
    {RefusalReason::DeadlinePassed, "deadline_passed"},
    {RefusalReason::RouterPaused, "router_paused"},
    {RefusalReason::TargetUnreachable, "target_unreachable"},
    {RefusalReason::OutcomeUnknown, "outcome_unknown"},
    {RefusalReason::ClientGone, "client_gone"},
    {RefusalReason::Stopping, "stopping"},
});

/** Claim the request's idempotency key. */
struct StartClaim
{
};

/** Give the claim up: the request was not and will not be dispatched. */
struct WithdrawClaim
{
};

/** Reserve a place on a target other than these. */
struct Reserve
{
    std::vector<TargetId> excluded;
};

/** No target has room: wait in the queue, then go on with RequestFlow::requeued(). */
struct Requeue
{
    Millis retryAfter;
};

/** Give the reservation back. */
struct ReleaseReservation
{
};

/** Send the request to target. From here on it may have run. */
struct Dispatch
{
    TargetId target;
    /** Only over a connection known to work, since it cannot be sent twice. */
    bool freshConnection = false;
};

/** Ask target for the stream from the first chunk that is missing. */
struct ResumeStream
{
    TargetId target;
};

/** Tell target to stop working on the request, and close the connection. */
struct CancelAtTarget
{
    TargetId target;
};

/** Take the answer from the router that holds the key. */
struct AttachToHolder
{
    InstanceId holder;
    RequestId heldBy;
};

/** Pass the answer's head to the client. */
struct RelayHead
{
};

/** End the client's answer: it is whole. */
struct RelayEnd
{
};

/** Answer the client with an error in place of an answer. */
struct Refuse
{
    int status = 0;
    Ran ran = Ran::No;
    RefusalReason reason = RefusalReason::NoTarget;
    /** Zero: trying again is of no use. */
    Millis retryAfter;
};

/** The answer began and cannot be completed: an explicit error event, or a broken body. */
struct AbortAnswer
{
    RefusalReason reason = RefusalReason::OutcomeUnknown;
};

using FlowAction = std::variant<StartClaim,
                                WithdrawClaim,
                                Reserve,
                                Requeue,
                                ReleaseReservation,
                                Dispatch,
                                ResumeStream,
                                CancelAtTarget,
                                AttachToHolder,
                                RelayHead,
                                RelayEnd,
                                Refuse,
                                AbortAnswer>;

using FlowActions = std::vector<FlowAction>;

} // namespace Sequoiausher
