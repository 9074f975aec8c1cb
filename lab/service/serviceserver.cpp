#include "lab/service/serviceserver.h"

#include "lab/support/labhttp.h"
#include "sequoiausher/base/hashing.h"

#include <QtCore/QJsonDocument>
#include <QtCore/QTimer>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace Sequoiausher::Lab {

namespace {

using ExchangePointer = std::shared_ptr<HttpExchange>;

/** How long a lone request waits for another to be crossed with. */
constexpr int crossedWaitMs = 200;

/** One run of a call. */
struct ServiceRun
{
    std::size_t number = 0;
    std::string requestId;
    std::string idempotencyKey;
    std::string method;
    std::string path;
    std::string echo;
    Millis at;
};

QString text(const std::string &value)
{
    return QString::fromStdString(value);
}

QJsonObject runJson(const ServiceRun &run)
{
    return {{"run", static_cast<qint64>(run.number)},
            {"request_id", text(run.requestId)},
            {"idempotency_key", text(run.idempotencyKey)},
            {"method", text(run.method)},
            {"path", text(run.path)},
            {"echo", text(run.echo)},
            {"at_ms", static_cast<qint64>(run.at.count)}};
}

QJsonObject answerJson(const ServiceRun &run)
{
    return {{"run", static_cast<qint64>(run.number)}, {"echo", text(run.echo)}};
}

HttpHeaders idHeader(const std::string &id)
{
    return {{{std::string(requestIdHeader), id}}};
}

} // namespace

class ServiceServer::Private : public HttpHandler
{
public:
    explicit Private(const ServiceServerOptions &serverOptions)
        : options(serverOptions)
        , server(*this, serverOptions.listen)
    {
    }

    void handle(ExchangePointer exchange) override;

    void lab(HttpExchange &exchange) const;
    void call(const ExchangePointer &exchange);
    ServiceRun run(const HttpExchange &exchange);
    void answerLater(const ExchangePointer &exchange, const ServiceRun &run, const Fault &shown);
    void answer(HttpExchange &exchange, const ServiceRun &run, const Fault &shown) const;
    void crossed(const ExchangePointer &exchange);

    ServiceServerOptions options;
    Fault fault;
    std::vector<ServiceRun> runs;
    std::size_t inFlight = 0;
    std::size_t maxInFlight = 0;
    std::optional<std::pair<ExchangePointer, ServiceRun>> waiting;
    /** Requests that are never to be answered; kept, since an exchange let go closes its connection. */
    std::vector<ExchangePointer> silenced;
    QObject context;
    HttpServer server;
};

ServiceServer::ServiceServer(const ServiceServerOptions &options) : d(std::make_unique<Private>(options))
{
}

ServiceServer::~ServiceServer() = default;

void ServiceServer::listen()
{
    this->d->server.listen();
}

std::uint16_t ServiceServer::port() const
{
    return this->d->server.port();
}

void ServiceServer::Private::handle(ExchangePointer exchange)
{
    if (handleFaultCall(*exchange, this->fault)) {
        return;
    }
    if (exchange->path().starts_with("/lab/")) {
        this->lab(*exchange);
        return;
    }
    this->call(exchange);
}

void ServiceServer::Private::lab(HttpExchange &exchange) const
{
    if (exchange.path() == "/lab/runs") {
        QJsonArray list;
        for (const ServiceRun &entry : this->runs) {
            list.append(runJson(entry));
        }
        respondJson(exchange, 200, {{"runs", list}});
    } else if (exchange.path() == "/lab/stats") {
        respondJson(exchange,
                    200,
                    {{"in_flight", static_cast<qint64>(this->inFlight)},
                     {"max_in_flight", static_cast<qint64>(this->maxInFlight)},
                     {"runs", static_cast<qint64>(this->runs.size())}});
    } else {
        respondError(exchange, 404, "unknown path");
    }
}

void ServiceServer::Private::call(const ExchangePointer &exchange)
{
    const bool alsoRuns = this->fault.value == 1;
    switch (this->fault.mode) {
    case FaultMode::Refuse:
        respondError(*exchange, 503, "refused", {{{"X-Ran", "no"}, {"Retry-After", "1"}}});
        break;
    case FaultMode::Slow: {
        const auto late = static_cast<int>(this->fault.value);
        QTimer::singleShot(
            late, &this->context, [this, exchange] { this->answerLater(exchange, this->run(*exchange), {}); });
        break;
    }
    case FaultMode::Silent:
        this->silenced.push_back(exchange);
        if (alsoRuns) {
            this->run(*exchange);
        }
        break;
    case FaultMode::Error500:
        if (alsoRuns) {
            this->run(*exchange);
        }
        respondError(*exchange, 500, "failed");
        break;
    case FaultMode::Crossed:
        this->crossed(exchange);
        break;
    case FaultMode::None:
    case FaultMode::BreakMidway:
    case FaultMode::WrongId:
        this->answerLater(exchange, this->run(*exchange), this->fault);
        break;
    }
}

ServiceRun ServiceServer::Private::run(const HttpExchange &exchange)
{
    ServiceRun made;
    made.number = this->runs.size();
    made.at = Millis::monotonicNow();
    made.requestId = exchange.headers().value(requestIdHeader);
    made.idempotencyKey = exchange.headers().value("Idempotency-Key");
    made.method = exchange.method();
    made.path = exchange.path();
    made.echo = QString::number(hash64(exchange.body()), 16).toStdString();
    this->runs.push_back(made);
    return made;
}

void ServiceServer::Private::answerLater(const ExchangePointer &exchange, const ServiceRun &run, const Fault &shown)
{
    ++this->inFlight;
    this->maxInFlight = std::max(this->maxInFlight, this->inFlight);
    const auto latency = static_cast<int>(this->options.latency.count);
    QTimer::singleShot(latency, Qt::PreciseTimer, &this->context, [this, exchange, run, shown] {
        --this->inFlight;
        this->answer(*exchange, run, shown);
    });
}

void ServiceServer::Private::answer(HttpExchange &exchange, const ServiceRun &run, const Fault &shown) const
{
    if (shown.mode == FaultMode::BreakMidway) {
        const QByteArray whole = QJsonDocument(answerJson(run)).toJson(QJsonDocument::Compact);
        exchange.startStream(200, idHeader(run.requestId));
        exchange.writeChunk(std::string_view(whole.constData(), static_cast<std::size_t>(whole.size() / 2)));
        exchange.abortStream();
        return;
    }
    const bool wrongId = shown.mode == FaultMode::WrongId;
    const std::string id = wrongId || run.requestId.empty() ? madeUpRequestId().toHex() : run.requestId;
    respondJson(exchange, 200, answerJson(run), idHeader(id));
}

void ServiceServer::Private::crossed(const ExchangePointer &exchange)
{
    const ServiceRun made = this->run(*exchange);
    if (this->waiting) {
        const auto other = *std::exchange(this->waiting, std::nullopt);
        this->answerLater(exchange, other.second, {});
        this->answerLater(other.first, made, {});
        return;
    }
    this->waiting = {exchange, made};
    QTimer::singleShot(crossedWaitMs, &this->context, [this, exchange] {
        if (this->waiting && this->waiting->first == exchange) {
            const auto lone = *std::exchange(this->waiting, std::nullopt);
            this->answerLater(lone.first, lone.second, {});
        }
    });
}

} // namespace Sequoiausher::Lab
