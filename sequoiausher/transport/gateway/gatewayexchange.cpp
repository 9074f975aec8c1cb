#include "sequoiausher/transport/gateway/gatewayexchange.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/gateway/attemptoutcome.h"
#include "sequoiausher/coordination/gateway/connectionshare.h"
#include "sequoiausher/coordination/gateway/queueorder.h"
#include "sequoiausher/coordination/gateway/requestattempts.h"
#include "sequoiausher/transport/gateway/answerendcheck.h"
#include "sequoiausher/transport/gateway/crashguard.h"
#include "sequoiausher/transport/gateway/exchangelog.h"
#include "sequoiausher/transport/gateway/gatewayadmission.h"
#include "sequoiausher/transport/gateway/hedgedattempt.h"
#include "sequoiausher/transport/gateway/placerequest.h"
#include "sequoiausher/transport/gateway/streamoriginfinder.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
constexpr int firstFailure = 500;
constexpr int firstNoSuccess = 300;

/** When to come back where no target is free. */
constexpr Millis retryWhenFull{200};
/** When to come back where no gateway reaches the service: by then it was probed again. */
constexpr Millis retryWhenOutOfReach{500};
/** When to come back where nobody knows which version began a stream: a gateway that does may answer again by then. */
constexpr Millis retryWhenOriginUnknown{500};
/** When to come back where no target of the version is left: before a target of it starts, nothing can change. */
constexpr Millis retryWhenVersionGone{1000};
/** When to come back where no data centre may serve: an operator has to act before that changes. */
constexpr Millis retryWhenNoDataCentre{1000};

PlaceOutcome placeOutcomeOf(TargetOutcome outcome)
{
    switch (outcome) {
    case TargetOutcome::Answered:
        return PlaceOutcome::Answered;
    case TargetOutcome::Full:
        return PlaceOutcome::Rejected;
    default:
        return PlaceOutcome::Unused;
    }
}

} // namespace

class GatewayExchange::Private : public RetrySource, public AnswerSource, public HedgedAttemptUser
{
public:
    Private(GatewayExchange &owner,
            GatewayContext &shared,
            CallerSide &side,
            HttpHead given,
            ReceivedBody received,
            Millis at)
        : self(owner)
        , context(shared)
        , caller(side)
        , head(std::move(given))
        , body(std::make_shared<const std::string>(std::move(received.bytes)))
        , bodyMemory(std::move(received.memory))
        , transferTime(received.transferTime)
        , receivedAt(at)
        , crashGuard(shared)
        , answerEnd(shared)
        , answer(shared, side, *this, this->head)
        , origin(shared)
        , place(shared)
        , hedgePlace(shared)
        , hedgeGuard(shared)
        , lines(shared.log, this->admitted)
    {
    }

    /** Admits the request and sends it to a target, or refuses it. */
    void begin();
    /** Sends the request to the given target, or to another one if that has no free connection. */
    void attempt(std::optional<ChosenTarget> found, Millis now);
    TargetCriteria criteria(Millis now) const;
    std::optional<ChosenTarget> chooseTarget(Millis now);
    /** Whether the caller has a part of a stream from an earlier attempt. */
    bool isTakenUp() const;
    /** Goes on with a stream that the caller takes up, at the software version that began it, or refuses it. */
    void followOrigin(const OriginFinding &finding);
    /** Sends the admitted request to a target, or refuses it. */
    void dispatch(Millis now);
    /** Asks the admission owner for a place, and sends the request to the target that it names. */
    void reserve(Millis now);
    void followReservation(const AdmissionAnswer &decision);
    /** Whether a second copy of the request may be sent now. */
    bool mayHedge(Millis now) const;
    /** Asks for a second copy if the request has waited for long. */
    void checkHedge(Millis now);
    void sendHedge(const AdmissionAnswer &decision);
    void hedgeEnded() override;
    /** Answers with the second copy's whole answer, and cancels the first copy. */
    void adoptHedge(Millis now);
    /** The second copy gave no answer for the caller. */
    void dropHedge(TargetOutcome mark, std::string_view how, Millis now);
    /** Gives the second copy up if its target cannot be reached or has ended. */
    void checkHedgeTimes(Millis now);
    /** Stops the second copy. */
    void cancelHedge(std::string_view how, Millis now);
    /** Refuses a request to a service that nobody reaches. */
    void refuseOutOfReach();
    /** Refuses a request that no target can take, with the reason and the time to come back. */
    void refuseNotRun(Millis now);
    std::optional<CopySource> findCopySource(const ChosenTarget &target, Millis now);
    /** Whether the admission owner has placed the request's prompt at the target. */
    bool isPlacedAt(const ChosenTarget &target) const;
    /** Whether this gateway's own answers decide when requests to the service are refused. */
    bool isShedByAnswers() const;
    /** The priority of the request at the target. */
    std::uint32_t priorityAt(const ChosenTarget &target, const std::optional<CopySource> &source, Millis now);
    std::shared_ptr<TargetConnection> connect(const ChosenTarget &chosen, Millis now);
    void send(const ChosenTarget &chosen, std::shared_ptr<TargetConnection> connection, Millis now);
    void endAttempt(const AttemptOutcome &outcome, Millis now);
    void follow(AttemptEnd end, Millis now);
    void closeCall(TargetOutcome mark, Millis now);
    /** Records the answer time for the target and for the load shedding of its service. */
    void recordAnswerTime(Millis now);
    /** Records how long the service took to begin an answer. */
    void recordFirstPart(Millis now);
    /** Records what the target announced about itself in an answer. */
    void recordAnnouncements(const TargetAnswer &given, Millis now);
    /** Refuses a request that is found to crash targets. @return whether it was refused. */
    bool refuseCrashing(Millis now);
    void forwardHeld(Millis now);
    /** The target closed the connection of its answer, which has no other end. */
    void finishConfirming(bool isWhole);
    void completeAnswer(Millis now);
    void endStream();
    void answerOwn(int status, const std::string &reason, std::optional<Millis> retryAfter, Outcome outcome);
    void finish(Outcome outcome, std::string_view how);
    ExchangeAnswerState loggedAnswer() const;
    /** Notes a direct connection that has been silent for longer than usual. */
    void checkSilence(Millis now);
    /** Whether the call uses a direct connection to a target of a service that is cut off from here. */
    bool isPathCut() const;
    WaitState waitState(Millis now) const;
    AnswerState answerState() const;
    /** Whether the request is not at a target, has not run, and may not be sent to one because the gateway stops. */
    bool isOutOfTimeByStop(Millis now) const;
    bool findTarget(Millis now) override;
    bool takeRetry(Millis now) override;
    bool setReading(bool on) override;
    void checkTimes(Millis now);
    /** Whether a request that has waited too long may be sent to another target. */
    bool mayRetryElsewhere(Millis now);

