#include "sequoiausher/transport/router/requestsession.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/flow/requestflow.h"
#include "sequoiausher/transport/router/answerwriter.h"
#include "sequoiausher/transport/router/attachedanswer.h"

#include <QMetaObject>
#include <QObject>

namespace Sequoiausher {

namespace {

constexpr int statusUnavailable = 503;
constexpr int statusTooMany = 429;
constexpr int statusTimeout = 504;
constexpr int firstErrorStatus = 400;
constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
constexpr std::size_t readBytes = 64 * 1024;
/** A client that reads slowly: above the first the target is not read on, until the second is reached. */
constexpr std::size_t pauseAbove = std::size_t{1} << 20U;
constexpr std::size_t resumeBelow = std::size_t{256} << 10U;
constexpr std::size_t bytesPerCost = 4096;

Outcome outcomeOf(const Refuse &refuse)
{
    switch (refuse.reason) {
    case RefusalReason::ShedByLimit:
        return Outcome::RefusedLimit;
    case RefusalReason::NoQuorum:
    case RefusalReason::WokeLate:
        return Outcome::RefusedNoQuorum;
    case RefusalReason::KeyReused:
        return Outcome::RefusedInvalid;
    case RefusalReason::DeadlinePassed:
        return refuse.ran == Ran::No ? Outcome::RefusedDeadline : Outcome::Unknown;
    case RefusalReason::ClientGone:
        return Outcome::Cancelled;
    case RefusalReason::OutcomeUnknown:
        return Outcome::Unknown;
    case RefusalReason::NoTarget:
    case RefusalReason::PoolFull:
    case RefusalReason::TargetUnreachable:
    case RefusalReason::Stopping:
        break;
    }
    return Outcome::RefusedFull;
}

FlowFacts flowFacts(const SessionOrder &order, bool claims)
{
    FlowFacts facts;
    facts.claims = claims;
    facts.idempotent = order.decision.retry == RetryMode::Idempotent && !claims;
    facts.resumable = order.parsed.isChat && order.parsed.streamed;
    facts.deadline = order.deadline;
    facts.maxDispatches = order.decision.retry == RetryMode::None ? 1 : FlowFacts{}.maxDispatches;
    return facts;
}

TargetRequest targetRequest(const SessionContext &context, const SessionOrder &order)
{
    const HttpExchange &exchange = *order.exchange;
    TargetRequest request;
    request.request = order.request;
    request.method = exchange.method();
    request.path = exchange.path() + (exchange.query().empty() ? "" : "?" + exchange.query());
    request.headers = exchange.headers();
    // The caller's key is between the caller and this fleet.
    request.headers.remove("Authorization");
    request.headers.set("X-Priority", std::to_string(order.decision.priority));
    request.headers.set("X-Chat-Id", order.parsed.chat);
    request.body = exchange.body();
    request.isChat = order.parsed.isChat;
    request.streamed = order.parsed.streamed;
    request.firstByteTimeout = context.node.settings().limits.firstByteTimeout;
    request.deadline = order.deadline;
    return request;
}

} // namespace

class RequestSession::Private : public TargetCallListener
{
public:
    Private(const SessionContext &theContext, SessionOrder theOrder, bool claimsKey)
        : context(theContext)
        , order(std::move(theOrder))
        , claims(claimsKey)
        , flow(flowFacts(order, claimsKey))
        , writer(order.exchange, order.request, theContext.node.self())
        , call(theContext.client, targetRequest(theContext, order), *this)
    {
    }

    void targetHead(int status, const std::string &contentType) override;
    void targetPart(std::string_view bytes) override;
    void targetComplete(const TokenUsage &usage) override;
    void targetFailed(TargetFailure failure, const std::string &reason) override;

    void startFlow();
    bool joinRunning();
    void pumpJoined();
    void callFailed(TargetFailure failure);
    void reserve(const std::vector<TargetId> &excluded, bool leaveAlone);
    void leaveJoined();
    void enqueue();
    void enqueueInPool();
    void queueRefused(Millis retryAfter);
    void refuseAtOnce(Refuse refuse);
    void run(const FlowActions &actions);
    void act(const FlowAction &action);
    void dispatch(const Dispatch &action);
    void refuse(const Refuse &action);
    void relayPart(std::string_view bytes);
    void measurePart();
    void finishAnswer(AnswerState state, const std::string &reason);
    void count(Outcome outcome);
    void leaveQueue();
    void askHolder();
    void tickAttached(Millis now);
    void watchClient();
    std::string addressOf(const TargetId &target) const;

