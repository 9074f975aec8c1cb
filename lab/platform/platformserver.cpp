#include "lab/platform/platformserver.h"

#include "lab/platform/platformmodel.h"
#include "lab/support/labhttp.h"
#include "sequoiausher/base/error.h"

#include <QtCore/QDirIterator>
#include <QtCore/QFile>
#include <QtCore/QTimer>

#include <algorithm>
#include <limits>
#include <map>

namespace Sequoiausher::Lab {

namespace {

using ExchangePointer = std::shared_ptr<HttpExchange>;

constexpr std::string_view documentsPath = "/v1/documents";
constexpr std::string_view labDocumentsPath = "/lab/documents/";
constexpr std::int64_t defaultWatchMs = 30000;

QJsonObject listingJson(const Listing &listing)
{
    QJsonArray documents;
    for (const ListedDocument &document : listing.documents) {
        documents.append(QJsonObject{{"name", QString::fromStdString(document.name)},
                                     {"revision", static_cast<qint64>(document.revision)},
                                     {"deleted", document.deleted}});
    }
    return {{"revision", static_cast<qint64>(listing.revision)}, {"documents", documents}};
}

} // namespace

class PlatformServer::Private : public HttpHandler
{
public:
    explicit Private(const HttpServerOptions &options) : server(*this, options)
    {
        this->due.setSingleShot(true);
        this->due.setTimerType(Qt::PreciseTimer);
        QObject::connect(&this->due, &QTimer::timeout, &this->due, [this] { this->proceed(); });
    }

    ~Private() override
    {
        for (const auto &[watch, exchange] : this->watches) {
            exchange->onClientGone({});
        }
    }

    void handle(ExchangePointer exchange) override;

    void list(HttpExchange &exchange);
    void get(HttpExchange &exchange);
    void watch(const ExchangePointer &exchange);
    void labDocument(HttpExchange &exchange);
    void labTarget(HttpExchange &exchange);
    void labMode(HttpExchange &exchange);
    void labReads(HttpExchange &exchange) const;
    void proceed();