    GatewayExchange &self;
    GatewayContext &context;
    CallerSide &caller;
    HttpHead head;
    /** Shared with the connections that send it. */
    std::shared_ptr<const std::string> body;
    /** Null for a request without a body. */
    std::unique_ptr<BodyReservation> bodyMemory;
    Millis transferTime;
    Millis receivedAt;
    AdmittedRequest admitted;

    std::unique_ptr<GatewayCall> call;
    ChosenTarget chosen;
    RequestAttempts attempts;
    CrashGuard crashGuard;
    /** The target that the last findTarget() chose. */
    std::optional<ChosenTarget> candidate;
    Millis sentAt;
    AnswerEndCheck answerEnd;
    CallerAnswer answer;
    StreamOriginFinder origin;
    PlaceRequest place;
    /** The last decision that granted a place. */
    AdmissionAnswer placement;
    /** When to ask for a second copy; 0 for never. */
    Millis hedgeAt;
    /** The second copy, while it runs. */
    std::shared_ptr<HedgedAttempt> hedge;
    PlaceRequest hedgePlace;
    /** Watches the second copy's target for a crash, as crashGuard does the first one's. */
    CrashGuard hedgeGuard;
    /** How the first copy ended, if it ended while the second one runs. */
    std::optional<AttemptEnd> firstCopyEnd;
    ExchangeLog lines;
    Millis firstPartAt;
    Millis lastPartAt;
    /** The request waits until the gateway is ready. */
    bool isHeld = false;
    /** The beginning of the request was recorded for the durations of its route. */
    bool isTimed = false;
    bool isFinished = false;
    std::string endReason;
};

GatewayExchange::GatewayExchange(GatewayContext &context,
                                 CallerSide &caller,
                                 HttpHead head,
                                 ReceivedBody body,
                                 Millis receivedAt)
    : d(std::make_unique<Private>(*this, context, caller, std::move(head), std::move(body), receivedAt))
{
}

GatewayExchange::~GatewayExchange()
{
    this->d->cancelHedge("lost", Millis::monotonicNow());
    if (this->d->call) {
        this->d->closeCall(TargetOutcome::Neutral, Millis::monotonicNow());
    }
}

void GatewayExchange::start()
{
    this->d->isHeld = this->d->context.isStarting && this->d->receivedAt < this->d->context.holdsRequestsUntil;
    if (!this->d->isHeld) {
        this->d->begin();
    }
}

void GatewayExchange::Private::begin()
{
    const std::optional<GatewayRefusal> refusal
        = admitRequest(this->context, this->head, {this->receivedAt, this->transferTime}, this->admitted);
    if (refusal) {
        this->answerOwn(refusal->status, refusal->reason, refusal->retryAfter, refusal->outcome);
        return;
    }
    this->crashGuard.begin(this->admitted, this->head.target, *this->body);
    if (this->refuseCrashing(this->receivedAt)) {
        return;
    }
    const GatewayRoute &route = *this->admitted.route;
    this->answer.expect(route.kind, this->admitted.request.lastEventId);
    const bool mayRetry = this->admitted.decision.retry != RetryMode::None;
    this->attempts = RequestAttempts({route.isIdempotent(), route.mostTargets, mayRetry, this->admitted.deadline});
    const Millis now = std::max(this->receivedAt, Millis::monotonicNow());
    if (this->isTakenUp()) {
        this->origin.find(this->admitted, now, [this](const OriginFinding &finding) {
            if (!this->isFinished) {
                this->followOrigin(finding);
            }
        });
    } else {
        this->dispatch(now);
    }
}

bool GatewayExchange::Private::refuseCrashing(Millis now)
{
    const std::optional<GatewayRefusal> refusal = this->crashGuard.refusal(now);
    if (refusal) {
        this->answerOwn(refusal->status, refusal->reason, refusal->retryAfter, refusal->outcome);
    }
    return refusal.has_value();
}

bool GatewayExchange::Private::isTakenUp() const
{
    return this->admitted.route->kind == RouteKind::Stream && !this->admitted.request.lastEventId.empty();
}

void GatewayExchange::Private::followOrigin(const OriginFinding &finding)
{
    if (finding.kind != OriginFindingKind::Recorded && finding.kind != OriginFindingKind::Only) {
        this->context.metrics.add("gateway_unknown_stream_origins_total");
        this->answerOwn(statusUnavailable,
                        "it is not known which software version began the stream",
                        this->context.spread(retryWhenOriginUnknown),
                        Outcome::RefusedFull);
        return;
    }
    const std::vector<ServiceShare> &services = this->admitted.route->services;
    const bool isRouted = std::any_of(services.begin(), services.end(), [&finding](const ServiceShare &share) {
        return share.service == finding.service;
    });
    // Where the route is divided among services, the stream stays at its own. Where it has moved since, the version's
    // name is all that says which targets may go on.
    if (isRouted) {
        this->admitted.service = finding.service;
    }
    const Millis now = Millis::monotonicNow();
    if (!this->refuseCrashing(now)) {
        this->dispatch(now);
    }
}

void GatewayExchange::Private::dispatch(Millis now)
{
    if (this->context.reachability.isOutOfReach(this->admitted.service)) {
        this->refuseOutOfReach();
        return;
    }
    if (this->admitted.decision.overload == Overload::Reserve) {
        this->reserve(now);
        return;
    }
    this->attempt(this->chooseTarget(now), now);
}

void GatewayExchange::Private::reserve(Millis now)
{
    this->place.ask(
        this->admitted, this->criteria(now), this->receivedAt, now, [this](const AdmissionAnswer &decision) {
            this->followReservation(decision);
        });
}

