#include "sequoiausher/transport/router/entry.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/transport/router/answerwriter.h"
#include "sequoiausher/transport/router/node.h"
#include "sequoiausher/transport/router/operatorpages.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <random>
#include <set>

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusBadRequest = 400;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;
constexpr Millis notReadyRetry{1000};
constexpr std::int64_t millisPerSecond = 1000;

std::string sha256Of(const std::string &key)
{
    const QByteArray digest = QCryptographicHash::hash(QByteArray::fromStdString(key), QCryptographicHash::Sha256);
    return digest.toHex().toStdString();
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

RequestFacts factsOf(const HttpExchange &exchange, const ClientRequest &parsed, const OrganisationId &organisation)
{
    RequestFacts facts;
    facts.organisation = organisation;
    facts.requestClass = parsed.requestClass;
    facts.model = parsed.model;
    facts.path = parsed.path;
    facts.method = parsed.method;
    facts.chatHash = hash64(parsed.chat);
    facts.promptBytes = parsed.promptLength;
    for (const HttpHeader &header : exchange.headers().entries) {
        facts.headers.push_back(RequestHeader{lowered(header.name), header.value});
    }
    facts.wallTime = Millis::wallNow();
    return facts;
}

void respondJson(HttpExchange &exchange, int status, const QJsonObject &object)
{
    HttpHeaders headers;
    headers.add("Content-Type", "application/json");
    exchange.respond(status, headers, QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString());
}

} // namespace

class Entry::Private
{
public:
    Private(const SessionContext &theContext, std::uint64_t seed) : context(theContext), random(seed)
    {
    }

    bool answerOwnPage(HttpExchange &exchange);
    void answerModels(HttpExchange &exchange);
    void route(const std::shared_ptr<HttpExchange> &exchange);
    void refuse(const std::shared_ptr<HttpExchange> &exchange,
                const RequestId &request,
                const ApiError &error,
                Ran ran,
                Millis retryAfter);
    void start(SessionOrder order);

    SessionContext context;
    std::mt19937_64 random;
    std::set<std::shared_ptr<RequestSession>> sessions;
};