    SessionContext context;
    SessionOrder order;
    bool claims;
    RequestFlow flow;
    AnswerWriter writer;
    TargetCall call;
    std::uint32_t dispatches = 0;
    std::weak_ptr<RequestSession> self;
    ClaimKey key;
    std::uint64_t bodyDigest = 0;
    bool started = false;
    bool queued = false;
    /** Set where the rule bounds what the organisation has in flight. */
    std::optional<RuleGate> gate;
    /** Still before the gate, so the next decision of a queue is the gate's. */
    bool atGate = false;
    QueueEntry entry;
    /** What the last reservation left out for this request's sake, and whether it left out paused targets too. */
    std::vector<TargetId> excluded;
    bool leftSomeAlone = false;
    bool inTable = false;
    bool keyUnrun = false;
    /** mayDispatch was asked and said yes: a further target is under its deadline. */
    bool wasDispatched = false;
    bool counted = false;
    bool done = false;
    TargetId target;
    AttachedAnswer attached;
    int status = 0;
    std::string contentType;
    // Joined to a running answer of this router.
    std::optional<AnswerCursor> joined;
    bool joinedHead = false;
    Millis begunAt;
    Millis lastPartAt;
    bool firstPart = true;
};

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
    const bool unreachable
        = failure == TargetFailure::NeverSent || failure == TargetFailure::NoHead || failure == TargetFailure::BrokeOff;
    if (unreachable) {
        this->context.node.targetFailed(this->target);
    }
    this->callFailed(failure);
}

// A resend needs a token: without a budget, a pool that loses half of its targets would be given twice the load.
void RequestSession::Private::callFailed(TargetFailure failure)
{
    const Decision &decision = this->order.decision;
    const bool allowed
        = !this->flow.wouldResend(failure) || this->context.node.mayResend(decision.pool, decision.retryBudgetPercent);
    if (!allowed) {
        this->context.metrics.add("resends_denied_total");
    }
    this->run(this->flow.targetFailed(Millis::monotonicNow(), failure, allowed));
}

void RequestSession::Private::reserve(const std::vector<TargetId> &unusable, bool leaveAlone)
{
    Node &node = this->context.node;
    const Decision &decision = this->order.decision;
    this->excluded = unusable;
    std::vector<TargetId> without = unusable;
    if (leaveAlone) {
        const std::vector<TargetId> paused = node.leftAlone(decision.pool, unusable);
        without.insert(without.end(), paused.begin(), paused.end());
    }
    this->leftSomeAlone = without.size() > unusable.size();
    const std::uint32_t bound = decision.boundPercent.value_or(node.settings().admission.boundPercent);
    node.reserve(Wanted{this->order.request,
                        decision.pool,
                        this->order.chatHash,
                        decision.policy,
                        bound,
                        std::move(without),
                        this->order.parsed.requestClass,
                        this->order.prefixHash});
}

// A retry that reached the router where the first attempt runs takes its answer; nothing is claimed or reserved.
bool RequestSession::Private::joinRunning()
{
    AnswerTable &answers = this->context.node.answers();
    const StartResult result = answers.start(Millis::monotonicNow(), this->order.request, this->key, this->bodyDigest);
    if (result.verdict == StartVerdict::Started) {
        this->inTable = true;
        return false;
    }
    if (result.verdict == StartVerdict::BodyDiffers) {
        this->refuseAtOnce(Refuse{statusUnprocessable, Ran::No, RefusalReason::KeyReused, Millis{0}});
        return true;
    }
    const auto wake = [loop = &this->context.loop, weak = this->self] {
        QMetaObject::invokeMethod(
            loop,
            [weak] {
                if (const auto alive = weak.lock()) {
                    alive->d->pumpJoined();
                }
            },
            Qt::QueuedConnection);
    };
    this->joined = answers.attach(result.attempt, wake);
    if (!this->joined) {
        this->refuseAtOnce(Refuse{statusConflict, Ran::Unknown, RefusalReason::OutcomeUnknown, Millis{0}});
        return true;
    }
    this->writer.attachedTo(result.attempt);
    this->pumpJoined();
    return true;
}