void GatewayExchange::Private::followReservation(const AdmissionAnswer &decision)
{
    const Millis now = Millis::monotonicNow();
    this->lines.notes().reservation = std::string(nameOf(decision.result));
    this->lines.notes().owner = decision.place.owner.value;
    this->lines.notes().heldByOwner = decision.held;
    this->lines.notes().boundByOwner = decision.bound;
    if (decision.result == AdmissionResult::Granted) {
        if (const auto granted = this->context.board.findUsable(this->criteria(now), decision.target, now)) {
            this->placement = decision;
            this->hedgeAt = decision.hedgeAfter > Millis{0} ? now + decision.hedgeAfter : Millis{0};
            this->attempt(granted, now);
            return;
        }
        this->place.release(PlaceOutcome::Unused, Millis{0});
    }
    const bool isFirst = this->attempts.targetsUsed() == 0;
    if (decision.result == AdmissionResult::Overloaded && isFirst) {
        this->answerOwn(statusUnavailable,
                        "the service is overloaded",
                        this->context.spread(decision.retryAfter),
                        Outcome::RefusedFull);
        return;
    }
    if (decision.result == AdmissionResult::NoReply && isFirst && !hasPrompt(this->admitted)) {
        if (const auto refusal = shedByOwnAnswers(this->context, this->admitted, now)) {
            this->answerOwn(refusal->status, refusal->reason, refusal->retryAfter, refusal->outcome);
            return;
        }
    }
    this->attempt(this->candidate ? std::exchange(this->candidate, std::nullopt) : this->chooseTarget(now), now);
}

bool GatewayExchange::Private::mayHedge(Millis now) const
{
    const GatewayRoute &route = *this->admitted.route;
    const bool isAllowed = this->admitted.decision.hedgePercent > 0 && route.kind == RouteKind::Idempotent
        && !route.carriesPrompt && this->attempts.mayRunElsewhere() && !this->context.stop.isBegun();
    const bool isWaiting = this->call && this->call->isConnected() && !this->answer.hasHead();
    return isAllowed && isWaiting && this->place.isGranted() && !this->hedge && !this->hedgePlace.isAsking()
        && this->crashGuard.mayRetry(now);
}

void GatewayExchange::Private::checkHedge(Millis now)
{
    if (this->hedgeAt == Millis{0} || now < this->hedgeAt || !this->mayHedge(now)) {
        return;
    }
    this->hedgeAt = Millis{0};
    this->hedgePlace.askSecond(
        this->place, this->admitted, this->criteria(now), now, [this](const AdmissionAnswer &decision) {
            this->sendHedge(decision);
        });
}

void GatewayExchange::Private::sendHedge(const AdmissionAnswer &decision)
{
    const Millis now = Millis::monotonicNow();
    this->lines.notes().hedge = std::string(nameOf(decision.result));
    const auto found = decision.result == AdmissionResult::Granted && this->mayHedge(now)
        ? this->context.board.findUsable(this->criteria(now), decision.target, now)
        : std::nullopt;
    std::shared_ptr<TargetConnection> connection = found && this->takeRetry(now) ? this->connect(*found, now) : nullptr;
    if (!connection) {
        if (decision.result == AdmissionResult::Granted) {
            this->lines.notes().hedge = "not-sent";
        }
        this->context.metrics.add("gateway_hedges_refused_total");
        this->hedgePlace.release(PlaceOutcome::Unused, Millis{0});
        return;
    }
    this->hedgeGuard.begin(this->admitted, this->head.target, *this->body);
    this->hedgeGuard.recordSent(found->target, now);
    this->attempts.recordTarget(found->target.id);
    this->attempts.recordSent();
    this->hedge = std::make_shared<HedgedAttempt>(
        *this, this->context, std::move(connection), this->admitted.request.attemptId, *found, now);
    this->context.board.recordStart(found->target.id, now);
    this->context.metrics.countDispatch(this->admitted.labels, found->target.id.value, true);
    this->context.metrics.add("gateway_hedges_sent_total");
    this->lines.notes().hedge = "sent";
    this->context.log.info(LogPart::Entry,
                           "request sent to a second target",
                           {{"request", this->admitted.request.attemptId},
                            {"first_target", this->chosen.target.id.value},
                            {"target", found->target.id.value},
                            {"waited_ms", std::to_string((now - this->sentAt).count)}});
    TargetOrder order;
    order.target = listedName(found->target);
    order.organisation = this->admitted.organisation;
    order.priority = this->admitted.decision.priority;
    order.bodyBytes = this->body->size();
    const auto write = [this, order]() mutable {
        order.timeLeft = std::max(this->admitted.deadline - Millis::monotonicNow(), Millis{0});
        return TargetConnection::OutgoingRequest{
            this->context.dialect.targetRequestHead(this->head, this->admitted.request, order), this->body};
    };
    this->hedge->send(write, this->head.method == "HEAD");
}

void GatewayExchange::Private::hedgeEnded()
{
    const Millis now = Millis::monotonicNow();
    if (!this->hedge->isWhole()) {
        if (this->hedge->hasLostConnection()) {
            this->hedgeGuard.recordLostTarget(now);
        }
        this->attempts.recordEnd(this->hedge->end(), this->hedge->mayHaveArrived());
        this->dropHedge(this->hedge->isGivenUp() ? TargetOutcome::Neutral : TargetOutcome::Lost, "failed", now);
        return;
    }
    const TargetAnswer &given = this->hedge->targetAnswer();
    if (given.didNotRun || given.isMisdirected) {
        this->attempts.recordEnd(AttemptEnd::NotRun, true);
        this->dropHedge(given.isMisdirected ? TargetOutcome::Misdirected : TargetOutcome::Full, "not-run", now);
    } else if (given.status >= firstNoSuccess) {
        this->attempts.recordEnd(AttemptEnd::Failed, true);
        this->dropHedge(markForStatus(given.status), "failed", now);
    } else {
        this->adoptHedge(now);
    }
}