bool Entry::Private::answerOwnPage(HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    if (path == "/healthz") {
        exchange.respond(statusOk, {}, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = this->context.node.isReady();
        exchange.respond(ready ? statusOk : statusUnavailable, {}, ready ? "ready\n" : "not ready\n");
    } else if (path == "/v1/models" && exchange.method() == "GET") {
        this->answerModels(exchange);
    } else {
        // Where operators have a listener of their own, callers never reach these pages.
        const bool open = this->context.node.settings().operators.address.empty();
        return open && answerOperatorPage(exchange, this->context.node, this->context.metrics);
    }
    return true;
}

void Entry::Private::answerModels(HttpExchange &exchange)
{
    QJsonArray models;
    std::set<std::string> names;
    if (const auto fleet = this->context.node.configuration()) {
        for (const auto &pool : fleet->pools) {
            names.insert(pool->model);
        }
    }
    names.erase("");
    for (const std::string &name : names) {
        models.append(QJsonObject{{QStringLiteral("id"), QString::fromStdString(name)},
                                  {QStringLiteral("object"), QStringLiteral("model")},
                                  {QStringLiteral("owned_by"), QStringLiteral("fleet")}});
    }
    respondJson(exchange,
                statusOk,
                QJsonObject{{QStringLiteral("object"), QStringLiteral("list")}, {QStringLiteral("data"), models}});
}

void Entry::Private::refuse(const std::shared_ptr<HttpExchange> &exchange,
                            const RequestId &request,
                            const ApiError &error,
                            Ran ran,
                            Millis retryAfter)
{
    AnswerWriter writer(exchange, request, this->context.node.self());
    writer.error(error, ran, retryAfter);
    this->context.metrics.add("requests_refused_at_entry_total{code=\"" + error.code + "\"}");
}

void Entry::Private::route(const std::shared_ptr<HttpExchange> &exchange)
{
    const RequestId request{this->random(), this->random()};
    const RequestHead head{exchange->method(), exchange->path(), [&exchange](std::string_view name) {
                               return std::string(exchange->headers().value(name));
                           }};
    ClientRequest parsed;
    try {
        parsed = parseClientRequest(head, exchange->body());
    } catch (const BadRequest &bad) {
        this->refuse(exchange, request, bad.error(), Ran::No, Millis{0});
        return;
    }
    // Nothing is known yet of a keyed request's earlier attempts, so a refusal here does not say that it was not run.
    const Ran ran = parsed.idempotencyKey.empty() ? Ran::No : Ran::Unknown;
    const std::shared_ptr<const FleetConfiguration> fleet = this->context.node.configuration();
    if (!fleet || !this->context.node.mayServe()) {
        const ApiError error{statusUnavailable, "not_ready", "This router has not learnt its configuration yet.", ""};
        this->refuse(exchange, request, error, ran, notReadyRetry);
        return;
    }
    const std::optional<OrganisationId> organisation = fleet->organisationOf(sha256Of(parsed.apiKey));
    if (!organisation) {
        const ApiError error{statusUnauthorized, "invalid_api_key", "The API key is not known.", "Authorization"};
        this->refuse(exchange, request, error, Ran::No, Millis{0});
        return;
    }
    RequestFacts facts = factsOf(*exchange, parsed, *organisation);
    facts.pools = this->context.node.poolStates();
    const std::optional<Decision> decision = fleet->rules->decide(facts);
    if (!decision) {
        const ApiError error{statusNotFound, "no_rule", "No rule routes this request.", parsed.isChat ? "model" : ""};
        this->refuse(exchange, request, error, ran, Millis{0});
        return;
    }
    if (decision->refusal) {
        const Refusal &refusal = *decision->refusal;
        const Millis retryAfter{static_cast<std::int64_t>(refusal.retryAfterSeconds.value_or(0)) * millisPerSecond};
        const ApiError error{static_cast<int>(refusal.status), "refused_by_rule", refusal.text, ""};
        this->refuse(exchange, request, error, ran, retryAfter);
        return;
    }
    if (decision->claim == ClaimMode::Required && parsed.idempotencyKey.empty()) {
        const ApiError error{
            statusBadRequest, "idempotency_key_required", "Send an Idempotency-Key.", "Idempotency-Key"};
        this->refuse(exchange, request, error, Ran::No, Millis{0});
        return;
    }
    const LimitDecision limit = this->context.node.takeRate(*organisation, parsed.requestClass, *decision);
    if (!limit.allowed) {
        const ApiError error{statusTooMany, "rate_limited", "The organisation's limit is reached.", ""};
        this->refuse(exchange, request, error, ran, std::max(limit.retryAfter, Millis{1}));
        return;
    }
    const Millis now = Millis::monotonicNow();
    Millis longest = decision->deadline.value_or(this->context.node.settings().limits.defaultDeadline);
    longest = std::min(longest, parsed.deadline.value_or(longest));
    const RequestLabels labels{*organisation, parsed.requestClass, decision->experiment, decision->arm};
    const bool usesPrefix = decision->policy == PolicyKind::PrefixRendezvous;
    const std::uint64_t prefixHash = usesPrefix ? prefixHashOf(*organisation, parsed.prefix) : 0;
    this->start(SessionOrder{request, exchange, parsed, *decision, labels, facts.chatHash, now + longest, prefixHash});
}

void Entry::Private::start(SessionOrder order)
{
    auto session = std::make_shared<RequestSession>(this->context, std::move(order));
    this->sessions.insert(session);
    session->begin();
}

Entry::Entry(const SessionContext &context, std::uint64_t seed) : d(std::make_unique<Private>(context, seed))
{
}

Entry::~Entry() = default;

void Entry::handle(std::shared_ptr<HttpExchange> exchange)
{
    if (!this->d->answerOwnPage(*exchange)) {
        this->d->route(exchange);
    }
}

void Entry::tick(Millis now)
{
    for (auto session = this->d->sessions.begin(); session != this->d->sessions.end();) {
        (*session)->tick(now);
        session = (*session)->isDone() ? this->d->sessions.erase(session) : std::next(session);
    }
}

void Entry::cutOff(Millis now)
{
    for (const std::shared_ptr<RequestSession> &session : this->d->sessions) {
        session->cutOff(now);
    }
}

std::size_t Entry::openSessions() const
{
    return static_cast<std::size_t>(std::count_if(
        this->d->sessions.begin(), this->d->sessions.end(), [](const auto &session) { return !session->isDone(); }));
}

} // namespace Sequoiausher