void RequestSession::Private::pumpJoined()
{
    while (this->joined && !this->done) {
        const AnswerPart part = this->context.node.answers().read(*this->joined, readBytes);
        if (part.head && !this->joinedHead) {
            this->joinedHead = true;
            const bool streamed = this->order.parsed.streamed;
            this->writer.head(static_cast<int>(part.head->status), part.head->contentType, streamed, Ran::Yes, {});
        }
        if (!part.bytes.empty()) {
            this->writer.part(part.bytes);
            continue;
        }
        if (part.state == AnswerState::Running) {
            return;
        }
        this->context.node.answers().detach(*this->joined);
        this->joined.reset();
        if (part.state == AnswerState::Complete) {
            this->writer.end();
            this->count(Outcome::Attached);
            this->done = true;
        } else if (part.state == AnswerState::NotRun) {
            // The first attempt was given up before anything was sent; this call takes its place, or follows the one
            // that already did.
            this->writer.attachedTo(this->order.request);
            if (!this->joinRunning()) {
                this->enqueue();
            }
            return;
        } else if (this->joinedHead) {
            this->writer.breakOff(
                refusalError(Refuse{statusConflict, Ran::Unknown, RefusalReason::OutcomeUnknown, {}}));
            this->count(Outcome::Broken);
            this->done = true;
        } else {
            this->refuseAtOnce(Refuse{statusConflict, Ran::Unknown, RefusalReason::OutcomeUnknown, Millis{0}});
        }
    }
}

// The deadline of a retry that reads along. Its answer may have begun: an error in its place would come too late then,
// and an end without a word would pass for a lost connection.
void RequestSession::Private::leaveJoined()
{
    this->context.node.answers().detach(*this->joined);
    this->joined.reset();
    const Refuse late{statusTimeout, Ran::Unknown, RefusalReason::DeadlinePassed, Millis{1000}};
    if (!this->joinedHead) {
        this->refuseAtOnce(late);
        return;
    }
    this->writer.breakOff(refusalError(late));
    this->count(Outcome::Broken);
    this->done = true;
}

void RequestSession::Private::enqueue()
{
    const Decision &decision = this->order.decision;
    const RuleLimits &limits = decision.limits;
    const RouterSettings &settings = this->context.node.settings();
    this->entry.request = this->order.request;
    this->entry.organisation = this->order.labels.organisation;
    this->entry.requestClass = this->order.parsed.requestClass;
    const Millis longest = limits.queueTime.value_or(settings.limits.queueTime);
    this->entry.dispatchBy = std::min(this->order.deadline, this->begunAt + longest);
    this->entry.cost = static_cast<std::uint32_t>(1 + this->order.parsed.promptLength / bytesPerCost);
    if (!limits.inFlight) {
        this->enqueueInPool();
        return;
    }
    const auto fleetLength = static_cast<std::uint32_t>(settings.limits.queueLength);
    this->gate = RuleGate{this->entry.organisation,
                          decision.document,
                          decision.rule,
                          *limits.inFlight,
                          limits.queueLength.value_or(fleetLength)};
    this->atGate = true;
    const QueueDecision decided = this->context.node.enqueueByRule(*this->gate, this->entry);
    if (decided.verdict == QueueVerdict::Dispatch) {
        this->enqueueInPool();
    } else if (decided.verdict == QueueVerdict::Refuse) {
        this->queueRefused(decided.retryAfter);
    }
}

void RequestSession::Private::enqueueInPool()
{
    this->atGate = false;
    this->queued = true;
    const QueueDecision decision = this->context.node.enqueue(this->order.decision.pool, this->entry);
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
    if (this->atGate) {
        this->refuseAtOnce(Refuse{statusTooMany, ran, RefusalReason::ShedByLimit, retryAfter});
    } else {
        this->refuseAtOnce(Refuse{statusUnavailable, ran, RefusalReason::PoolFull, retryAfter});
    }
}

void RequestSession::Private::startFlow()
{
    this->started = true;
    const Millis now = Millis::monotonicNow();
    this->context.metrics.observe(
        this->order.labels, Measure::QueueTime, static_cast<double>((now - this->begunAt).count));
    this->context.node.countRequest(this->order.decision.pool, this->order.decision.retryBudgetPercent);
    this->run(this->flow.start(now));
}