void GatewayExchange::Private::adoptHedge(Millis now)
{
    const std::shared_ptr<HedgedAttempt> winner = std::exchange(this->hedge, nullptr);
    this->context.destroyLater(winner);
    this->place.release(PlaceOutcome::Abandoned, now - this->sentAt);
    this->closeCall(TargetOutcome::Neutral, now);
    this->context.metrics.add("gateway_hedges_won_total");
    this->lines.notes().hedge = "won";
    this->chosen = winner->target();
    this->sentAt = winner->sentAt();
    this->crashGuard.recordSent(this->chosen.target, this->sentAt);
    this->answerEnd.begin();
    this->answerEnd.setKind(AnswerEnd::Framing);
    this->answer.beginAttempt();
    this->answer.began(winner->answerHead(), winner->targetAnswer());
    this->answer.add(winner->body());
    this->recordAnnouncements(winner->targetAnswer(), now);
    this->recordAnswerTime(now);
    this->crashGuard.recordAnswer(winner->targetAnswer().status, now);
    this->context.board.recordEnd(this->chosen.target.id, TargetOutcome::Answered, now);
    this->hedgePlace.release(PlaceOutcome::Answered, now - this->sentAt);
    this->forwardHeld(now);
}

void GatewayExchange::Private::dropHedge(TargetOutcome mark, std::string_view how, Millis now)
{
    const std::shared_ptr<HedgedAttempt> dropped = std::exchange(this->hedge, nullptr);
    this->context.destroyLater(dropped);
    this->context.board.recordEnd(dropped->target().target.id, mark, now);
    this->hedgePlace.release(placeOutcomeOf(mark), now - dropped->sentAt());
    this->context.metrics.add("gateway_hedges_failed_total");
    this->lines.notes().hedge = std::string(how);
    if (this->firstCopyEnd) {
        this->follow(*std::exchange(this->firstCopyEnd, std::nullopt), now);
    }
}

void GatewayExchange::Private::checkHedgeTimes(Millis now)
{
    if (!this->hedge) {
        return;
    }
    WaitState state;
    state.now = now;
    state.deadline = this->admitted.deadline;
    state.sentAt = this->hedge->sentAt();
    state.lastPartAt = this->hedge->lastPartAt();
    state.targetActiveAt = this->context.board.lastActivity(this->hedge->target().target.id);
    state.isConnected = this->hedge->isConnected();
    state.isProcessGone = this->context.board.isReplaced(this->hedge->target().target);
    const WaitDecision decision = checkWait(state);
    if (decision == WaitDecision::NoConnection || decision == WaitDecision::Lost) {
        const bool wasSent = decision == WaitDecision::Lost;
        this->hedge->cancel();
        this->attempts.recordEnd(wasSent ? AttemptEnd::NoAnswer : AttemptEnd::NotSent, wasSent);
        this->dropHedge(wasSent ? TargetOutcome::Neutral : TargetOutcome::Lost, "failed", now);
    }
}

void GatewayExchange::Private::cancelHedge(std::string_view how, Millis now)
{
    this->hedgePlace.cancel();
    const std::shared_ptr<HedgedAttempt> cancelled = std::exchange(this->hedge, nullptr);
    if (cancelled) {
        cancelled->cancel();
        this->context.destroyLater(cancelled);
        this->context.board.recordEnd(cancelled->target().target.id, TargetOutcome::Neutral, now);
        this->context.metrics.add("gateway_hedges_lost_total");
        this->lines.notes().hedge = std::string(how);
    }
    this->hedgePlace.release(PlaceOutcome::Unused, Millis{0});
}

void GatewayExchange::Private::refuseOutOfReach()
{
    this->answerOwn(statusUnavailable,
                    "no gateway reaches a target of the service",
                    this->context.spread(retryWhenOutOfReach),
                    Outcome::RefusedFull);
}

void GatewayExchange::Private::attempt(std::optional<ChosenTarget> found, Millis now)
{
    // It may have waited for a place or for its stream's version since it was admitted.
    if (this->attempts.targetsUsed() == 0 && this->isOutOfTimeByStop(now)) {
        this->refuseNotRun(now);
        return;
    }
    // A target may have no free connection, so others are tried; nothing is sent before one is found.
    constexpr int maxChoices = 4;
    for (int left = maxChoices; found && left > 0; --left) {
        this->attempts.recordTarget(found->target.id);
        if (std::shared_ptr<TargetConnection> connection = this->connect(*found, now)) {
            this->send(*found, std::move(connection), now);
            return;
        }
        // The place that was granted is at another target than the request goes to now.
        this->place.release(PlaceOutcome::Unused, Millis{0});
        found = left > 1 ? this->chooseTarget(now) : std::nullopt;
    }
    this->endReason = "no-target";
    this->follow(AttemptEnd::NotSent, now);
}

TargetCriteria GatewayExchange::Private::criteria(Millis now) const
{
    TargetCriteria criteria;
    criteria.service = this->admitted.service;
    criteria.policy = this->admitted.decision.policy;
    constexpr std::uint32_t defaultBound = 150;
    criteria.boundPercent = this->admitted.decision.boundPercent.value_or(defaultBound);
    criteria.partHash = this->admitted.partHash;
    criteria.firstPartHash = this->admitted.parts.first();
    criteria.holders = this->admitted.parts.holders(this->context.parts, now);
    criteria.requestHash = hash64(this->admitted.request.attemptId, this->attempts.targetsUsed() + 1);
    criteria.excluded = this->attempts.tried();
    criteria.allowedRegions = this->admitted.allowedRegions;
    criteria.softwareVersion = this->origin.version();
    return criteria;
}

std::optional<ChosenTarget> GatewayExchange::Private::chooseTarget(Millis now)
{
    return this->context.board.choose(this->criteria(now), now);
}

bool GatewayExchange::Private::isPlacedAt(const ChosenTarget &target) const
{
    return this->place.isGranted() && hasPrompt(this->admitted) && this->placement.target == target.target.id;
}

bool GatewayExchange::Private::isShedByAnswers() const
{
    // The time of a whole stream tells nothing of overload, so an admission owner goes by first events.
    const Overload overload = this->admitted.decision.overload;
    return overload == Overload::Shed || (overload == Overload::Reserve && !hasPrompt(this->admitted));
}