    PlatformModel model;
    std::map<WatchNumber, ExchangePointer> watches;
    WatchNumber lastWatch = 0;
    QTimer due;
    HttpServer server;
};

PlatformServer::PlatformServer(const HttpServerOptions &options) : d(std::make_unique<Private>(options))
{
}

PlatformServer::~PlatformServer() = default;

void PlatformServer::load(const std::string &folder)
{
    // Made absolute: relativeFilePath() takes a relative path as one below root and would keep the folder's name.
    const QDir root(QDir(QString::fromStdString(folder)).absolutePath());
    if (!root.exists()) {
        throw Error(Step::Platform, folder, "no such folder");
    }
    std::map<std::string, std::string> texts;
    QDirIterator files(root.path(), QDir::Files, QDirIterator::Subdirectories);
    while (files.hasNext()) {
        QFile file(files.next());
        if (!file.open(QIODevice::ReadOnly)) {
            throw Error(Step::Platform, file.fileName().toStdString(), file.errorString().toStdString());
        }
        QString name = root.relativeFilePath(file.fileName());
        if (name.endsWith(".ini")) {
            name.chop(4);
        }
        texts[name.toStdString()] = file.readAll().toStdString();
    }
    for (const auto &[name, text] : texts) {
        this->d->model.put(name, text, Millis::monotonicNow());
    }
}

void PlatformServer::listen()
{
    this->d->server.listen();
}

std::uint16_t PlatformServer::port() const
{
    return this->d->server.port();
}

void PlatformServer::Private::handle(ExchangePointer exchange)
{
    const std::string &path = exchange->path();
    const bool reads = exchange->method() == "GET";
    if (reads && path == documentsPath) {
        this->list(*exchange);
    } else if (reads && path.starts_with(std::string(documentsPath) + "/")) {
        this->get(*exchange);
    } else if (reads && path == "/v1/watch") {
        this->watch(exchange);
    } else if (path.starts_with(labDocumentsPath)) {
        this->labDocument(*exchange);
    } else if (path == "/lab/target" && exchange->method() == "POST") {
        this->labTarget(*exchange);
    } else if (path == "/lab/mode" && exchange->method() == "POST") {
        this->labMode(*exchange);
    } else if (path == "/lab/reads" && reads) {
        this->labReads(*exchange);
    } else {
        respondError(*exchange, 404, "unknown path");
    }
    this->proceed();
}

// A refused call returns without an answer: the exchange is let go, which closes its connection.

void PlatformServer::Private::list(HttpExchange &exchange)
{
    if (this->model.countRead(ReadKind::List, Millis::monotonicNow())) {
        respondJson(exchange, 200, listingJson(this->model.list(0)));
    }
}

void PlatformServer::Private::get(HttpExchange &exchange)
{
    if (!this->model.countRead(ReadKind::Get, Millis::monotonicNow())) {
        return;
    }
    const auto document = this->model.get(exchange.path().substr(documentsPath.size() + 1));
    if (!document) {
        respondError(exchange, 404, "no such document");
        return;
    }
    exchange.respond(
        200, {{{"Content-Type", "text/plain"}, {"X-Revision", std::to_string(document->revision)}}}, document->body);
}

void PlatformServer::Private::watch(const ExchangePointer &exchange)
{
    const Millis now = Millis::monotonicNow();
    if (!this->model.countRead(ReadKind::Watch, now)) {
        return;
    }
    const auto after = static_cast<Revision>(std::max<std::int64_t>(integerQuery(*exchange, "after", 0), 0));
    const Millis deadline = now + Millis{integerQuery(*exchange, "timeout_ms", defaultWatchMs)};
    const WatchNumber number = ++this->lastWatch;
    if (const auto listing = this->model.watch(number, after, deadline, now)) {
        respondJson(*exchange, 200, listingJson(*listing));
        return;
    }
    this->watches[number] = exchange;
    exchange->onClientGone([this, number] {
        this->model.forgetWatch(number);
        this->watches.erase(number);
    });
}

void PlatformServer::Private::labDocument(HttpExchange &exchange)
{
    const std::string name = exchange.path().substr(labDocumentsPath.size());
    const Millis now = Millis::monotonicNow();
    if (exchange.method() == "PUT" && !name.empty()) {
        this->model.put(name, exchange.body(), now);
        respondJson(exchange, 200, {});
        return;
    }
    const auto text = this->model.newest(name);
    if (!text) {
        respondError(exchange, 404, "no such document");
    } else if (exchange.method() == "DELETE") {
        this->model.erase(name, now);
        respondJson(exchange, 200, {});
    } else {
        exchange.respond(200, {{{"Content-Type", "text/plain"}}}, *text);
    }
}

void PlatformServer::Private::labTarget(HttpExchange &exchange)
{
    const QJsonObject wanted = jsonBody(exchange);
    const std::string name = "targets/" + wanted.value("pool").toString().toStdString();
    const auto text = this->model.newest(name);
    const auto edited = text ? withTargetState(*text,
                                               wanted.value("name").toString().toStdString(),
                                               wanted.value("state").toString().toStdString())
                             : std::nullopt;
    if (!edited) {
        respondError(exchange, 404, "no such pool or target");
        return;
    }
    this->model.put(name, *edited, Millis::monotonicNow());
    respondJson(exchange, 200, {});
}

void PlatformServer::Private::labMode(HttpExchange &exchange)
{
    const QJsonObject wanted = jsonBody(exchange);
    const auto current = nameOf(this->model.mode());
    const auto currentName = QString::fromUtf8(current.data(), static_cast<qsizetype>(current.size()));
    const auto mode = parseName<PlatformMode>(wanted.value("mode").toString(currentName).toStdString());
    if (!mode) {
        respondError(exchange, 400, "expected a mode of " + allNames<PlatformMode>());
        return;
    }
    if (wanted.contains("list_lag_ms")) {
        this->model.setListLag(Millis{wanted.value("list_lag_ms").toInteger()});
    }
    this->model.setMode(*mode, Millis::monotonicNow());
    respondJson(exchange, 200, {});
}

void PlatformServer::Private::labReads(HttpExchange &exchange) const
{
    const ReadCounts counts = this->model.reads(Millis::monotonicNow());
    respondJson(exchange,
                200,
                {{"lists", static_cast<qint64>(counts.lists)},
                 {"gets", static_cast<qint64>(counts.gets)},
                 {"watches", static_cast<qint64>(counts.watches)},
                 {"refused", static_cast<qint64>(counts.refused)},
                 {"total", static_cast<qint64>(counts.lists + counts.gets + counts.watches)},
                 {"waiting", static_cast<qint64>(counts.waiting)},
                 {"per_second", counts.perSecond},
                 {"peak_per_second", static_cast<qint64>(counts.peakPerSecond)}});
}

void PlatformServer::Private::proceed()
{
    const Millis now = Millis::monotonicNow();
    this->model.advance(now);
    for (const WatchAnswer &answer : this->model.takeAnswers()) {
        const auto watch = this->watches.find(answer.watch);
        if (watch == this->watches.end()) {
            continue;
        }
        const ExchangePointer exchange = watch->second;
        this->watches.erase(watch);
        exchange->onClientGone({});
        if (answer.listing) {
            respondJson(*exchange, 200, listingJson(*answer.listing));
        }
    }
    const Millis next = this->model.nextDue();
    if (next == Millis::never()) {
        this->due.stop();
        return;
    }
    const std::int64_t wait = std::clamp<std::int64_t>((next - now).count, 0, std::numeric_limits<int>::max());
    this->due.start(static_cast<int>(wait));
}

} // namespace Sequoiausher::Lab
