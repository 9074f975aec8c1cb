#include "sequoiausher/transport/router/requestsessionprivate.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/base/log/log.h"

#include <QMetaObject>
#include <QObject>

#include <variant>

namespace Sequoiausher {

namespace {

constexpr int statusUnavailable = 503;
constexpr int statusTooMany = 429;
constexpr int statusTimeout = 504;
constexpr Millis deadlineRetry{1000};
constexpr Millis stoppingRetry{1000};
constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;

constexpr Refuse outcomeUnknown{statusConflict, Ran::Unknown, RefusalReason::OutcomeUnknown, Millis{0}};

std::string kindOf(const SessionOrder &order)
{
    return order.decision.pool.value + "/" + std::string(nameOf(order.parsed.requestClass));
}

} // namespace

Refuse stoppingRefusal(Ran ran)
{
    return Refuse{statusUnavailable, ran, RefusalReason::Stopping, stoppingRetry};
}

void RequestSession::Private::targetHead(int code, const std::string &type)
{
    this->status = code;
    this->contentType = type;
    this->context.node.targetAnswered(this->target);
    this->run(this->flow.headArrived(Millis::monotonicNow()));
}

void RequestSession::Private::targetPart(std::string_view bytes)
{
    this->relayPart(bytes);
}

void RequestSession::Private::targetComplete(const TokenUsage &usage)
{
    if (usage.promptTokens > 0) {
        this->context.metrics.countTokens(this->order.labels, usage.promptTokens, usage.cachedTokens);
    }
    this->run(this->flow.answerComplete(Millis::monotonicNow()));
}

void RequestSession::Private::targetFailed(TargetFailure failure, const std::string &reason)
{
    this->context.log.warning(LogPart::Targets,
                              "a call to a target failed",
                              {{"peer", this->target.value},
                               {"failure", std::string(nameOf(failure))},
                               {"reason", reason},
                               {"request", this->order.request.toHex()}});
    this->context.metrics.add("target_failures_total{failure=\"" + std::string(nameOf(failure)) + "\"}");
    const bool unreachable = failure == TargetFailure::NeverSent || failure == TargetFailure::NoHead
        || failure == TargetFailure::AnswerTruncated;
    if (unreachable) {
        this->context.node.targetFailed(this->target);
    }
    this->callFailed(failure);
}

// A resend needs a token: without a budget, a pool that loses half of its targets would be given twice the load. A
// request that no target has received is no load yet.
void RequestSession::Private::callFailed(TargetFailure failure)
{
    const Decision &decision = this->order.decision;
    const bool needsToken = failure != TargetFailure::NeverSent && this->flow.wouldResend(failure);
    const bool allowed = !needsToken || this->context.node.mayResend(decision.pool, decision.retryBudgetPercent);
    if (!allowed) {
        this->context.metrics.add("resends_denied_total");
    }
    this->run(this->flow.targetFailed(Millis::monotonicNow(), failure, allowed));
}

void RequestSession::Private::begin()
{
    const Millis now = Millis::monotonicNow();
    this->relay.times().begin(now);
    this->watchClient();
    this->kind = kindOf(this->order);
    if (this->claims) {
        this->key = claimKeyOf(this->order.labels.organisation, this->order.parsed.idempotencyKey);
        this->bodyDigest = hash64(this->order.exchange->body(), hash64(this->order.parsed.path));
        if (this->joinRunning()) {
            return;
        }
    }
    this->queue();
}

// A retry that reached the router where the first attempt runs takes its answer; nothing is claimed or reserved.
bool RequestSession::Private::joinRunning()
{
    const StartResult result = this->relay.kept().start(Millis::monotonicNow(), this->key, this->bodyDigest);
    if (result.verdict == StartVerdict::Started) {
        return false;
    }
    if (result.verdict == StartVerdict::BodyDiffers) {
        this->refuseAtOnce(Refuse{statusUnprocessable, Ran::No, RefusalReason::KeyReused, Millis{0}});
        return true;
    }
    if (!this->joined.attach(result.attempt, this->wakeOfJoined())) {
        this->refuseAtOnce(outcomeUnknown);
        return true;
    }
    this->relay.attachedTo(result.attempt);
    this->pumpJoined();
    return true;
}

AnswerTable::Wake RequestSession::Private::wakeOfJoined() const
{
    return [loop = &this->context.loop, weak = this->self] {
        const auto pump = [weak] {
            if (const auto alive = weak.lock()) {
                alive->d->pumpJoined();
            }
        };
        QMetaObject::invokeMethod(loop, pump, Qt::QueuedConnection);
    };
}

void RequestSession::Private::pumpJoined()
{
    if (this->done) {
        return;
    }
    const AnswerState state = this->joined.pump();
    if (state != AnswerState::Running) {
        this->joinedEnded(state);
    }
}

void RequestSession::Private::joinedEnded(AnswerState state)
{
    if (state == AnswerState::Complete) {
        this->relay.completeJoined();
        this->done = true;
    } else if (state == AnswerState::NotRun) {
        // The first attempt was given up before anything was sent; this call takes its place, or follows the one that
        // already did.
        this->relay.attachedTo(this->order.request);
        if (!this->joinRunning()) {
            this->queue();
        }
    } else {
        this->breakOffJoined(outcomeUnknown);
    }
}

// The deadline of a retry that reads along.
void RequestSession::Private::joinedLate()
{
    this->joined.leave();
    this->breakOffJoined(Refuse{statusTimeout, Ran::Unknown, RefusalReason::DeadlinePassed, deadlineRetry});
}

// The answer may have begun: an error in its place would come too late then, and an end without a word would pass for
// a lost connection.
void RequestSession::Private::breakOffJoined(const Refuse &refusal)
{
    if (!this->joined.isHeadTold()) {
        this->refuseAtOnce(refusal);
        return;
    }
    this->relay.breakOffJoined(refusal);
    this->done = true;
}

// Not before a kept answer of the key was looked for: that one is served in a stop, too.
void RequestSession::Private::queue()
{
    if (!this->mayBegin()) {
        this->refuseStopping();
        return;
    }
    this->queueAnswered(this->place.enter(this->relay.times().begunAt()));
}

void RequestSession::Private::queueAnswered(const QueueDecision &decision)
{
    if (decision.verdict == QueueVerdict::Dispatch) {
        this->startFlow();
    } else if (decision.verdict == QueueVerdict::Refuse) {
        this->queueRefused(decision.retryAfter);
    }
}

// Before the flow began: the rule's own limit says 429, a pool without room 503.
void RequestSession::Private::queueRefused(Millis retryAfter)
{
    const Ran ran = this->claims ? Ran::Unknown : Ran::No;
    if (this->place.isAtGate()) {
        this->refuseAtOnce(Refuse{statusTooMany, ran, RefusalReason::RateLimited, retryAfter});
    } else {
        this->refuseAtOnce(Refuse{statusUnavailable, ran, RefusalReason::PoolFull, retryAfter});
    }
}

// The deadline of a request whose flow has not begun.
void RequestSession::Private::queuedLate()
{
    const Ran ran = this->claims ? Ran::Unknown : Ran::No;
    this->refuseAtOnce(Refuse{statusTimeout, ran, RefusalReason::DeadlinePassed, deadlineRetry});
}

bool RequestSession::Private::mayBegin() const
{
    return this->context.node.mayBegin(this->kind, this->order.deadline);
}

void RequestSession::Private::refuseStopping()
{
    this->refuseAtOnce(stoppingRefusal(this->claims ? Ran::Unknown : Ran::No));
}

void RequestSession::Private::startFlow()
{
    this->started = true;
    const Millis now = Millis::monotonicNow();
    this->relay.times().leftQueues(now);
    this->context.node.countRequest(this->order.decision.pool, this->order.decision.retryBudgetPercent);
    this->run(this->flow.start(now));
}

// An end before the flow began, or beside it.
void RequestSession::Private::refuseAtOnce(const Refuse &refusal)
{
    this->joined.leave();
    this->act(refusal);
    this->end();
}

void RequestSession::Private::end()
{
    this->place.leave();
    if (this->sentAt) {
        this->context.node.workEnded(this->kind, *this->sentAt, this->isWhole);
        this->sentAt.reset();
    }
    this->done = true;
}

void RequestSession::Private::run(const FlowActions &actions)
{
    for (const FlowAction &action : actions) {
        std::visit([this](const auto &one) { this->act(one); }, action);
    }
    if (this->flow.isDone()) {
        this->end();
    }
}

void RequestSession::Private::act(const StartClaim &)
{
    this->attached.end();
    this->relay.attachedTo(this->order.request);
    this->context.node.claim(Claim{this->key, this->order.request, this->bodyDigest});
}

void RequestSession::Private::act(const WithdrawClaim &)
{
    Node &node = this->context.node;
    const RequestId &request = this->order.request;
    // After a pause the witnesses may have let another attempt run; then 'not run' is said of this call alone.
    this->keyUnrun = this->wasDispatched ? node.mayRedispatch(request) : node.isKeyUnrun(request);
    node.withdraw(request);
}

void RequestSession::Private::act(const Reserve &action)
{
    this->reservation.ask(action.excluded);
}

void RequestSession::Private::act(const Requeue &action)
{
    this->context.node.requeue(this->order.decision.pool, this->order.request, action.retryAfter);
}

void RequestSession::Private::act(const ReleaseReservation &)
{
    this->context.node.release(this->order.request);
}

void RequestSession::Private::act(const Dispatch &action)
{
    // The last moment at which a claim can be found too old, or a pause noticed in which the target may have left: from
    // here on the target may have the request.
    Node &node = this->context.node;
    if (!this->mayBegin()) {
        this->run(this->flow.dispatchWithheld(Millis::monotonicNow()));
        return;
    }
    const bool holds = this->claimHolds();
    if (!node.mayServe() || !holds) {
        this->run(this->flow.dispatchTooLate(Millis::monotonicNow()));
        return;
    }
    this->wasDispatched = true;
    this->target = action.target;
    const std::optional<TargetView> found = node.target(this->order.decision.pool, action.target);
    if (!found) {
        this->callFailed(TargetFailure::NeverSent);
        return;
    }
    // The target may have started to leave while the request waited for its claim or for a place. Choosing another one
    // takes no retry from the budget, since no target has received the request.
    if (found->description.life.state != LifeState::Live) {
        this->context.metrics.add("dispatches_withheld_total");
        this->run(this->flow.targetFailed(Millis::monotonicNow(), TargetFailure::NeverSent, true));
        return;
    }
    node.targetTried(action.target);
    this->context.metrics.countDispatch(this->order.labels, action.target.value, this->dispatches > 0);
    ++this->dispatches;
    if (!this->sentAt) {
        this->sentAt = Millis::monotonicNow();
        node.workBegan(this->kind, *this->sentAt);
    }
    this->call.dispatch(found->description.address, action.freshConnection);
}

bool RequestSession::Private::claimHolds()
{
    if (!this->claims) {
        return true;
    }
    Node &node = this->context.node;
    const RequestId &request = this->order.request;
    return this->wasDispatched ? node.mayRedispatch(request) : node.mayDispatch(request);
}

void RequestSession::Private::act(const ResumeStream &action)
{
    this->call.resumeStream(this->addressOf(action.target));
}

void RequestSession::Private::act(const CancelAtTarget &action)
{
    this->call.cancel(this->addressOf(action.target));
}

void RequestSession::Private::act(const AttachToHolder &action)
{
    this->search = this->context.node.searchFor(this->key, action.holder);
    this->attached.begin(Millis::monotonicNow(), this->search.next().value_or(action.holder), action.heldBy);
    this->relay.attachedTo(action.heldBy);
    this->askHolder();
}

void RequestSession::Private::act(const RelayHead &)
{
    this->relay.head(this->status, this->contentType, this->target);
}

void RequestSession::Private::act(const RelayEnd &)
{
    const Outcome outcome = this->attached.isFollowing() ? Outcome::Attached : Outcome::Complete;
    this->isWhole = outcome == Outcome::Complete;
    this->relay.complete(outcome, this->flow.mayHaveRun());
}

void RequestSession::Private::act(const Refuse &action)
{
    Refuse refusal = action;
    if (this->claims && refusal.ran == Ran::No && refusal.reason != RefusalReason::KeyReused && !this->keyUnrun) {
        refusal.ran = Ran::Unknown;
    }
    if (refusal.reason == RefusalReason::Stopping) {
        this->order.exchange->closeAfterAnswer();
    }
    this->relay.refuse(refusal, this->flow.mayHaveRun(), !this->joined.isHeadTold());
}

void RequestSession::Private::act(const AbortAnswer &action)
{
    this->relay.breakOff(action.reason, this->flow.mayHaveRun());
}

void RequestSession::Private::relayPart(std::string_view bytes)
{
    if (!this->relay.part(bytes)) {
        return;
    }
    this->call.setPaused(true);
    this->relay.whenDrained([weak = this->self] {
        if (const auto alive = weak.lock()) {
            alive->d->call.setPaused(false);
        }
    });
}

void RequestSession::Private::askHolder()
{
    this->context.node.send(this->attached.holder(),
                            AttachRequest{this->order.request, this->key, this->attached.attempt()});
}

// The one that was asked does not know the answer, or is gone. If the holder stopped as planned, it handed it over.
void RequestSession::Private::askElsewhere()
{
    const Millis now = Millis::monotonicNow();
    if (const std::optional<InstanceId> next = this->search.next()) {
        this->attached.redirect(now, *next);
        this->askHolder();
    } else {
        this->run(this->flow.attachFailed(now, Ran::Unknown));
    }
}

void RequestSession::Private::tickAttached(Millis now)
{
    switch (this->attached.tick(now)) {
    case AttachStep::Nothing:
        break;
    case AttachStep::AskAgain:
        this->askHolder();
        break;
    case AttachStep::GiveUp:
        this->askElsewhere();
        break;
    }
}

void RequestSession::Private::cancelAttached()
{
    if (this->attached.isFollowing()) {
        this->context.node.send(this->attached.holder(), AttachCancel{this->order.request});
    }
}

std::string RequestSession::Private::addressOf(const TargetId &wanted) const
{
    const std::optional<TargetView> found = this->context.node.target(this->order.decision.pool, wanted);
    return found ? found->description.address : std::string();
}

void RequestSession::Private::watchClient()
{
    this->order.exchange->onClientGone([weak = this->self] {
        const auto alive = weak.lock();
        if (alive && !alive->d->done) {
            alive->d->clientGone();
        }
    });
}

void RequestSession::Private::clientGone()
{
    if (this->joined.isFollowing()) {
        this->joined.leave();
        this->done = true;
    } else if (this->started) {
        this->cancelAttached();
        this->run(this->flow.clientGone(Millis::monotonicNow()));
    } else {
        this->refuseAtOnce(Refuse{statusUnavailable, Ran::No, RefusalReason::ClientGone, Millis{0}});
    }
}

} // namespace Sequoiausher