// An end before the flow began, or beside it.
void RequestSession::Private::refuseAtOnce(Refuse refusal)
{
    if (this->joined) {
        this->context.node.answers().detach(*this->joined);
        this->joined.reset();
    }
    this->refuse(refusal);
    this->leaveQueue();
    this->done = true;
}

void RequestSession::Private::run(const FlowActions &actions)
{
    for (const FlowAction &action : actions) {
        this->act(action);
    }
    if (this->flow.isDone()) {
        this->leaveQueue();
        this->done = true;
    }
}

void RequestSession::Private::act(const FlowAction &action)
{
    Node &node = this->context.node;
    const RequestId &request = this->order.request;
    if (std::holds_alternative<StartClaim>(action)) {
        this->attached.end();
        this->writer.attachedTo(request);
        node.claim(Claim{this->key, request, this->bodyDigest});
    } else if (std::holds_alternative<WithdrawClaim>(action)) {
        // After a pause the witnesses may have let another attempt run; then 'not run' is said of this call alone.
        this->keyUnrun = this->wasDispatched ? node.mayRedispatch(request) : node.isKeyUnrun(request);
        node.withdraw(request);
    } else if (const auto *reserve = std::get_if<Reserve>(&action)) {
        this->reserve(reserve->excluded, true);
    } else if (const auto *requeue = std::get_if<Requeue>(&action)) {
        node.requeue(this->order.decision.pool, request, requeue->retryAfter);
    } else if (std::holds_alternative<ReleaseReservation>(action)) {
        node.release(request);
    } else if (const auto *dispatched = std::get_if<Dispatch>(&action)) {
        this->dispatch(*dispatched);
    } else if (const auto *resume = std::get_if<ResumeStream>(&action)) {
        this->call.resumeStream(this->addressOf(resume->target));
    } else if (const auto *cancel = std::get_if<CancelAtTarget>(&action)) {
        this->call.cancel(this->addressOf(cancel->target));
    } else if (const auto *attach = std::get_if<AttachToHolder>(&action)) {
        this->attached.begin(Millis::monotonicNow(), attach->holder, attach->heldBy);
        this->writer.attachedTo(attach->heldBy);
        this->askHolder();
    } else if (std::holds_alternative<RelayHead>(action)) {
        // A target that answers with an error does not say whether it ran the request.
        const Ran ran = this->status < firstErrorStatus ? Ran::Yes : Ran::Unknown;
        this->writer.head(this->status, this->contentType, this->order.parsed.streamed, ran, this->target);
        if (this->inTable) {
            node.answers().setHead(request, AnswerHead{static_cast<std::uint32_t>(this->status), this->contentType});
        }
    } else if (std::holds_alternative<RelayEnd>(action)) {
        this->writer.end();
        this->finishAnswer(AnswerState::Complete, "");
        this->count(this->attached.isFollowing() ? Outcome::Attached : Outcome::Complete);
    } else if (const auto *refusal = std::get_if<Refuse>(&action)) {
        this->refuse(*refusal);
    } else if (const auto *broken = std::get_if<BreakOff>(&action)) {
        this->writer.breakOff(refusalError(Refuse{statusUnavailable, Ran::Unknown, broken->reason, {}}));
        this->finishAnswer(AnswerState::Broken, std::string(nameOf(broken->reason)));
        this->count(Outcome::Broken);
    }
}

void RequestSession::Private::dispatch(const Dispatch &action)
{
    // The last moment at which a claim can be found too old, or a pause noticed in which the target may have left: from
    // here on the target may have the request.
    Node &node = this->context.node;
    const RequestId &request = this->order.request;
    const bool again = this->wasDispatched;
    const bool claimHolds = !this->claims || (again ? node.mayRedispatch(request) : node.mayDispatch(request));
    if (!node.mayServe() || !claimHolds) {
        this->run(this->flow.dispatchTooLate(Millis::monotonicNow()));
        return;
    }
    this->wasDispatched = true;
    this->target = action.target;
    const std::string address = this->addressOf(action.target);
    if (address.empty()) {
        this->callFailed(TargetFailure::NeverSent);
        return;
    }
    this->context.node.targetTried(action.target);
    this->context.metrics.countDispatch(this->order.labels, action.target.value, this->dispatches > 0);
    ++this->dispatches;
    this->call.dispatch(address, action.freshConnection);
}

