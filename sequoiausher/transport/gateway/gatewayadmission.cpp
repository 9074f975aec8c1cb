#include "sequoiausher/transport/gateway/gatewayadmission.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <cctype>
#include <vector>

namespace Sequoiausher {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/** The time that an answer takes to reach the caller, who gives up at the deadline. */
constexpr Millis answerTransitTime{10};
/** With a proof not older than this, a route or key that the configuration lacks counts as nonexistent. */
constexpr Millis maxProofAgeForDenial{1500};
/** Retry-After if the gateway has just started without the store: another gateway most likely has a configuration. */
constexpr Millis retryWhenStarting{250};
/** Retry-After if the keys are unproven. */
constexpr Millis retryWhenUnproved{700};
/** Retry-After if the service is overloaded. */
constexpr Millis retryWhenShed{350};

RequestClass classOf(std::uint32_t priority)
{
    constexpr std::uint32_t backgroundFrom = 2;
    if (priority == 0) {
        return RequestClass::Urgent;
    }
    return priority < backgroundFrom ? RequestClass::Interactive : RequestClass::Background;
}

class Admission
{
public:
    Admission(GatewayContext &sharedContext,
              const HttpHead &requestHead,
              const RequestArrival &arrival,
              AdmittedRequest &result)
        : context(sharedContext)
        , head(requestHead)
        , receivedAt(arrival.receivedAt)
        , transferTime(arrival.transferTime)
        , admitted(result)
    {
    }

    std::optional<GatewayRefusal> admit();

private:
    /** Whether certainly no newer version of the configuration has the route or the key. */
    bool mayDeny() const;
    std::optional<GatewayRefusal> findOrganisation();
    std::optional<GatewayRefusal> decide();
    RequestFacts facts() const;

