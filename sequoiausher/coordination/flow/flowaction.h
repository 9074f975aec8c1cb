#pragma once

// The types of the inputs and outputs of a RequestFlow: the outcomes that it is informed of, and the actions that it
// returns. The caller executes the actions in order, and reports their results to the RequestFlow.
//
//     for (const FlowAction &action : flow.start(now)) { std::visit(executor, action); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <string>
#include <variant>
#include <vector>

namespace Sequoiausher {

/** Whether a request was run, as reported to the client. */
enum class Ran {
    Yes,
    /** Certainly not run, so it may be resent. */
    No,
    /** The request may have run; it is resent only if it is idempotent. */
    Unknown,
};

template<>
inline constexpr auto nameTable<Ran> = std::to_array<NameEntry<Ran>>({
    {Ran::Yes, "yes"},
    {Ran::No, "no"},
    {Ran::Unknown, "unknown"},
});

/** Why a call to a target gave no complete answer. */
enum class TargetFailure {
    /** Nothing was written, so the target never received the request. */
    NeverSent,
    /** The target reported that it did not run the request. */
    RefusedByTarget,
    /** The connection was lost or silent before the head of the answer. */
    NoHead,
    /** The answer began but was not completed. */
    AnswerTruncated,
    /** The answer belongs to another request. */
    WrongAnswer,
    /** The engine no longer has the stream that was to be resumed. */
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

/** The result of claiming an idempotency key. */
enum class ClaimResult {
    Acquired,
    /** Another attempt holds the key. */
    HeldByOther,
    BodyDiffers,
    NoQuorum,
};

/** The result of a claim, and the current holder of the key if there is another. */
struct ClaimFinding
{
    ClaimResult result = ClaimResult::NoQuorum;
    InstanceId holder;
    RequestId heldBy;
    Millis retryAfter;
};

/** Why a request ends without a complete answer from a target. */
enum class RefusalReason {
    RateLimited,
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
    {RefusalReason::RateLimited, "rate_limited"},
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

/** Withdraw the claim. The request was not dispatched and will not be. */
struct WithdrawClaim
{
};

/** Reserve a place on a target that is not excluded. */
struct Reserve
{
    std::vector<TargetId> excluded;
};

/** Wait in the queue, since no target has room, then call RequestFlow::requeued(). */
struct Requeue
{
    Millis retryAfter;
};

/** Release the reservation. */
struct ReleaseReservation
{
};

/** Send the request to the target. From this point on, the request may have run. */
struct Dispatch
{
    TargetId target;
    /** Use only a connection that is known to work, since the request cannot be resent. */
    bool freshConnection = false;
};

/** Request the stream from the target, beginning with the first missing chunk. */
struct ResumeStream
{
    TargetId target;
};

/** Cancel the request at the target, and close the connection. */
struct CancelAtTarget
{
    TargetId target;
};

/** Get the answer from the router that holds the key. */
struct AttachToHolder
{
    InstanceId holder;
    RequestId heldBy;
};

/** Send the head of the answer to the client. */
struct RelayHead
{
};

/** End the complete answer to the client. */
struct RelayEnd
{
};

/** Send an error to the client instead of an answer. */
struct Refuse
{
    int status = 0;
    Ran ran = Ran::No;
    RefusalReason reason = RefusalReason::NoTarget;
    /** Zero if the client is given no retry delay. */
    Millis retryAfter;
};

/** End an answer that has begun and cannot be completed, with an error event or an incomplete body. */
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
