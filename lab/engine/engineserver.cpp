#include "lab/engine/engineserver.h"

#include "lab/engine/engineprotocol.h"
#include "lab/engine/enginestreams.h"
#include "lab/engine/steptimer.h"
#include "lab/support/labhttp.h"

#include <QtCore/QTimer>

#include <optional>

namespace Sequoiausher::Lab {

namespace {

using ExchangePointer = std::shared_ptr<HttpExchange>;

constexpr std::string_view streamsPath = "/v1/streams/";
constexpr int defaultPriority = 5;
constexpr std::size_t cacheEventsPerCall = 1000;
/** How often lost and ended streams are looked at. */
constexpr int housekeepingMs = 100;
/** How long a lone request waits for another to be crossed with. */
constexpr int crossedWaitMs = 200;

/** A call that waits for another whose answer it is to get. */
struct WaitingCall
{
    ExchangePointer exchange;
    ChatCall call;
};

QJsonObject runJson(const RunRecord &record)
{
    return {{"request_id", QString::fromStdString(record.request.toHex())},
            {"idempotency_key", QString::fromStdString(record.idempotencyKey)},
            {"chat", QString::fromStdString(record.chat)},
            {"nonce", QString::fromStdString(record.nonce)},
            {"tokens", static_cast<qint64>(record.tokens)},
            {"at_ms", static_cast<qint64>(record.at.count)},
            {"finished", record.finished},
            {"cancelled", record.cancelled},
            {"cached_tokens", static_cast<qint64>(record.cachedTokens)},
            {"prompt_tokens", static_cast<qint64>(record.promptTokens)}};
}

} // namespace

class EngineServer::Private : public HttpHandler
{
public:
    explicit Private(const EngineServerOptions &serverOptions)
        : options(serverOptions)
        , model(serverOptions.settings)
        , streams(this->model)
        , timer([this] { return this->step(); })
        , server(*this, serverOptions.listen)
    {
        QObject::connect(&this->housekeeping, &QTimer::timeout, &this->housekeeping, [this] {
            this->model.expire(Millis::monotonicNow());
        });
        this->housekeeping.start(housekeepingMs);
    }

    void handle(ExchangePointer exchange) override;

    void chat(const ExchangePointer &exchange);
    void chatUnderFault(const ExchangePointer &exchange, const ChatCall &call);
    void crossed(const ExchangePointer &exchange, const ChatCall &call);
    RunNumber submit(const ChatCall &call);
    void run(const ExchangePointer &exchange, const ChatCall &call, const ReaderFault &readerFault);
    std::optional<std::int64_t> step();
    void stream(const ExchangePointer &exchange);
    void reports(const ExchangePointer &exchange);
    void lab(const ExchangePointer &exchange);