std::optional<CopySource> GatewayExchange::Private::findCopySource(const ChosenTarget &target, Millis now)
{
    if (this->admitted.decision.cacheMiss != CacheMiss::Copy) {
        return std::nullopt;
    }
    if (this->isPlacedAt(target) && !this->placement.copyFrom.empty()) {
        const auto source
            = this->context.board.findCopySource({this->placement.copyFrom}, this->admitted.allowedRegions, now);
        if (source) {
            return CopySource{*source, 0};
        }
    }
    // The owner does not know of parts at targets that leave.
    return this->admitted.parts.findCopySource(
        this->context.parts, this->context.board, target.target.id, this->admitted.allowedRegions, now);
}

std::uint32_t
GatewayExchange::Private::priorityAt(const ChosenTarget &target, const std::optional<CopySource> &source, Millis now)
{
    if (this->admitted.decision.queueOrder == QueueOrder::Class) {
        return this->admitted.decision.priority;
    }
    // The owner knows which parts the target is still reading, but not of those that this gateway found elsewhere.
    const bool isOwnSource = source && source->parts > 0;
    const std::uint64_t tokens = this->isPlacedAt(target) && !isOwnSource
        ? this->placement.tokensToRead
        : this->admitted.parts.tokensToRead(
            this->context.parts, target.target.id, isOwnSource ? source->parts : 0, now);
    this->lines.notes().tokensToRead = tokens;
    return shortestFirstPriority(this->admitted.requestClass, tokens);
}

std::shared_ptr<TargetConnection> GatewayExchange::Private::connect(const ChosenTarget &target, Millis now)
{
    const GatewayService *described = this->admitted.table->service(this->admitted.service);
    const std::size_t gateways = this->context.peers.fleetSize(now);
    const std::size_t limit
        = computeConnectionShare(described != nullptr ? described->connectionLimit : 0,
                                 gateways,
                                 this->context.board.shareOfTraffic(this->admitted.service, gateways));
    try {
        return this->context.pools.take(target.target, limit, now);
    } catch (const Error &error) {
        this->context.log.warning(LogPart::Targets,
                                  "no connection could be opened",
                                  {{"target", target.target.id.value}, {"why", error.reason()}});
        return nullptr;
    }
}

void GatewayExchange::Private::send(const ChosenTarget &target,
                                    std::shared_ptr<TargetConnection> connection,
                                    Millis now)
{
    this->chosen = target;
    this->lines.notes().passedOver = target.passedOver.text();
    this->sentAt = now;
    this->lastPartAt = now;
    this->crashGuard.recordSent(target.target, now);
    this->answerEnd.begin();
    this->lines.notes().announcement.clear();
    this->answer.beginAttempt();
    TargetOrder order;
    order.target = listedName(target.target);
    order.timeLeft = this->admitted.deadline - now;
    order.organisation = this->admitted.organisation;
    order.lastEventId = this->answer.lastEventId();
    order.bodyBytes = this->body->size();
    const std::optional<CopySource> source = this->findCopySource(target, now);
    order.copyFrom = source ? source->target.address : "";
    order.priority = this->priorityAt(target, source, now);
    this->lines.notes().copiedFrom = order.copyFrom;
    this->lines.notes().priority = order.priority;
    this->call = std::make_unique<GatewayCall>(
        this->self, this->context.dialect, std::move(connection), this->admitted.request.attemptId);
    this->context.board.recordStart(target.target.id, now);
    this->admitted.parts.recordSent(this->context.parts, target.target.id, now);
    this->attempts.recordSent();
    const bool isRetry = this->attempts.targetsUsed() > 1;
    if (!std::exchange(this->isTimed, true)) {
        this->context.durations.begin(this->admitted.route->name, this->receivedAt);
    }
    this->context.metrics.countDispatch(this->admitted.labels, target.target.id.value, isRetry);
    if (isRetry) {
        const RetryBudgetFleet fleet = this->context.retryBudgetFleet(now);
        const double budgetLeft = this->context.retryBudget.remaining(this->admitted.service, fleet, now);
        this->context.log.info(LogPart::Entry,
                               "request sent again",
                               {{"request", this->admitted.request.attemptId},
                                {"target", target.target.id.value},
                                {"origin", this->origin.findingText()},
                                {"target_version", target.target.softwareVersion},
                                {"after_event", this->answer.lastEventId()},
                                {"left_ms", std::to_string(order.timeLeft.count)},
                                {"budget_left", std::to_string(budgetLeft)},
                                {"budget_gateways", std::to_string(fleet.gateways)}});
    }
    const auto write = [this, order]() mutable {
        order.timeLeft = std::max(this->admitted.deadline - Millis::monotonicNow(), Millis{0});
        return TargetConnection::OutgoingRequest{
            this->context.dialect.targetRequestHead(this->head, this->admitted.request, order), this->body};
    };
    this->call->send(write, this->head.method == "HEAD");
}

void GatewayExchange::Private::closeCall(TargetOutcome mark, Millis now)
{
    this->place.release(placeOutcomeOf(mark), now - this->sentAt);
    if (!this->call) {
        return;
    }
    this->lines.notes().reachedThrough = this->call->through().value;
    this->call->cancel();
    this->context.board.recordEnd(this->chosen.target.id, mark, now);
    this->context.destroyLater(std::shared_ptr<GatewayCall>(std::move(this->call)));
}

void GatewayExchange::Private::recordAnswerTime(Millis now)
{
    const Millis took = now - this->sentAt;
    this->context.board.recordAnswerTime(this->chosen.target.id, took);
    if (!this->isShedByAnswers()) {
        return;
    }
    const PoolId &service = this->admitted.service;
    const bool isCrowded = this->context.board.inFlight(service, now) > this->context.board.totalSlots(service);
    this->context.shedder.recordAnswer(service, {took, this->admitted.route->latencyAim, isCrowded}, now);
}

