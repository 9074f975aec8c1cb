#pragma once

// The state machine of one request at its entry router: claim and reservation in parallel, dispatch, and relay of the
// answer. It decides whether a request may be resent, and reports to the client whether it was run, also after
// failures.
//
//     RequestFlow flow(FlowFacts{...});
//     auto actions = flow.start(now);              // StartClaim, Reserve
//     actions = flow.claimed(now, finding);        // none, until the reservation is granted too
//     actions = flow.reserved(now, reply);         // Dispatch{target}
//     actions = flow.headArrived(now);             // RelayHead
//     actions = flow.answerComplete(now);          // ReleaseReservation, RelayEnd

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/flow/flowaction.h"
#include "sequoiausher/coordination/messages/admissionmessages.h"

#include <memory>

namespace Sequoiausher {

/** The properties of a request that its flow depends on. */
struct FlowFacts
{
    /**
     * Whether the request has an idempotency key that must be claimed before dispatch. All requests with the same key
     * count as one request, and an earlier attempt may be running elsewhere. So if the request ends before the claim is
     * answered, it is reported as Ran::Unknown, except by clientGone(), which considers this attempt only.
     */
    bool needsClaim = false;
    /** Whether running the request twice is harmless, so that it may be resent after it may have run. */
    bool idempotent = false;
    /** Whether the target is an engine, whose streams can be resumed. */
    bool resumable = false;
    /** The time at which the client gives up. */
    Millis deadline = Millis::never();
    /** The maximum number of targets that the request is sent to. */
    int maxDispatches = 3;
    /** The maximum number of times that a broken stream is resumed. */
    int maxResumes = 2;
    /** The retry delay for clients if no other is known. */
    Millis retryAfter{1000};
};

/** The flow of one request. Not thread-safe: use it only on the worker that has the client's connection. */
class RequestFlow
{
public:
    explicit RequestFlow(const FlowFacts &facts);
    ~RequestFlow();
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    /** Starts the flow. Must be called exactly once. */
    FlowActions start(Millis now);

    /** The claim was answered. The finding is ignored if no claim is awaited. */
    FlowActions claimed(Millis now, const ClaimFinding &finding);

    /** The reservation was answered. A place that is granted when none is awaited is released. */
    FlowActions reserved(Millis now, const ReserveReply &reply);

    /** The queue let the request try another reservation after Requeue. */
    FlowActions requeued(Millis now);

    /** The queue refused the request after Requeue; nothing was sent. */
    FlowActions shed(Millis now, Millis retryAfter);

    /** The claim's time for dispatch had passed when Dispatch was executed; nothing was sent. */
    FlowActions dispatchTooLate(Millis now);

    /** The router stops before the request may have ended, so Dispatch was not executed; nothing was sent. */
    FlowActions dispatchWithheld(Millis now);

    /** The router ends now. Ends the request, and reports whether it was run. */
    FlowActions cutOff(Millis now);

    /** The answer of the target or holder began, and belongs to this request. */
    FlowActions headArrived(Millis now);

    /** The complete answer was relayed. */
    FlowActions answerComplete(Millis now);

    /** Whether targetFailed() would resend the request, so that the caller must check the retry budget first. */
    bool wouldResend(TargetFailure failure) const;

    /**
     * The call to the target failed.
     * @param budgetAllows whether the pool's retry budget has a resend left. Without one, a request that would be
     * resent ends, and the client is told whether it was run.
     */
    FlowActions targetFailed(Millis now, TargetFailure failure, bool budgetAllows = true);

    /**
     * The holder gave no complete answer. With Ran::No, the holder did not run the request. Then the key is claimed
     * again, up to a limit, if no head was relayed. Otherwise the request ends.
     */
    FlowActions attachFailed(Millis now, Ran ran);

    /** The client closed its connection. A claimed request that was sent continues, so a retry can get its answer. */
    FlowActions clientGone(Millis now);

    /** Ends the request if its deadline has passed. */
    FlowActions tick(Millis now);

    /** Returns the latest time at which tick() must be called. */
    Millis nextDeadline() const;

    /** Whether the request has ended. */
    bool isDone() const;

    /** Whether the request was sent to a target and may have run. */
    bool mayHaveRun() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
