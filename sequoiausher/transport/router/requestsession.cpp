#include "sequoiausher/transport/router/requestsession.h"

#include "sequoiausher/transport/router/flowresults.h"
#include "sequoiausher/transport/router/requestsessionprivate.h"

#include <utility>

namespace Sequoiausher {

RequestSession::RequestSession(const SessionContext &context, SessionOrder order)
    : d(std::make_unique<Private>(context, std::move(order)))
{
}

RequestSession::~RequestSession()
{
    this->d->joined.leave();
    this->d->context.node.requests().remove(this->d->order.request);
}

void RequestSession::begin()
{
    this->d->self = this->weak_from_this();
    this->d->context.node.requests().add(this->d->order.request, &this->d->context.loop, this->shared_from_this());
    this->d->begin();
}

void RequestSession::tick(Millis now)
{
    if (this->d->done) {
        return;
    }
    if (now >= this->d->order.deadline && this->d->joined.isFollowing()) {
        this->d->joinedLate();
        return;
    }
    if (now >= this->d->order.deadline && !this->d->started) {
        this->d->queuedLate();
        return;
    }
    this->d->call.tick(now);
    this->d->tickAttached(now);
    this->d->run(this->d->flow.tick(now));
}

void RequestSession::cutOff(Millis now)
{
    if (this->d->done) {
        return;
    }
    if (this->d->joined.isFollowing()) {
        this->d->joined.leave();
        this->d->breakOffJoined(stoppingRefusal(Ran::Unknown));
    } else if (!this->d->started) {
        this->d->refuseStopping();
    } else {
        this->d->cancelAttached();
        this->d->run(this->d->flow.cutOff(now));
    }
}

bool RequestSession::isDone() const
{
    return this->d->done;
}

void RequestSession::claimEnded(const ClaimOutcome &outcome)
{
    this->d->run(this->d->flow.claimed(Millis::monotonicNow(), claimFindingOf(outcome)));
}

void RequestSession::reservationEnded(const ReserveResult &result)
{
    const bool noTarget = result.outcome == ReserveOutcome::NoTarget;
    if (noTarget && !this->d->done && this->d->reservation.askAgainWithPaused()) {
        return;
    }
    this->d->run(this->d->flow.reserved(Millis::monotonicNow(), reserveReplyOf(result)));
}

void RequestSession::queueDecided(const QueueDecision &decision)
{
    if (this->d->done || decision.verdict == QueueVerdict::Queue) {
        return;
    }
    const bool mayGoOn = decision.verdict == QueueVerdict::Dispatch;
    const Millis now = Millis::monotonicNow();
    if (mayGoOn && this->d->place.isAtGate()) {
        this->d->queueAnswered(this->d->place.enterPool());
    } else if (!this->d->started) {
        this->d->queueAnswered(decision);
    } else if (mayGoOn) {
        this->d->run(this->d->flow.requeued(now));
    } else {
        this->d->run(this->d->flow.shed(now, decision.retryAfter));
    }
}

void RequestSession::attachReplied(const InstanceId &from, const AttachReply &reply)
{
    const Millis now = Millis::monotonicNow();
    // A late word of one that was asked before says nothing of the one that is asked now.
    if (this->d->done || this->d->attached.holder() != from) {
        return;
    }
    this->d->attached.heard(now);
    if (reply.verdict == AttachVerdict::Waits) {
        return;
    }
    if (reply.verdict == AttachVerdict::Follows) {
        this->d->status = static_cast<int>(reply.status);
        this->d->contentType = reply.contentType;
        this->d->run(this->d->flow.headArrived(now));
        return;
    }
    // A holder that gave its attempt up says so; this call may simply be tried again.
    if (reply.verdict == AttachVerdict::NotRun && this->d->search.isLastAskedHolder()) {
        this->d->run(this->d->flow.attachFailed(now, Ran::No));
    } else {
        this->d->askElsewhere();
    }
}

void RequestSession::attachChunk(const AttachChunk &chunk)
{
    if (this->d->done || !this->d->attached.isFollowing()) {
        return;
    }
    const auto fresh = this->d->attached.take(Millis::monotonicNow(), chunk);
    if (fresh && !fresh->empty()) {
        this->d->relayPart(*fresh);
    }
}

void RequestSession::attachEnded(const AttachEnd &end)
{
    const Millis now = Millis::monotonicNow();
    if (this->d->done || !this->d->attached.isFollowing()) {
        return;
    }
    if (!end.complete) {
        this->d->run(this->d->flow.attachFailed(now, Ran::Unknown));
    } else if (this->d->attached.isWhole(now, end)) {
        this->d->run(this->d->flow.answerComplete(now));
    }
}

void RequestSession::peerLost(const InstanceId &peer)
{
    if (!this->d->done && this->d->attached.holder() == peer) {
        this->d->askElsewhere();
    }
}

} // namespace Sequoiausher
