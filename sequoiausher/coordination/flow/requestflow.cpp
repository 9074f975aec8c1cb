#include "sequoiausher/coordination/flow/requestflow.h"

#include <optional>

namespace Sequoiausher {

namespace {

constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
constexpr int statusClientClosed = 499;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

/**
 * The maximum number of times that a request claims its key: it does so again if the holder of the key did not run the
 * request.
 */
constexpr int maxClaimAttempts = 4;

enum class Stage {
    /** Waiting for the claim, the reservation or the queue. */
    Admitting,
    /** Sent to a target; no answer yet. */
    Dispatched,
    /** The answer is being relayed from a target. */
    Relaying,
    /** The answer comes from another router. */
    Attached,
    Done,
};

enum class HoldState {
    None,
    Awaited,
    Held,
};

bool isCertainlyNotRun(TargetFailure failure)
{
    return failure == TargetFailure::NeverSent || failure == TargetFailure::RefusedByTarget;
}

} // namespace

class RequestFlow::Private
{
public:
    explicit Private(const FlowFacts &flowFacts) : facts(flowFacts)
    {
    }

    void releaseHeld(FlowActions &actions);
    void finishWith(FlowActions &actions, const FlowAction &last);
    void refuseNotRun(FlowActions &actions, int status, RefusalReason reason, Millis retryAfter);
    void endWithUnknownOutcome(FlowActions &actions, int status, RefusalReason reason);
    void endEarly(FlowActions &actions, int status, RefusalReason reason);
    void dispatchIfReady(FlowActions &actions);
    bool canResume(TargetFailure failure) const;
    bool canResend(TargetFailure failure) const;
    void tryNextTarget(FlowActions &actions);
    bool restartAdmission(FlowActions &actions);