void RequestSession::Private::refuse(const Refuse &refusal)
{
    Refuse action = refusal;
    if (this->claims && action.ran == Ran::No && action.reason != RefusalReason::KeyReused && !this->keyUnrun) {
        action.ran = Ran::Unknown;
    }
    if (!this->joinedHead) {
        this->writer.error(refusalError(action), action.ran, action.retryAfter);
    }
    // A request that may have run here stays known as such; one that did not leaves its key to the next attempt.
    const bool mayHaveRun = this->flow.mayHaveRun();
    this->finishAnswer(mayHaveRun ? AnswerState::Broken : AnswerState::NotRun, std::string(nameOf(action.reason)));
    this->count(outcomeOf(action));
    if (action.retryAfter > Millis{0} || action.ran != Ran::No) {
        this->context.log.info(LogPart::Entry,
                               "a request is refused",
                               {{"reason", std::string(nameOf(action.reason))},
                                {"ran", std::string(nameOf(action.ran))},
                                {"organisation", this->order.labels.organisation.value},
                                {"request", this->order.request.toHex()}});
    }
}

void RequestSession::Private::relayPart(std::string_view bytes)
{
    this->measurePart();
    if (this->inTable) {
        this->context.node.answers().append(this->order.request, bytes);
    }
    this->writer.part(bytes);
    if (this->writer.exchange().bytesToWrite() > pauseAbove) {
        this->call.setPaused(true);
        this->writer.exchange().onDrained(resumeBelow, [weak = this->self] {
            if (const auto alive = weak.lock()) {
                alive->d->call.setPaused(false);
            }
        });
    }
}

void RequestSession::Private::measurePart()
{
    const Millis now = Millis::monotonicNow();
    const Millis since = now - (this->firstPart ? this->begunAt : this->lastPartAt);
    const Measure measure = this->firstPart ? Measure::FirstToken : Measure::BetweenTokens;
    this->context.metrics.observe(this->order.labels, measure, static_cast<double>(since.count));
    this->firstPart = false;
    this->lastPartAt = now;
}

void RequestSession::Private::finishAnswer(AnswerState state, const std::string &reason)
{
    if (!this->inTable) {
        return;
    }
    this->inTable = false;
    this->context.node.answers().finish(Millis::monotonicNow(), this->order.request, state, reason);
    if (this->flow.mayHaveRun()) {
        this->context.node.finished(this->order.request);
    }
}

void RequestSession::Private::count(Outcome outcome)
{
    if (!this->counted) {
        this->counted = true;
        this->context.metrics.countOutcome(this->order.labels, outcome);
    }
}

void RequestSession::Private::leaveQueue()
{
    if (this->queued) {
        this->queued = false;
        this->context.node.dequeue(this->order.decision.pool, this->order.request);
    }
    if (this->gate) {
        this->context.node.dequeueByRule(*this->gate, this->order.request);
        this->gate.reset();
    }
}

void RequestSession::Private::askHolder()
{
    this->context.node.send(this->attached.holder(),
                            AttachRequest{this->order.request, this->key, this->attached.attempt()});
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
        this->run(this->flow.attachFailed(now, Ran::Unknown));
        break;
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
        if (!alive || alive->d->done) {
            return;
        }
        Private &session = *alive->d;
        if (session.joined) {
            session.context.node.answers().detach(*session.joined);
            session.joined.reset();
            session.done = true;
        } else if (session.started) {
            if (session.attached.isFollowing()) {
                session.context.node.send(session.attached.holder(), AttachCancel{session.order.request});
            }
            session.run(session.flow.clientGone(Millis::monotonicNow()));
        } else {
            session.refuseAtOnce(Refuse{statusUnavailable, Ran::No, RefusalReason::ClientGone, Millis{0}});
        }
    });
}

RequestSession::RequestSession(const SessionContext &context, SessionOrder order)
{
    const bool claims = !order.parsed.idempotencyKey.empty() && order.decision.claim != ClaimMode::None;
    this->d = std::make_unique<Private>(context, std::move(order), claims);
}

RequestSession::~RequestSession()
{
    if (this->d->joined) {
        // Else the answer would keep the reader, and its bytes, and wake a loop that may be gone.
        this->d->context.node.answers().detach(*this->d->joined);
    }
    this->d->context.node.requests().remove(this->d->order.request);
}

