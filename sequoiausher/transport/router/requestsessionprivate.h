#pragma once

// The implementation of RequestSession: its state, and the actions of the request's flow.

#include "sequoiausher/coordination/answers/holdersearch.h"
#include "sequoiausher/coordination/flow/requestflow.h"
#include "sequoiausher/transport/router/answerrelay.h"
#include "sequoiausher/transport/router/attachedanswer.h"
#include "sequoiausher/transport/router/joinedanswer.h"
#include "sequoiausher/transport/router/node.h"
#include "sequoiausher/transport/router/queueplace.h"
#include "sequoiausher/transport/router/requestsession.h"
#include "sequoiausher/transport/router/targetcall.h"
#include "sequoiausher/transport/router/targetreservation.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace Sequoiausher {

/** The refusal of a request in a planned stop. */
Refuse stoppingRefusal(Ran ran);

class RequestSession::Private : public TargetCallListener
{
public:
    Private(const SessionContext &theContext, SessionOrder theOrder)
        : context(theContext)
        , order(std::move(theOrder))
        , claims(claimsKey(this->order))
        , flow(flowFactsOf(this->order))
        , place(theContext.node, this->order)
        , reservation(theContext.node, this->order)
        , relay(theContext, this->order)
        , joined(theContext.node.answers(), this->relay)
        , call(theContext.client,
               targetRequestOf(this->order, theContext.node.settings().limits.firstByteTimeout),
               *this)
    {
    }

    void targetHead(int status, const std::string &contentType) override;
    void targetPart(std::string_view bytes) override;
    void targetComplete(const TokenUsage &usage) override;
    void targetFailed(TargetFailure failure, const std::string &reason) override;

    void begin();
    bool joinRunning();
    AnswerTable::Wake wakeOfJoined() const;
    void pumpJoined();
    void joinedEnded(AnswerState state);
    void joinedLate();
    void breakOffJoined(const Refuse &refusal);

    void queue();
    void queueAnswered(const QueueDecision &decision);
    void queueRefused(Millis retryAfter);
    void queuedLate();
    bool mayBegin() const;
    void refuseStopping();
    void startFlow();

    void run(const FlowActions &actions);
    void act(const StartClaim &action);
    void act(const WithdrawClaim &action);
    void act(const Reserve &action);
    void act(const Requeue &action);
    void act(const ReleaseReservation &action);
    void act(const Dispatch &action);
    void act(const ResumeStream &action);
    void act(const CancelAtTarget &action);
    void act(const AttachToHolder &action);
    void act(const RelayHead &action);
    void act(const RelayEnd &action);
    void act(const Refuse &action);
    void act(const AbortAnswer &action);

    bool claimHolds();
    void callFailed(TargetFailure failure);
    void relayPart(std::string_view bytes);
    void refuseAtOnce(const Refuse &refusal);
    void end();

    void askHolder();
    void askElsewhere();
    void tickAttached(Millis now);
    void cancelAttached();
    void watchClient();
    void clientGone();
    std::string addressOf(const TargetId &target) const;

    SessionContext context;
    SessionOrder order;
    bool claims;
    RequestFlow flow;
    QueuePlace place;
    TargetReservation reservation;
    AnswerRelay relay;
    /** A running answer of this router that this request reads. */
    JoinedAnswer joined;
    /** An answer of another router. */
    AttachedAnswer attached;
    /** The router to request it from. */
    HolderSearch search;
    TargetCall call;
    std::weak_ptr<RequestSession> self;
    ClaimKey key;
    std::uint64_t bodyDigest = 0;
    /** The requests that are expected to last as long as this one. */
    std::string kind;
    /** When a target was first called. */
    std::optional<Millis> sentAt;
    /** Whether the target's answer was relayed whole. */
    bool isWhole = false;
    /** Whether the flow has begun. */
    bool started = false;
    bool keyUnrun = false;
    /** mayDispatch() has returned true: a further target has to keep its deadline. */
    bool wasDispatched = false;
    std::uint32_t dispatches = 0;
    bool done = false;
    TargetId target;
    int status = 0;
    std::string contentType;
};

} // namespace Sequoiausher