    EngineServerOptions options;
    EngineModel model;
    EngineStreams streams;
    StepTimer timer;
    Fault fault;
    std::optional<WaitingCall> waiting;
    /** Requests that are never to be answered; kept, since an exchange let go closes its connection. */
    std::vector<ExchangePointer> silenced;
    QTimer housekeeping;
    HttpServer server;
};

EngineServer::EngineServer(const EngineServerOptions &options) : d(std::make_unique<Private>(options))
{
}

EngineServer::~EngineServer() = default;

void EngineServer::listen()
{
    this->d->server.listen();
}

std::uint16_t EngineServer::port() const
{
    return this->d->server.port();
}

void EngineServer::Private::handle(ExchangePointer exchange)
{
    const std::string &path = exchange->path();
    if (handleFaultCall(*exchange, this->fault)) {
        return;
    }
    if (path == "/v1/chat/completions" && exchange->method() == "POST") {
        this->chat(exchange);
    } else if (path.starts_with(streamsPath)) {
        this->stream(exchange);
    } else if (path.starts_with("/lab/")) {
        this->lab(exchange);
    } else {
        this->reports(exchange);
    }
}

void EngineServer::Private::chat(const ExchangePointer &exchange)
{
    std::optional<ChatCall> call = parseChat(exchange->body());
    if (!call) {
        respondError(*exchange, 400, "expected a JSON object with messages", {{{"X-Ran", "no"}}});
        return;
    }
    EngineRequest &request = call->request;
    request.request = requestIdOf(*exchange);
    request.idempotencyKey = exchange->headers().value("Idempotency-Key");
    request.chat = exchange->headers().value("X-Chat-Id");
    request.priority = static_cast<int>(integerHeader(*exchange, "X-Priority", defaultPriority));
    if (this->fault.mode == FaultMode::None) {
        this->run(exchange, *call, {});
    } else {
        this->chatUnderFault(exchange, *call);
    }
}

void EngineServer::Private::chatUnderFault(const ExchangePointer &exchange, const ChatCall &call)
{
    const bool runs = this->fault.value == 1;
    switch (this->fault.mode) {
    case FaultMode::Refuse:
        respondError(*exchange, 503, "refused", {{{"X-Ran", "no"}, {"Retry-After", "1"}}});
        break;
    case FaultMode::Slow:
        QTimer::singleShot(static_cast<int>(this->fault.value), &this->housekeeping, [this, exchange, call] {
            this->run(exchange, call, {});
        });
        break;
    case FaultMode::Silent:
        this->silenced.push_back(exchange);
        if (runs) {
            this->submit(call);
        }
        break;
    case FaultMode::BreakMidway:
        this->run(exchange, call, {.breakAfter = static_cast<std::size_t>(this->fault.value)});
        break;
    case FaultMode::WrongId:
        this->run(exchange, call, {.answerId = madeUpRequestId()});
        break;
    case FaultMode::Crossed:
        this->crossed(exchange, call);
        break;
    case FaultMode::Error500:
        if (runs) {
            this->submit(call);
        }
        respondError(*exchange, 500, "failed");
        break;
    case FaultMode::None:
        break;
    }
}

void EngineServer::Private::crossed(const ExchangePointer &exchange, const ChatCall &call)
{
    if (this->waiting) {
        const WaitingCall other = *std::exchange(this->waiting, std::nullopt);
        this->run(exchange, other.call, {});
        this->run(other.exchange, call, {});
        return;
    }
    this->waiting = WaitingCall{exchange, call};
    QTimer::singleShot(crossedWaitMs, &this->housekeeping, [this, exchange] {
        if (this->waiting && this->waiting->exchange == exchange) {
            const WaitingCall lone = *std::exchange(this->waiting, std::nullopt);
            this->run(lone.exchange, lone.call, {});
        }
    });
}

RunNumber EngineServer::Private::submit(const ChatCall &call)
{
    const RunNumber run = this->model.submit(call.request, Millis::monotonicNow());
    this->timer.wake(this->model.stepMicros());
    return run;
}

void EngineServer::Private::run(const ExchangePointer &exchange, const ChatCall &call, const ReaderFault &readerFault)
{
    if (exchange->isClientGone()) {
        return;
    }
    const RunNumber run = this->submit(call);
    this->streams.add(exchange, run, call.stream, 0, readerFault);
    this->streams.deliver();
}

std::optional<std::int64_t> EngineServer::Private::step()
{
    this->model.step(Millis::monotonicNow());
    this->streams.deliver();
    return this->model.busy() ? std::make_optional(this->model.stepMicros()) : std::nullopt;
}

void EngineServer::Private::stream(const ExchangePointer &exchange)
{
    const auto id = RequestId::fromHex(std::string_view(exchange->path()).substr(streamsPath.size()));
    const auto run = id ? this->model.find(*id) : std::nullopt;
    if (!run || this->model.record(*run).cancelled) {
        respondError(*exchange, 404, "unknown stream");
        return;
    }
    if (exchange->method() == "DELETE") {
        this->model.cancel(*run, Millis::monotonicNow());
        this->streams.endCancelled(*run);
        exchange->respond(204, {}, "");
        return;
    }
    const std::int64_t offset = integerQuery(*exchange, "offset", 0);
    const std::size_t endOffset = this->model.record(*run).tokens + 1;
    if (exchange->method() != "GET" || offset < 0 || static_cast<std::size_t>(offset) > endOffset) {
        respondError(*exchange, 400, "expected GET with an offset within the stream");
        return;
    }
    this->model.attach(*run);
    this->streams.add(exchange, *run, true, static_cast<std::size_t>(offset), {});
    this->streams.deliver();
}

void EngineServer::Private::reports(const ExchangePointer &exchange)
{
    const std::string &path = exchange->path();
    const Millis now = Millis::monotonicNow();
    if (path == "/load") {
        const EngineLoad load = this->model.load(now);
        respondJson(*exchange,
                    200,
                    {{"target", QString::fromStdString(this->options.name)},
                     {"incarnation", static_cast<qint64>(this->options.incarnation)},
                     {"in_flight", static_cast<qint64>(load.inFlight)},
                     {"queued", static_cast<qint64>(load.queued)},
                     {"capacity", static_cast<qint64>(this->options.settings.maxBatch)},
                     {"age_ms", static_cast<qint64>(load.age.count)}});
    } else if (path == "/cache_events") {
        std::int64_t next = integerQuery(*exchange, "after", 0);
        QJsonArray events;
        const auto after = static_cast<std::uint64_t>(next);
        for (const CacheEvent &event : this->model.cacheEvents(after, now, cacheEventsPerCall)) {
            next = static_cast<std::int64_t>(event.sequence);
            events.append(QJsonObject{{"sequence", static_cast<qint64>(next)},
                                      {"kind", QString::fromStdString(std::string(nameOf(event.change.kind)))},
                                      {"prefix", QString::number(event.change.block, 16)}});
        }
        respondJson(*exchange, 200, {{"next", static_cast<qint64>(next)}, {"events", events}});
    } else if (path == "/healthz" || path == "/readyz") {
        respondJson(*exchange, 200, {{"status", "ok"}});
    } else {
        respondError(*exchange, 404, "unknown path");
    }
}

void EngineServer::Private::lab(const ExchangePointer &exchange)
{
    if (exchange->path() == "/lab/runs") {
        QJsonArray runs;
        for (const RunRecord &record : this->model.records()) {
            runs.append(runJson(record));
        }
        respondJson(*exchange, 200, {{"runs", runs}});
    } else if (exchange->path() == "/lab/stats") {
        const EngineStats stats = this->model.stats();
        respondJson(*exchange,
                    200,
                    {{"in_flight", static_cast<qint64>(stats.inFlight)},
                     {"max_in_flight", static_cast<qint64>(stats.maxInFlight)},
                     {"runs", static_cast<qint64>(stats.runs)},
                     {"cached_tokens", static_cast<qint64>(stats.cachedTokens)},
                     {"prompt_tokens", static_cast<qint64>(stats.promptTokens)}});
    } else {
        respondError(*exchange, 404, "unknown path");
    }
}

} // namespace Sequoiausher::Lab