void RequestSession::begin()
{
    this->d->self = this->weak_from_this();
    this->d->begunAt = Millis::monotonicNow();
    this->d->lastPartAt = this->d->begunAt;
    this->d->context.node.requests().add(this->d->order.request, &this->d->context.loop, this->shared_from_this());
    this->d->watchClient();
    if (this->d->claims) {
        this->d->key = claimKeyOf(this->d->order.labels.organisation, this->d->order.parsed.idempotencyKey);
        this->d->bodyDigest = hash64(this->d->order.exchange->body(), hash64(this->d->order.parsed.path));
        if (this->d->joinRunning()) {
            return;
        }
    }
    this->d->enqueue();
}

void RequestSession::tick(Millis now)
{
    if (this->d->done) {
        return;
    }
    if (now >= this->d->order.deadline && this->d->joined) {
        this->d->leaveJoined();
        return;
    }
    if (now >= this->d->order.deadline && !this->d->started) {
        const Ran ran = this->d->claims ? Ran::Unknown : Ran::No;
        this->d->refuseAtOnce(Refuse{statusTimeout, ran, RefusalReason::DeadlinePassed, Millis{1000}});
        return;
    }
    this->d->call.tick(now);
    this->d->tickAttached(now);
    this->d->run(this->d->flow.tick(now));
}

bool RequestSession::isDone() const
{
    return this->d->done;
}

void RequestSession::claimEnded(const ClaimOutcome &outcome)
{
    ClaimFinding finding;
    finding.holder = outcome.holder;
    finding.heldBy = outcome.heldBy;
    finding.retryAfter = outcome.retryAfter;
    switch (outcome.kind) {
    case ClaimOutcomeKind::Acquired:
        finding.result = ClaimResult::Acquired;
        break;
    case ClaimOutcomeKind::HeldBy:
        finding.result = ClaimResult::HeldByOther;
        break;
    case ClaimOutcomeKind::BodyDiffers:
        finding.result = ClaimResult::BodyDiffers;
        break;
    case ClaimOutcomeKind::NoQuorum:
        finding.result = ClaimResult::NoQuorum;
        break;
    }
    this->d->run(this->d->flow.claimed(Millis::monotonicNow(), finding));
}

void RequestSession::reservationEnded(const ReserveResult &result)
{
    ReserveReply reply;
    reply.request = result.request;
    reply.target = result.target;
    reply.retryAfter = result.retryAfter;
    switch (result.outcome) {
    case ReserveOutcome::Granted:
    case ReserveOutcome::GrantedLocally:
        reply.verdict = ReserveVerdict::Granted;
        break;
    case ReserveOutcome::Full:
    case ReserveOutcome::Unreachable:
        reply.verdict = ReserveVerdict::Full;
        break;
    case ReserveOutcome::NoTarget:
        if (this->d->leftSomeAlone && !this->d->done) {
            // All targets that this chat's shard has are paused here: one is tried all the same.
            this->d->reserve(std::vector<TargetId>(this->d->excluded), false);
            return;
        }
        reply.verdict = ReserveVerdict::NoTarget;
        break;
    }
    this->d->run(this->d->flow.reserved(Millis::monotonicNow(), reply));
}

void RequestSession::queueDecided(const QueueDecision &decision)
{
    if (this->d->done) {
        return;
    }
    const Millis now = Millis::monotonicNow();
    if (decision.verdict == QueueVerdict::Dispatch) {
        if (this->d->atGate) {
            this->d->enqueueInPool();
        } else if (this->d->started) {
            this->d->run(this->d->flow.requeued(now));
        } else {
            this->d->startFlow();
        }
    } else if (decision.verdict == QueueVerdict::Refuse) {
        if (this->d->started) {
            this->d->run(this->d->flow.shed(now, decision.retryAfter));
        } else {
            this->d->queueRefused(decision.retryAfter);
        }
    }
}

void RequestSession::attachReplied(const AttachReply &reply)
{
    const Millis now = Millis::monotonicNow();
    if (this->d->done || !this->d->attached.isFollowing()) {
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
    const bool notRun = reply.verdict == AttachVerdict::NotRun;
    this->d->run(this->d->flow.attachFailed(now, notRun ? Ran::No : Ran::Unknown));
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
        this->d->run(this->d->flow.attachFailed(Millis::monotonicNow(), Ran::Unknown));
    }
}

} // namespace Sequoiausher