void GatewayExchange::Private::endAttempt(const AttemptOutcome &outcome, Millis now)
{
    const auto [end, mark] = outcome;
    // A second copy that is given up with the request may have run as well.
    const bool isWithHedge = this->hedge && end == AttemptEnd::DeadlineExceeded;
    this->attempts.recordEnd(
        end, (this->call && this->call->mayHaveArrived()) || (isWithHedge && this->hedge->mayHaveArrived()));
    this->endReason = std::string(nameOf(end));
    this->lines.writeAttemptEnd(this->chosen.target.id, end, now - this->sentAt, this->loggedAnswer());
    if (mark == TargetOutcome::Full && this->isShedByAnswers()) {
        this->context.shedder.recordRejection(this->admitted.service, now);
    }
    this->closeCall(mark, now);
    this->follow(end, now);
}

bool GatewayExchange::Private::isOutOfTimeByStop(Millis now) const
{
    const bool isUntouched = !this->call && !this->answer.isBegun() && !this->attempts.mayHaveRun();
    return isUntouched && !this->context.mayBegin(*this->admitted.route, this->admitted.deadline - now, now);
}

bool GatewayExchange::Private::findTarget(Millis now)
{
    const bool mayRetry = this->crashGuard.mayRetry(now) && !this->isOutOfTimeByStop(now);
    this->candidate = mayRetry ? this->chooseTarget(now) : std::nullopt;
    return this->candidate.has_value();
}

bool GatewayExchange::Private::takeRetry(Millis now)
{
    const bool isPaid
        = this->context.retryBudget.tryRetry(this->admitted.service, this->context.retryBudgetFleet(now), now);
    this->context.metrics.add(isPaid ? "gateway_repeats_total" : "gateway_repeats_refused_total");
    return isPaid;
}

void GatewayExchange::Private::follow(AttemptEnd end, Millis now)
{
    const bool isTimeUp = end == AttemptEnd::DeadlineExceeded || now >= this->admitted.deadline;
    if (this->hedge && !isTimeUp && !this->answer.isBegun()) {
        this->firstCopyEnd = end;
        return;
    }
    const NextStep step = this->attempts.decideNext(end, this->answer.isBegun(), now, *this);
    switch (step) {
    case NextStep::SendAgain:
        if (this->admitted.decision.overload == Overload::Reserve) {
            this->reserve(now);
            return;
        }
        this->attempt(std::exchange(this->candidate, std::nullopt), now);
        return;
    case NextStep::RefuseNotRun:
        this->refuseNotRun(now);
        return;
    case NextStep::RespondUnknown:
        this->answerOwn(statusBadGateway, "the target gave no whole answer", std::nullopt, Outcome::Unknown);
        return;
    case NextStep::RespondTimeout:
        this->answerOwn(statusTimeout, "the target gave no answer in time", std::nullopt, Outcome::Unknown);
        return;
    case NextStep::ForwardFailure:
        this->forwardHeld(now);
        return;
    case NextStep::CutOff:
        if (this->answer.endsWithConnection()) {
            this->caller.abort();
        } else {
            this->caller.cutOff();
        }
        this->finish(Outcome::Broken, "cut-off");
        return;
    }
}

void GatewayExchange::Private::refuseNotRun(Millis now)
{
    if (this->refuseCrashing(now)) {
        return;
    }
    if (this->isOutOfTimeByStop(now)) {
        this->answerOwn(
            statusUnavailable, "the gateway stops", this->context.retryAfterStop(now), Outcome::RefusedFull);
        return;
    }
    const IneligibilityCounts counts = this->context.board.countIneligible(this->criteria(now), now);
    this->lines.notes().passedOver = counts.text();
    const std::size_t evacuated = counts.count(Ineligibility::Evacuated);
    if (evacuated > 0 && this->context.board.targetCount(this->admitted.service) == 0) {
        this->answerOwn(statusUnavailable,
                        "all data centres of the service are evacuated",
                        this->context.spread(retryWhenNoDataCentre),
                        Outcome::RefusedFull);
        return;
    }
    if (counts.count(Ineligibility::Region) > 0
        && counts.count(Ineligibility::Region) == this->context.board.targetCount(this->admitted.service)) {
        this->answerOwn(statusUnavailable,
                        "no target is in a region that the request may reach",
                        this->context.spread(retryWhenNoDataCentre),
                        Outcome::RefusedFull);
        return;
    }
    if (this->origin.version() && counts.count(Ineligibility::Version) > 0
        && counts.count(Ineligibility::Version) == this->context.board.targetCount(this->admitted.service)) {
        this->answerOwn(statusUnavailable,
                        "no target of the software version that began the stream is left",
                        this->context.spread(retryWhenVersionGone),
                        Outcome::RefusedFull);
        return;
    }
    const Millis rest = this->context.board.remainingBackoff(this->admitted.service, now).value_or(Millis{0});
    this->answerOwn(statusUnavailable,
                    "no target could take the request",
                    rest + this->context.spread(retryWhenFull),
                    Outcome::RefusedFull);
}

AnswerState GatewayExchange::Private::answerState() const
{
    AnswerState state;
    state.hasHead = this->answer.hasHead();
    state.status = this->answer.targetAnswer().status;
    state.didNotRun = this->answer.targetAnswer().didNotRun;
    state.isMisdirected = this->answer.targetAnswer().isMisdirected;
    state.isIdempotent = this->admitted.route->isIdempotent();
    state.isAnswerBegun = this->answer.isBegun();
    state.isForwardedAsItArrives = this->answer.isForwardedAsItArrives();
    state.isInsideEvent = this->answer.isInsideEvent();
    state.isEmptyStream
        = this->answer.isEventStream() && this->answer.lastEventId().empty() && this->answer.eventCount() == 0;
    state.end = this->answerEnd.kind();
    return state;
}

void GatewayExchange::answerBegan(const HttpHead &head, const TargetAnswer &answer)
{
    const Millis now = Millis::monotonicNow();
    this->d->context.board.recordActivity(this->d->chosen.target.id, now);
    this->d->context.reachability.recordAnswer(this->d->admitted.service);
    this->d->lastPartAt = now;
    if (!this->d->context.memory.hasRoomForHead(memoryOfAnswerHead(head))) {
        this->d->context.metrics.add("gateway_answer_heads_refused_total");
        AnswerState state = this->d->answerState();
        state.hasHead = true;
        state.didNotRun = answer.didNotRun;
        state.isMisdirected = answer.isMisdirected;
        this->d->endAttempt(classifyLostAnswer(state, AttemptEnd::Broken), now);
        return;
    }
    this->d->answer.began(head, answer);
    this->d->lines.notes().announcedLoad = answer.heldRequests;
    this->d->recordAnnouncements(answer, now);
}

