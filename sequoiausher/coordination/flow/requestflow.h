#pragma once

// The life of one request in its entry: claim and reservation side by side, one dispatch, the answer relayed, and an
// honest ending whatever fails. It decides what may be sent again and what the client may be told about it.
//
//     RequestFlow flow(FlowFacts{...});
//     auto actions = flow.start(now);              // StartClaim, Reserve
//     actions = flow.claimed(now, finding);        // nothing yet
//     actions = flow.reserved(now, reply);         // Dispatch{target}
//     actions = flow.headArrived(now);             // RelayHead
//     actions = flow.answerComplete(now);          // ReleaseReservation, RelayEnd

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/flow/flowaction.h"
#include "sequoiausher/coordination/messages/admissionmessages.h"

#include <memory>

namespace Sequoiausher {

/** What the flow must know of its request. */
struct FlowFacts
{
    /**
     * The request carries an idempotency key, so it is claimed before dispatch. Until the claim is answered nothing
     * is known of earlier attempts, so an end before that says 'unknown' and not 'not run': the request is the key's,
     * and a first attempt may be running elsewhere.
     */
    bool needsClaim = false;
    /** Running it twice does no harm: it may be sent again after it may have run. */
    bool idempotent = false;
    /** The target is an engine, whose streams can be resumed. */
    bool resumable = false;
    /** When the client gives up. */
    Millis deadline = Millis::never();
    /** How many targets are tried while it is certain that none has run the request. */
    int maxDispatches = 3;
    /** How often a broken stream is resumed. */
    int maxResumes = 2;
    /** What a client is told to wait where nothing better is known. */
    Millis retryAfter{1000};
};

/** One request's state machine. Not thread-safe: it lives on the worker that has the client's connection. */
class RequestFlow
{
public:
    explicit RequestFlow(const FlowFacts &facts);
    ~RequestFlow();
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    /** Begins; call once. */
    FlowActions start(Millis now);

    /** The claim came to an end. A finding that arrives when no claim is awaited is ignored. */
    FlowActions claimed(Millis now, const ClaimFinding &finding);

    /** The reservation was answered. An answer that arrives when none is awaited gives the place back. */
    FlowActions reserved(Millis now, const ReserveReply &reply);

    /** The queue let the request go on after Requeue. */
    FlowActions requeued(Millis now);

    /** The queue gave the request up after Requeue; nothing was sent. */
    FlowActions shed(Millis now, Millis retryAfter);

    /** The claim's time for dispatch had passed when Dispatch was carried out; nothing was sent. */
    FlowActions dispatchTooLate(Millis now);

    /** The target's or holder's answer began, and is this request's own. */
    FlowActions headArrived(Millis now);

    /** The whole answer was relayed. */
    FlowActions answerComplete(Millis now);

    /** Whether targetFailed() would send the request to another target, so that its budget must be asked first. */
    bool wouldResend(TargetFailure failure) const;

    /**
     * The call to the target failed.
     * @param budgetAllows whether the pool's budget has a resend left. Without one the request ends at once, and says
     *        of itself what is known.
     */
    FlowActions targetFailed(Millis now, TargetFailure failure, bool budgetAllows = true);

    /** The holder does not give the answer: it never ran there (retry), or nobody knows. */
    FlowActions attachFailed(Millis now, Ran ran);

    /** The client closed its connection. A claimed request goes on, for the client's retry to find its answer. */
    FlowActions clientGone(Millis now);

    /** Ends the request where its deadline has passed. */
    FlowActions tick(Millis now);

    /** When tick must be called at the latest. */
    Millis nextDeadline() const;

    /** Nothing is left to do. */
    bool isDone() const;

    /** The request was sent to a target and may have run. */
    bool mayHaveRun() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