    GatewayContext &context;
    const HttpHead &head;
    Millis receivedAt;
    Millis transferTime;
    AdmittedRequest &admitted;
};

std::optional<GatewayRefusal> Admission::admit()
{
    try {
        this->admitted.request = this->context.dialect.readRequest(this->head);
    } catch (const Error &error) {
        return GatewayRefusal{statusBadRequest, error.reason(), std::nullopt, Outcome::RefusedInvalid};
    }
    std::optional<Millis> &timeLeft = this->admitted.request.timeLeft;
    if (timeLeft) {
        timeLeft = std::max(*timeLeft - this->transferTime, Millis{0});
    }
    if (!this->admitted.table) {
        const Millis retry = this->context.spread(retryWhenStarting);
        return GatewayRefusal{statusUnavailable, "no configuration is known yet", retry, Outcome::RefusedFull};
    }
    this->admitted.route = this->admitted.table->find(this->admitted.request.host, this->head.target);
    if (this->admitted.route == nullptr) {
        // A newer version may have the route, so only a proven configuration may deny it.
        if (this->mayDeny()) {
            return GatewayRefusal{statusNotFound, "no route leads here", std::nullopt, Outcome::RefusedInvalid};
        }
        const Millis retry = this->context.spread(retryWhenUnproved);
        return GatewayRefusal{statusUnavailable, "the routes may be out of date", retry, Outcome::RefusedFull};
    }
    if (std::optional<GatewayRefusal> refusal = this->findOrganisation()) {
        return refusal;
    }
    return this->decide();
}

bool Admission::mayDeny() const
{
    return !this->context.isBehind() && this->context.proofAge(this->receivedAt) <= maxProofAgeForDenial;
}

std::optional<GatewayRefusal> Admission::findOrganisation()
{
    std::uint32_t priority = this->admitted.route->priority;
    this->admitted.allowedRegions = findAllowedRegions(*this->admitted.route, nullptr);
    if (this->admitted.table->needsKeys() && !this->admitted.route->isPublic) {
        const Millis age = this->context.proofAge(this->receivedAt);
        const GatewayOrganisation *found = this->admitted.table->organisationOf(this->admitted.request.key);
        if (found == nullptr && this->mayDeny()) {
            return GatewayRefusal{statusUnauthorized, "the key is not known", std::nullopt, Outcome::RefusedInvalid};
        }
        // A key may have been revoked since the last proof, so an old proof admits nothing. A newer version that is
        // known to exist was published after that proof, and has to be in force within two seconds of its publication.
        const Millis longest = this->context.isBehind() ? maxProofAgeForDenial : this->context.settings.keyFreshness;
        if (found == nullptr || age > longest) {
            const Millis retry = this->context.spread(retryWhenUnproved);
            return GatewayRefusal{statusUnavailable, "the keys may be out of date", retry, Outcome::RefusedFull};
        }
        this->admitted.organisation = found->name;
        this->admitted.allowedRegions = findAllowedRegions(*this->admitted.route, found);
        priority = found->priority.value_or(priority);
    }
    this->admitted.requestClass = classOf(priority);
    return std::nullopt;
}

RequestFacts Admission::facts() const
{
    RequestFacts facts;
    facts.organisation = this->admitted.organisation;
    facts.requestClass = this->admitted.requestClass;
    facts.model = this->admitted.request.model;
    facts.path = this->head.target.substr(0, this->head.target.find('?'));
    facts.method = this->head.method;
    facts.chatHash = this->admitted.partHash;
    // Rules count four bytes per token; requests to plain services have no tokens.
    constexpr std::uint64_t bytesPerToken = 4;
    facts.promptBytes = this->admitted.request.promptTokens * bytesPerToken;
    for (const HttpHeader &header : this->head.headers.entries) {
        RequestHeader &lower = facts.headers.emplace_back(RequestHeader{header.name, header.value});
        std::transform(lower.name.begin(), lower.name.end(), lower.name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
    }
    facts.wallTime = Millis::wallNow();
    const auto targets = static_cast<std::uint32_t>(this->context.board.targetCount(this->admitted.service));
    const std::uint64_t inFlight = this->context.board.inFlight(this->admitted.service, this->receivedAt);
    // Gateways that restart or are cut off count on, so that all gateways go by the same rule meanwhile.
    facts.gateways = static_cast<std::uint32_t>(this->context.peers.fleetSize(this->receivedAt));
    facts.pools = std::make_shared<const std::vector<PoolState>>(1, PoolState{PoolId{routedPool}, targets, inFlight});
    return facts;
}

std::optional<GatewayRefusal> Admission::decide()
{
    this->admitted.service = RouteTable::chooseService(*this->admitted.route, hash64(this->admitted.request.attemptId));
    std::vector<std::uint64_t> hashes;
    std::vector<std::uint32_t> tokens;
    for (const PromptPart &part : this->admitted.request.parts) {
        hashes.push_back(hash64(part.id));
        tokens.push_back(part.tokens);
    }
    this->admitted.parts = PromptParts(hashes, tokens);
    this->admitted.partHash
        = this->admitted.parts.empty() ? hash64(this->admitted.request.attemptId) : this->admitted.parts.lastShared();
    const std::optional<Decision> decided = this->context.rules->decide(this->facts());
    this->admitted.labels = {this->admitted.organisation, this->admitted.requestClass, {}, {}};
    if (!decided) {
        return GatewayRefusal{statusNotFound, "no rule takes this request", std::nullopt, Outcome::RefusedInvalid};
    }
    this->admitted.decision = *decided;
    this->admitted.labels.experiment = decided->experiment;
    this->admitted.labels.arm = decided->arm;
    if (decided->refusal) {
        const auto seconds = decided->refusal->retryAfterSeconds;
        constexpr std::int64_t secondMs = 1000;
        return GatewayRefusal{static_cast<int>(decided->refusal->status),
                              decided->refusal->text,
                              seconds ? std::optional(Millis{*seconds * secondMs}) : std::nullopt,
                              Outcome::RefusedLimit};
    }
    Millis time = this->admitted.route->timeout;
    time = std::min(time, this->admitted.request.timeLeft.value_or(time) - answerTransitTime);
    time = std::min(time, decided->deadline.value_or(time));
    this->admitted.deadline = this->receivedAt + time;
    const Millis now = std::max(this->receivedAt, Millis::monotonicNow());
    if (this->admitted.deadline <= now) {
        return GatewayRefusal{statusUnavailable, "the caller's time is over", std::nullopt, Outcome::RefusedFull};
    }
    if (!this->context.mayBegin(*this->admitted.route, this->admitted.deadline - now, now)) {
        this->context.metrics.add("gateway_requests_refused_for_stop_total");
        return GatewayRefusal{
            statusUnavailable, "the gateway stops", this->context.retryAfterStop(now), Outcome::RefusedFull};
    }
    this->context.retryBudget.countRequest(
        this->admitted.service, this->context.retryBudgetFleet(this->receivedAt), this->receivedAt);
    if (decided->overload != Overload::Shed) {
        return std::nullopt;
    }
    return shedByOwnAnswers(this->context, this->admitted, this->receivedAt);
}

} // namespace

Millis estimateWaited(GatewayContext &context, const AdmittedRequest &admitted, Millis receivedAt)
{
    const GatewayRoute &route = *admitted.route;
    const Millis left = admitted.request.timeLeft.value_or(route.timeout);
    return context.patience.estimateWaited(route.name, left, receivedAt);
}

std::optional<GatewayRefusal> shedByOwnAnswers(GatewayContext &context, AdmittedRequest &admitted, Millis receivedAt)
{
    const Millis spent = estimateWaited(context, admitted, receivedAt);
    const SheddingRank rank{admitted.requestClass, spent >= admitted.route->latencyAim};
    const SheddingDecision decision
        = context.shedder.decideAdmission(admitted.service, rank, context.draw(), receivedAt);
    admitted.admittedFraction = decision.admittedFraction;
    if (decision.isAdmitted) {
        return std::nullopt;
    }
    const Millis retry = context.spread(retryWhenShed);
    return GatewayRefusal{statusUnavailable, "the service is overloaded", retry, Outcome::RefusedFull};
}

std::optional<GatewayRefusal>
admitRequest(GatewayContext &context, const HttpHead &head, const RequestArrival &arrival, AdmittedRequest &admitted)
{
    admitted.table = context.table;
    return Admission(context, head, arrival, admitted).admit();
}

} // namespace Sequoiausher