    FlowFacts facts;
    Stage stage = Stage::Admitting;
    HoldState claim = HoldState::None;
    HoldState reservation = HoldState::Awaited;
    TargetId target;
    std::vector<TargetId> excluded;
    /** Set if no target is available, until the claim shows whether an earlier attempt holds the key. */
    std::optional<Refuse> refusalAfterClaim;
    /** The claim showed that no other attempt with the key ran, so that 'not run' is certain. */
    bool isKeyOwned = false;
    int dispatches = 0;
    int resumes = 0;
    int claimAttempts = 1;
    /** The dispatch in progress, or an earlier one, may have run. */
    bool mayHaveRun = false;
    /** An earlier dispatch of this idempotent request may have run. */
    bool mayHaveRunEarlier = false;
    bool headRelayed = false;
};

// Releases the reservation, and withdraws the claim if the request certainly was not run. Withdrawing the claim of a
// request that may have run would let a retry run it a second time.
void RequestFlow::Private::releaseHeld(FlowActions &actions)
{
    if (this->reservation != HoldState::None) {
        actions.emplace_back(ReleaseReservation{});
        this->reservation = HoldState::None;
    }
    if (this->claim != HoldState::None && !this->mayHaveRun) {
        actions.emplace_back(WithdrawClaim{});
    }
    this->claim = HoldState::None;
}

void RequestFlow::Private::finishWith(FlowActions &actions, const FlowAction &last)
{
    this->releaseHeld(actions);
    actions.push_back(last);
    this->stage = Stage::Done;
}

// This attempt was not run. That no earlier attempt was run is certain only if there is no key, or this attempt
// acquired the key.
void RequestFlow::Private::refuseNotRun(FlowActions &actions, int status, RefusalReason reason, Millis retryAfter)
{
    const Ran ran = this->facts.needsClaim && !this->isKeyOwned ? Ran::Unknown : Ran::No;
    this->finishWith(actions, Refuse{status, ran, reason, retryAfter});
}

void RequestFlow::Private::endWithUnknownOutcome(FlowActions &actions, int status, RefusalReason reason)
{
    if (this->headRelayed) {
        this->finishWith(actions, AbortAnswer{reason});
    } else {
        this->finishWith(actions, Refuse{status, Ran::Unknown, reason, Millis{0}});
    }
}

// The end of a request whose target, holder or admission is still awaited.
void RequestFlow::Private::endEarly(FlowActions &actions, int status, RefusalReason reason)
{
    if (this->stage == Stage::Dispatched || this->stage == Stage::Relaying) {
        actions.emplace_back(CancelAtTarget{this->target});
        this->endWithUnknownOutcome(actions, status, reason);
    } else if (this->stage == Stage::Attached || this->mayHaveRun) {
        this->endWithUnknownOutcome(actions, status, reason);
    } else {
        this->refuseNotRun(actions, status, reason, this->facts.retryAfter);
    }
}

void RequestFlow::Private::dispatchIfReady(FlowActions &actions)
{
    if (this->claim == HoldState::Awaited || this->reservation != HoldState::Held) {
        return;
    }
    this->stage = Stage::Dispatched;
    this->dispatches += 1;
    this->mayHaveRun = true;
    actions.emplace_back(Dispatch{this->target, !this->facts.idempotent});
}

// A request may be resent if it certainly did not run, or if it may run twice.
bool RequestFlow::Private::canResend(TargetFailure failure) const
{
    const bool mayRunAgain = isCertainlyNotRun(failure) || (this->facts.idempotent && !this->headRelayed);
    return mayRunAgain && this->dispatches < this->facts.maxDispatches;
}

void RequestFlow::Private::tryNextTarget(FlowActions &actions)
{
    this->mayHaveRunEarlier = this->mayHaveRun;
    this->excluded.push_back(this->target);
    actions.emplace_back(ReleaseReservation{});
    actions.emplace_back(Reserve{this->excluded});
    this->reservation = HoldState::Awaited;
    this->stage = Stage::Admitting;
}

bool RequestFlow::Private::canResume(TargetFailure failure) const
{
    const bool streamMayExist = !isCertainlyNotRun(failure) && failure != TargetFailure::CannotResume;
    return streamMayExist && this->facts.resumable && this->resumes < this->facts.maxResumes;
}

// The holder did not run the request, so the key is free, and this attempt claims it again. Without this, a duplicate
// would be refused whenever the router of the first attempt found no place for that attempt, although no attempt ran.
bool RequestFlow::Private::restartAdmission(FlowActions &actions)
{
    if (this->claimAttempts >= maxClaimAttempts) {
        return false;
    }
    this->claimAttempts += 1;
    this->stage = Stage::Admitting;
    this->claim = HoldState::Awaited;
    this->reservation = HoldState::Awaited;
    this->refusalAfterClaim.reset();
    actions.emplace_back(StartClaim{});
    actions.emplace_back(Reserve{this->excluded});
    return true;
}

RequestFlow::RequestFlow(const FlowFacts &facts) : d(std::make_unique<Private>(facts))
{
}

RequestFlow::~RequestFlow() = default;

FlowActions RequestFlow::start(Millis now)
{
    FlowActions actions;
    if (now >= this->d->facts.deadline) {
        this->d->reservation = HoldState::None;
        this->d->refuseNotRun(actions, statusTimeout, RefusalReason::DeadlinePassed, this->d->facts.retryAfter);
        return actions;
    }
    if (this->d->facts.needsClaim) {
        this->d->claim = HoldState::Awaited;
        actions.emplace_back(StartClaim{});
    }
    actions.emplace_back(Reserve{});
    return actions;
}

FlowActions RequestFlow::claimed(Millis now, const ClaimFinding &finding)
{
    FlowActions actions = this->tick(now);
    if (this->d->stage != Stage::Admitting || this->d->claim != HoldState::Awaited) {
        return actions;
    }
    // Only an acquired claim may be withdrawn later.
    this->d->claim = finding.result == ClaimResult::Acquired ? HoldState::Held : HoldState::None;
    switch (finding.result) {
    case ClaimResult::Acquired:
        this->d->isKeyOwned = true;
        if (this->d->refusalAfterClaim) {
            const Refuse refuse = *this->d->refusalAfterClaim;
            this->d->refuseNotRun(actions, refuse.status, refuse.reason, refuse.retryAfter);
        } else {
            this->d->dispatchIfReady(actions);
        }
        break;
    case ClaimResult::HeldByOther:
        this->d->releaseHeld(actions);
        this->d->stage = Stage::Attached;
        actions.emplace_back(AttachToHolder{finding.holder, finding.heldBy});
        break;
    case ClaimResult::BodyDiffers:
        this->d->refuseNotRun(actions, statusUnprocessable, RefusalReason::KeyReused, Millis{0});
        break;
    case ClaimResult::NoQuorum:
        this->d->refuseNotRun(actions, statusUnavailable, RefusalReason::NoQuorum, finding.retryAfter);
        break;
    }
    return actions;
}

FlowActions RequestFlow::reserved(Millis now, const ReserveReply &reply)
{
    FlowActions actions = this->tick(now);
    if (this->d->stage != Stage::Admitting || this->d->reservation != HoldState::Awaited) {
        // The request ended or was attached to another router in the meantime. Release the place, or it would leak.
        if (reply.verdict == ReserveVerdict::Granted && this->d->reservation != HoldState::Held) {
            actions.emplace_back(ReleaseReservation{});
        }
        return actions;
    }
    if (reply.verdict == ReserveVerdict::Granted) {
        this->d->reservation = HoldState::Held;
        this->d->target = reply.target;
        this->d->dispatchIfReady(actions);
        return actions;
    }
    this->d->reservation = HoldState::None;
    const Millis retryAfter = reply.retryAfter > Millis{0} ? reply.retryAfter : this->d->facts.retryAfter;
    const RefusalReason reason
        = reply.verdict == ReserveVerdict::Full ? RefusalReason::PoolFull : RefusalReason::NoTarget;
    if (this->d->mayHaveRun) {
        // A resend of an idempotent request found no place, and the first dispatch may have run.
        this->d->endWithUnknownOutcome(actions, statusBadGateway, reason);
    } else if (this->d->claim == HoldState::Awaited) {
        this->d->refusalAfterClaim = Refuse{statusUnavailable, Ran::No, reason, retryAfter};
    } else if (reason == RefusalReason::PoolFull && !this->d->facts.needsClaim) {
        actions.emplace_back(Requeue{retryAfter});
    } else {
        this->d->refuseNotRun(actions, statusUnavailable, reason, retryAfter);
    }
    return actions;
}

FlowActions RequestFlow::requeued(Millis now)
{
    FlowActions actions = this->tick(now);
    if (this->d->stage == Stage::Admitting && this->d->reservation == HoldState::None) {
        this->d->reservation = HoldState::Awaited;
        actions.emplace_back(Reserve{this->d->excluded});
    }
    return actions;
}

FlowActions RequestFlow::shed(Millis now, Millis retryAfter)
{
    FlowActions actions = this->tick(now);
    if (this->d->stage == Stage::Admitting) {
        this->d->refuseNotRun(actions, statusUnavailable, RefusalReason::PoolFull, retryAfter);
    }
    return actions;
}

FlowActions RequestFlow::dispatchTooLate(Millis now)
{
    FlowActions actions;
    if (this->d->stage != Stage::Dispatched) {
        return actions;
    }
    (void)now;
    this->d->mayHaveRun = this->d->mayHaveRunEarlier;
    // While this router was paused, the witnesses may have dropped the claim and allowed another attempt to run.
    this->d->isKeyOwned = false;
    if (this->d->mayHaveRun) {
        this->d->endWithUnknownOutcome(actions, statusBadGateway, RefusalReason::RouterPaused);
    } else {
        this->d->refuseNotRun(actions, statusUnavailable, RefusalReason::RouterPaused, this->d->facts.retryAfter);
    }
    return actions;
}

FlowActions RequestFlow::dispatchWithheld(Millis now)
{
    FlowActions actions;
    if (this->d->stage != Stage::Dispatched) {
        return actions;
    }
    (void)now;
    this->d->mayHaveRun = this->d->mayHaveRunEarlier;
    if (this->d->mayHaveRun) {
        this->d->endWithUnknownOutcome(actions, statusUnavailable, RefusalReason::Stopping);
    } else {
        this->d->refuseNotRun(actions, statusUnavailable, RefusalReason::Stopping, this->d->facts.retryAfter);
    }
    return actions;
}

FlowActions RequestFlow::cutOff(Millis now)
{
    FlowActions actions = this->tick(now);
    if (this->d->stage != Stage::Done) {
        this->d->endEarly(actions, statusUnavailable, RefusalReason::Stopping);
    }
    return actions;
}

FlowActions RequestFlow::headArrived(Millis now)
{
    FlowActions actions = this->tick(now);
    if (this->d->stage == Stage::Dispatched) {
        this->d->stage = Stage::Relaying;
    }
    const bool relays = this->d->stage == Stage::Relaying || this->d->stage == Stage::Attached;
    if (relays && !this->d->headRelayed) {
        this->d->headRelayed = true;
        actions.emplace_back(RelayHead{});
    }
    return actions;
}

FlowActions RequestFlow::answerComplete(Millis now)
{
    FlowActions actions;
    (void)now;
    if (this->d->stage == Stage::Relaying || this->d->stage == Stage::Attached) {
        this->d->finishWith(actions, RelayEnd{});
    }
    return actions;
}

bool RequestFlow::wouldResend(TargetFailure failure) const
{
    const bool sent = this->d->stage == Stage::Dispatched || this->d->stage == Stage::Relaying;
    return sent && !this->d->canResume(failure) && this->d->canResend(failure);
}

FlowActions RequestFlow::targetFailed(Millis now, TargetFailure failure, bool budgetAllows)
{
    FlowActions actions = this->tick(now);
    if (this->d->stage != Stage::Dispatched && this->d->stage != Stage::Relaying) {
        return actions;
    }
    if (isCertainlyNotRun(failure)) {
        this->d->mayHaveRun = this->d->mayHaveRunEarlier;
    }
    if (this->d->canResume(failure)) {
        this->d->resumes += 1;
        actions.emplace_back(ResumeStream{this->d->target});
        return actions;
    }
    if (budgetAllows && this->d->canResend(failure)) {
        this->d->tryNextTarget(actions);
        return actions;
    }
    if (!this->d->mayHaveRun) {
        this->d->refuseNotRun(actions, statusUnavailable, RefusalReason::TargetUnreachable, this->d->facts.retryAfter);
        return actions;
    }
    actions.emplace_back(CancelAtTarget{this->d->target});
    this->d->endWithUnknownOutcome(actions, statusBadGateway, RefusalReason::OutcomeUnknown);
    return actions;
}

FlowActions RequestFlow::attachFailed(Millis now, Ran ran)
{
    FlowActions actions = this->tick(now);
    if (this->d->stage != Stage::Attached) {
        return actions;
    }
    if (ran == Ran::No && !this->d->headRelayed && this->d->restartAdmission(actions)) {
        return actions;
    }
    if (ran == Ran::No && !this->d->headRelayed) {
        this->d->refuseNotRun(actions, statusUnavailable, RefusalReason::TargetUnreachable, this->d->facts.retryAfter);
    } else {
        this->d->endWithUnknownOutcome(actions, statusConflict, RefusalReason::OutcomeUnknown);
    }
    return actions;
}

FlowActions RequestFlow::clientGone(Millis now)
{
    FlowActions actions;
    (void)now;
    const bool sent = this->d->stage == Stage::Dispatched || this->d->stage == Stage::Relaying;
    if (this->d->stage == Stage::Done || (sent && this->d->facts.needsClaim)) {
        return actions;
    }
    if (sent) {
        actions.emplace_back(CancelAtTarget{this->d->target});
    }
    const Ran ran = this->d->mayHaveRun ? Ran::Unknown : Ran::No;
    this->d->finishWith(actions, Refuse{statusClientClosed, ran, RefusalReason::ClientGone, Millis{0}});
    return actions;
}

FlowActions RequestFlow::tick(Millis now)
{
    FlowActions actions;
    if (this->d->stage == Stage::Done || now < this->d->facts.deadline) {
        return actions;
    }
    this->d->endEarly(actions, statusTimeout, RefusalReason::DeadlinePassed);
    return actions;
}

Millis RequestFlow::nextDeadline() const
{
    return this->isDone() ? Millis::never() : this->d->facts.deadline;
}

bool RequestFlow::isDone() const
{
    return this->d->stage == Stage::Done;
}

bool RequestFlow::mayHaveRun() const
{
    return this->d->mayHaveRun;
}

} // namespace Sequoiausher