void GatewayExchange::Private::recordAnnouncements(const TargetAnswer &given, Millis now)
{
    // Another target at the same address announces nothing about the chosen one.
    if (given.isMisdirected) {
        return;
    }
    this->context.brittleLimit.recordAnnouncement(this->admitted.service, given.mostRejections, now);
    if (given.isLeaving) {
        this->lines.notes().announcement = "leaves";
        if (this->context.board.markLeaving(this->chosen.target.id, now)) {
            this->context.log.info(
                LogPart::Targets, "target says that it leaves", {{"target", this->chosen.target.id.value}});
        }
    }
    if (given.restFor) {
        this->lines.notes().announcement = "rests " + std::to_string(given.restFor->count);
        this->context.board.setBackoff(this->chosen.target.id, now + *given.restFor, now);
        this->context.metrics.add("gateway_rests_asked_total");
    }
}

void GatewayExchange::answerBytes(std::string bytes)
{
    const Millis now = Millis::monotonicNow();
    this->d->lastPartAt = now;
    this->d->context.board.recordActivity(this->d->chosen.target.id, now);
    const bool hasPart = this->d->answer.add(bytes);
    if (this->d->answer.isTooLong()) {
        this->d->endAttempt(classifyLostAnswer(this->d->answerState(), AttemptEnd::Broken), now);
        return;
    }
    if (!hasPart) {
        return;
    }
    this->d->cancelHedge("lost", now);
    this->d->crashGuard.recordPart(now);
    if (this->d->answer.isEventStream()) {
        this->d->recordFirstPart(now);
        const TargetAnswer &given = this->d->answer.targetAnswer();
        this->d->place.reportBegun(
            now - this->d->sentAt, given.slownessPercent.value_or(0), given.heldRequests.value_or(0));
        this->d->origin.recordBeginning(this->d->admitted, this->d->chosen.target, now);
    } else {
        this->d->attempts.markAnswerNotResumable();
    }
    this->d->answer.writeReady();
}

void GatewayExchange::Private::recordFirstPart(Millis now)
{
    if (this->firstPartAt != Millis{0}) {
        return;
    }
    this->firstPartAt = now;
    this->context.recordFirstAnswerTime(this->admitted.service, now - this->sentAt);
    this->context.metrics.observe(
        this->admitted.labels, Measure::FirstToken, static_cast<double>((now - this->receivedAt).count));
}

bool GatewayExchange::Private::setReading(bool on)
{
    if (this->call) {
        this->call->setReading(on);
    }
    return this->call != nullptr;
}

void GatewayExchange::callerDrained()
{
    this->d->answer.callerDrained();
}

void GatewayExchange::answerComplete()
{
    const Millis now = Millis::monotonicNow();
    const bool isClosed = this->d->call->endedByClose();
    this->d->answerEnd.setKind(isClosed ? AnswerEnd::Close : AnswerEnd::Framing);
    if (const std::optional<AttemptOutcome> outcome = classifyCompleteAnswer(this->d->answerState())) {
        this->d->endAttempt(*outcome, now);
    } else if (isClosed) {
        this->d->answerEnd.confirm(this->d->chosen.target, now, [this](bool isWhole) {
            if (!this->d->isFinished) {
                this->d->finishConfirming(isWhole);
            }
        });
    } else {
        this->d->completeAnswer(now);
    }
}

void GatewayExchange::Private::finishConfirming(bool isWhole)
{
    const Millis now = Millis::monotonicNow();
    if (isWhole) {
        this->completeAnswer(now);
        return;
    }
    this->crashGuard.recordLostTarget(now);
    if (const std::optional<AttemptOutcome> outcome = classifyCompleteAnswer(this->answerState())) {
        this->endAttempt(*outcome, now);
    }
}

void GatewayExchange::Private::completeAnswer(Millis now)
{
    const int status = this->answer.targetAnswer().status;
    this->recordAnswerTime(now);
    this->crashGuard.recordAnswer(status, now);
    this->closeCall(markForStatus(status), now);
    if (this->answer.isBegun()) {
        this->endStream();
    } else {
        this->forwardHeld(now);
    }
}

void GatewayExchange::Private::endStream()
{
    this->answer.endStream();
    this->finish(Outcome::Complete, "answered");
    // A caller that was not informed of a close may send its next request at once, which would race with the close.
    this->caller.finished(this->answer.closes());
}

void GatewayExchange::Private::forwardHeld(Millis now)
{
    const int status = this->answer.targetHead().status;
    if (falselyImpliesNotRun(status, this->answer.targetAnswer().didNotRun)) {
        this->answerOwn(statusBadGateway, "the target failed", std::nullopt, Outcome::Unknown);
        return;
    }
    this->recordFirstPart(now);
    this->answer.writeHeld();
    this->finish(status >= firstFailure ? Outcome::Unknown : Outcome::Complete, "answered");
    this->caller.finished(this->answer.closes());
}

void GatewayExchange::callFailed(AttemptEnd end)
{
    const Millis now = Millis::monotonicNow();
    if (this->d->call->hasLostConnection()) {
        this->d->crashGuard.recordLostTarget(now);
    }
    this->d->endAttempt(classifyLostAnswer(this->d->answerState(), end), now);
}

void GatewayExchange::Private::answerOwn(int status,
                                         const std::string &reason,
                                         std::optional<Millis> retryAfter,
                                         Outcome outcome)
{
    if (this->endReason.empty()) {
        this->endReason = reason;
    }
    this->answer.answerOwn(this->admitted.request, status, reason, retryAfter);
    this->finish(outcome, this->endReason);
    this->caller.finished(this->answer.closes());
}

void GatewayExchange::Private::finish(Outcome outcome, std::string_view how)
{
    this->isFinished = true;
    this->cancelHedge("lost", Millis::monotonicNow());
    this->place.cancel();
    this->place.release(PlaceOutcome::Unused, Millis{0});
    this->context.metrics.countOutcome(this->admitted.labels, outcome);
    const Millis now = Millis::monotonicNow();
    if (this->isTimed) {
        this->context.durations.end(this->admitted.route->name, this->receivedAt, outcome == Outcome::Complete, now);
    }
    this->lines.writeEnd({nameOf(outcome),
                          how,
                          this->answer.status(),
                          this->chosen,
                          this->attempts.targetsUsed(),
                          this->crashGuard.fingerprintText(),
                          this->loggedAnswer(),
                          this->context.proofAge(now),
                          this->receivedAt,
                          this->context.stop.timeInStop(this->receivedAt),
                          this->firstPartAt,
                          this->caller.connectionNumber()},
                         now);
}

ExchangeAnswerState GatewayExchange::Private::loggedAnswer() const
{
    const bool hasHead = this->answer.hasHead();
    return {this->answer.eventCount(),
            hasHead ? std::string(nameOf(framingOf(this->answer.targetHead()))) : "none",
            this->answer.isInsideEvent()};
}

WaitState GatewayExchange::Private::waitState(Millis now) const
{
    const GatewayRoute &route = *this->admitted.route;
    WaitState state;
    state.now = now;
    state.deadline = this->admitted.deadline;
    state.sentAt = this->sentAt;
    state.lastPartAt = this->lastPartAt;
    state.targetActiveAt = this->context.board.lastActivity(this->chosen.target.id);
    state.isConnected = this->call && this->call->isConnected();
    state.hasEvents = this->answer.eventCount() > 0 && this->answer.hasHead();
    state.isReadingPaused = this->answer.isReadingPaused();
    state.isProcessGone = this->context.board.isReplaced(this->chosen.target);
    state.isPathCut = this->isPathCut();
    state.mayRunElsewhere = this->attempts.mayRunElsewhere() && !this->hedge;
    state.mayRunTwiceAtOnce = route.kind == RouteKind::Idempotent;
    state.latencyAim = route.latencyAim;
    state.gapAim = route.gapAim;
    state.usualFirstAnswer = this->context.usualFirstAnswer(this->admitted.service);
    return state;
}

bool GatewayExchange::Private::isPathCut() const
{
    return this->call && this->call->isConnected() && this->call->through().value.empty()
        && this->context.reachability.isCutOff(this->chosen.target.service);
}

void GatewayExchange::Private::checkSilence(Millis now)
{
    if (!this->call || !this->call->isConnected() || !this->call->through().value.empty()
        || this->answer.isReadingPaused()) {
        return;
    }
    constexpr Millis minSilence{200};
    constexpr std::int64_t usualTimeFactor = 2;
    const GatewayTarget &target = this->chosen.target;
    const bool hasEvents = this->answer.eventCount() > 0;
    const Millis usual
        = hasEvents ? this->admitted.route->gapAim : this->context.usualFirstAnswer(target.service) * usualTimeFactor;
    const bool isTargetActive = this->context.board.lastActivity(target.id) > this->lastPartAt;
    if (!isTargetActive && now - this->lastPartAt >= std::max(usual, minSilence)) {
        this->context.reachability.recordSilence(target.service, target.id, now);
    }
}

void GatewayExchange::tick(Millis now)
{
    if (this->d->isHeld && (!this->d->context.isStarting || now >= this->d->context.holdsRequestsUntil)) {
        this->d->isHeld = false;
        this->d->begin();
        return;
    }
    if (!this->d->isFinished && this->d->admitted.route != nullptr) {
        this->d->checkTimes(now);
    }
}

void GatewayExchange::Private::checkTimes(Millis now)
{
    this->checkHedgeTimes(now);
    const bool isTimeUp = now >= this->admitted.deadline;
    if (this->isFinished || (!this->call && !isTimeUp)) {
        return;
    }
    if (this->answerEnd.kind() == AnswerEnd::UnconfirmedClose) {
        if (isTimeUp) {
            this->endAttempt({AttemptEnd::Broken, TargetOutcome::Neutral}, now);
        }
        return;
    }
    this->checkSilence(now);
    this->checkHedge(now);
    const WaitDecision wait = checkWait(this->waitState(now));
    if (wait == WaitDecision::RetryElsewhere && !this->mayRetryElsewhere(now)) {
        return;
    }
    if (const std::optional<AttemptOutcome> outcome = classifyAbandonedWait(wait, this->answer.hasHead())) {
        this->endAttempt(*outcome, now);
    }
}

bool GatewayExchange::Private::mayRetryElsewhere(Millis now)
{
    const LeaveDecision decision = this->attempts.tryLeaveTarget(now, *this);
    if (decision == LeaveDecision::NoRetry) {
        // Waits for the same time again before it asks the retry budget again.
        this->lastPartAt = now;
    }
    return decision == LeaveDecision::Leave;
}

void GatewayExchange::endForStop()
{
    if (this->d->isFinished) {
        return;
    }
    const Millis now = Millis::monotonicNow();
    this->d->lines.writeStopEnd(this->d->chosen.target.id,
                                this->d->context.stop.timeInStop(this->d->receivedAt).value_or(Millis{0}),
                                this->d->admitted.deadline - now,
                                this->d->loggedAnswer());
    this->d->context.metrics.add("gateway_requests_ended_by_stop_total");
    if (!this->d->call && !this->d->hedge && this->d->attempts.targetsUsed() == 0) {
        const Millis retry = this->d->context.retryAfterStop(now);
        this->d->answerOwn(statusUnavailable, "the gateway stops", retry, Outcome::RefusedFull);
        return;
    }
    this->d->endAttempt({AttemptEnd::DeadlineExceeded, TargetOutcome::Neutral}, now);
}

void GatewayExchange::callerGone()
{
    if (this->d->isFinished) {
        return;
    }
    this->d->closeCall(TargetOutcome::Neutral, Millis::monotonicNow());
    this->d->finish(Outcome::Cancelled, "the caller left");
}

std::size_t GatewayExchange::heldBackBytes() const
{
    const bool isHeldBack = this->d->call && this->d->answer.isReadingPaused();
    return isHeldBack ? this->d->call->unreadBytes() : 0;
}

bool GatewayExchange::isOver() const
{
    return this->d->isFinished;
}

} // namespace Sequoiausher
