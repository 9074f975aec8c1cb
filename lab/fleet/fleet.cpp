#include "lab/fleet/fleet.h"

#include "lab/fleet/reservedport.h"
#include "lab/support/labcall.h"
#include "sequoiausher/base/error.h"

#include <QtCore/QFile>
#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QTemporaryDir>

#include <algorithm>
#include <functional>

namespace Sequoiausher::Lab {

namespace {

constexpr Millis startLimit{15000};
constexpr Millis callLimit{2000};
constexpr Millis pollEvery{30};
constexpr int statusOk = 200;

using Ports = std::vector<std::unique_ptr<ReservedPort>>;

Ports reserve(std::size_t count)
{
    Ports ports;
    for (std::size_t i = 0; i < count; ++i) {
        ports.push_back(std::make_unique<ReservedPort>());
    }
    return ports;
}

std::vector<std::uint16_t> numbers(const Ports &ports)
{
    std::vector<std::uint16_t> all;
    for (const auto &port : ports) {
        all.push_back(port->number());
    }
    return all;
}

std::string joined(const std::vector<std::uint16_t> &ports)
{
    std::string text;
    for (const std::uint16_t port : ports) {
        text += (text.empty() ? "" : ",") + std::to_string(port);
    }
    return text;
}

std::string toJson(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

/** Asks again and again until done or the limit; the event loop runs between. */
bool poll(const std::function<bool()> &done, Millis limit)
{
    const Millis end = Millis::monotonicNow() + limit;
    while (!done()) {
        if (Millis::monotonicNow() >= end) {
            return false;
        }
        LabCaller::waitFor([] { return false; }, pollEvery);
    }
    return true;
}

bool answersOk(std::uint16_t port, const std::string &path)
{
    LabCaller caller(port);
    return caller.call("GET", path, {}, {}, callLimit).status == statusOk;
}

void requirePost(std::uint16_t port, const std::string &path, const QJsonObject &body)
{
    LabCaller caller(port);
    const LabAnswer answer = caller.call("POST", path, toJson(body));
    if (answer.status != statusOk) {
        throw Error(Step::Connect, path, "answered with " + std::to_string(answer.status));
    }
}

} // namespace

class Fleet::Private
{
public:
    explicit Private(const FleetOptions &fleetOptions);

    std::string path(const std::string &file) const
    {
        return this->folder.filePath(QString::fromStdString(file)).toStdString();
    }

    std::unique_ptr<LabProcess>
    process(const std::string &name, const std::string &program, std::vector<std::string> arguments) const
    {
        return std::make_unique<LabProcess>(name, program, std::move(arguments), this->folder.path().toStdString());
    }

    void makeProcesses();
    void makeRouters();
    void makeRelays();
    void requireAnswer(LabProcess &of, std::uint16_t port, const std::string &path) const;
    void found(Fleet &fleet);

    FleetOptions options;
    QTemporaryDir folder;
    ReservedPort platformPort;
    ReservedPort relayControlPort;
    Ports enginePorts;
    Ports servicePorts;
    Ports routerPorts;
    Ports peerPorts;
    Ports relayPorts;
    std::vector<InstanceRow> rows;
    std::unique_ptr<LabProcess> platform;
    std::unique_ptr<LabProcess> engines;
    std::unique_ptr<LabProcess> services;
    std::unique_ptr<LabProcess> relays;
    std::vector<std::unique_ptr<LabProcess>> routers;
};

Fleet::Private::Private(const FleetOptions &fleetOptions)
    : options(fleetOptions)
    , enginePorts(reserve(fleetOptions.engines))
    , servicePorts(reserve(fleetOptions.services))
    , routerPorts(reserve(fleetOptions.routers))
    , peerPorts(reserve(fleetOptions.routers))
    , relayPorts(reserve(fleetOptions.relays ? fleetOptions.routers : 0))
{
    this->makeProcesses();
    this->makeRelays();
    this->makeRouters();
}

void Fleet::Private::makeProcesses()
{
    this->platform
        = this->process("platform", LAB_PLATFORM_PROGRAM, {"--port", std::to_string(this->platformPort.number())});
    this->engines = this->process(
        "engines",
        LAB_ENGINE_PROGRAM,
        {"--ports", joined(numbers(this->enginePorts)), "--name", "plate", "--step-ms", this->options.engineStepMs});
    this->services = this->process("services",
                                   LAB_SERVICE_PROGRAM,
                                   {"--ports",
                                    joined(numbers(this->servicePorts)),
                                    "--name",
                                    "desk",
                                    "--latency-ms",
                                    std::to_string(this->options.serviceLatencyMs)});
}

void Fleet::Private::makeRelays()
{
    std::vector<std::string> arguments{"--port", std::to_string(this->relayControlPort.number())};
    for (std::size_t i = 0; i < this->relayPorts.size(); ++i) {
        arguments.emplace_back("--map");
        arguments.push_back("127.0.0.1:" + std::to_string(this->relayPorts[i]->number())
                            + "=127.0.0.1:" + std::to_string(this->peerPorts[i]->number()));
    }
    this->relays = this->process("relays", LAB_RELAY_PROGRAM, arguments);
}

void Fleet::Private::makeRouters()
{
    for (std::size_t i = 0; i < this->options.routers; ++i) {
        RouterRow router;
        router.name = "r" + std::to_string(i + 1);
        router.dataCentre = dataCentreOf(i);
        router.port = this->routerPorts[i]->number();
        router.peerPort = this->peerPorts[i]->number();
        router.platformPort = this->platformPort.number();
        const std::string settings = this->path(router.name + ".ini");
        QFile file(QString::fromStdString(settings));
        if (!file.open(QIODevice::WriteOnly)) {
            throw Error(Step::Settings, settings, "cannot be written");
        }
        file.write(QByteArray::fromStdString(routerSettings(router, this->options)));
        this->routers.push_back(this->process(router.name, SEQUOIAUSHER_PROGRAM, {"router", "--config", settings}));
        InstanceRow row;
        row.name = router.name;
        row.port = router.port;
        row.peerPort = this->options.relays ? this->relayPorts[i]->number() : router.peerPort;
        this->rows.push_back(row);
    }
}

void Fleet::Private::requireAnswer(LabProcess &of, std::uint16_t port, const std::string &path) const
{
    if (!poll([&] { return answersOk(port, path); }, startLimit)) {
        throw Error(Step::Connect, of.name(), "did not become ready: " + of.output());
    }
}

// The operators' word that this fleet never ran: each router's incarnation, read from itself.
void Fleet::Private::found(Fleet &fleet)
{
    for (std::size_t i = 0; i < this->rows.size(); ++i) {
        this->rows[i].firstStart = fleet.status(i).value("incarnation").toInteger();
    }
    fleet.publishInstances();
    if (!fleet.waitUntilVoting(startLimit)) {
        throw Error(Step::Claim, "fleet", "the witnesses do not vote after the first start");
    }
}

Fleet::Fleet(const FleetOptions &options) : d(std::make_unique<Private>(options))
{
}

Fleet::~Fleet() = default;

void Fleet::start()
{
    this->d->platform->start();
    this->d->requireAnswer(*this->d->platform, this->platformPort(), "/lab/reads");
    if (!this->d->enginePorts.empty()) {
        this->d->engines->start();
        this->publish(std::string("targets/") + enginePool, engineDocument(this->enginePorts()));
    }
    if (!this->d->servicePorts.empty()) {
        this->d->services->start();
        this->publish(std::string("targets/") + servicePool, serviceDocument(this->servicePorts()));
    }
    if (this->d->options.relays) {
        this->d->relays->start();
        this->d->requireAnswer(*this->d->relays, this->d->relayControlPort.number(), "/lab/links");
    }
    this->publish("organisations", organisationsDocument());
    this->publish("rules/fleet", this->d->options.rules.empty() ? fleetRules() : this->d->options.rules);
    this->publishInstances();
    for (const auto &router : this->d->routers) {
        router->start();
    }
    for (std::size_t i = 0; i < this->routers(); ++i) {
        this->d->requireAnswer(this->router(i), this->routerPort(i), "/readyz");
    }
    if (!this->d->enginePorts.empty()) {
        this->d->requireAnswer(*this->d->engines, this->enginePorts().back(), "/lab/stats");
    }
    if (!this->d->servicePorts.empty()) {
        this->d->requireAnswer(*this->d->services, this->servicePorts().back(), "/lab/stats");
    }
    if (this->d->options.firstStart) {
        this->d->found(*this);
    }
}

const FleetOptions &Fleet::options() const
{
    return this->d->options;
}

std::size_t Fleet::routers() const
{
    return this->d->routers.size();
}

LabProcess &Fleet::router(std::size_t number)
{
    return *this->d->routers.at(number);
}

std::uint16_t Fleet::routerPort(std::size_t number) const
{
    return this->d->routerPorts.at(number)->number();
}

std::uint16_t Fleet::platformPort() const
{
    return this->d->platformPort.number();
}

std::vector<std::uint16_t> Fleet::enginePorts() const
{
    return numbers(this->d->enginePorts);
}

std::vector<std::uint16_t> Fleet::servicePorts() const
{
    return numbers(this->d->servicePorts);
}

LabProcess &Fleet::engines()
{
    return *this->d->engines;
}

LabProcess &Fleet::services()
{
    return *this->d->services;
}

LabProcess &Fleet::platform()
{
    return *this->d->platform;
}

void Fleet::restartRouter(std::size_t number)
{
    this->router(number).start();
}

bool Fleet::waitUntilReady(std::size_t number, Millis limit)
{
    return poll([&] { return answersOk(this->routerPort(number), "/readyz"); }, limit);
}

bool Fleet::waitUntilVoting(Millis limit)
{
    const auto votes = [this](std::size_t number) {
        return !this->router(number).isRunning() || this->status(number).value("may_vote").toBool();
    };
    return poll(
        [&] {
            for (std::size_t i = 0; i < this->routers(); ++i) {
                if (!votes(i)) {
                    return false;
                }
            }
            return true;
        },
        limit);
}

QJsonObject Fleet::status(std::size_t number) const
{
    LabCaller caller(this->routerPort(number));
    return caller.call("GET", "/status", {}, {}, callLimit).json();
}

void Fleet::publish(const std::string &name, const std::string &text)
{
    LabCaller caller(this->platformPort());
    const LabAnswer answer = caller.call("PUT", "/lab/documents/" + name, text);
    if (answer.status != statusOk) {
        throw Error(Step::Platform, name, "not published: status " + std::to_string(answer.status));
    }
}

std::vector<InstanceRow> &Fleet::instances()
{
    return this->d->rows;
}

void Fleet::publishInstances()
{
    this->publish("instances", instancesDocument(this->d->rows));
}

void Fleet::setPlatformMode(const std::string &mode)
{
    requirePost(this->platformPort(), "/lab/mode", {{"mode", QString::fromStdString(mode)}});
}

void Fleet::setEngineFault(const std::string &mode, std::int64_t value)
{
    for (const std::uint16_t port : this->enginePorts()) {
        requirePost(
            port, "/lab/fault", {{"mode", QString::fromStdString(mode)}, {"value", static_cast<qint64>(value)}});
    }
}

void Fleet::setServiceFault(const std::string &mode, std::int64_t value)
{
    for (const std::uint16_t port : this->servicePorts()) {
        requirePost(
            port, "/lab/fault", {{"mode", QString::fromStdString(mode)}, {"value", static_cast<qint64>(value)}});
    }
}

void Fleet::setLink(std::size_t number, const Link &link)
{
    const std::string listen = "127.0.0.1:" + std::to_string(this->d->relayPorts.at(number)->number());
    requirePost(this->d->relayControlPort.number(),
                "/lab/link",
                {{"listen", QString::fromStdString(listen)},
                 {"mode", QString::fromStdString(std::string(nameOf(link.mode)))},
                 {"ms", static_cast<qint64>(link.delay.count)}});
}

std::vector<TargetRun> Fleet::runs() const
{
    std::vector<TargetRun> all;
    const auto gather = [&all](std::uint16_t port, const std::string &target) {
        LabCaller caller(port);
        const LabAnswer answer = caller.call("GET", "/lab/runs");
        if (!answer.whole || answer.status != statusOk) {
            throw Error(Step::Read, target, "does not tell its runs");
        }
        for (const auto &run : answer.json().value("runs").toArray()) {
            // The routers' own question for the load, which a plain service counts like any call.
            if (run.toObject().value("path").toString() == "/load") {
                continue;
            }
            all.push_back({target,
                           run.toObject().value("request_id").toString().toStdString(),
                           run.toObject().value("idempotency_key").toString().toStdString(),
                           Millis{run.toObject().value("at_ms").toInteger()}});
        }
    };
    for (std::size_t i = 0; i < this->d->enginePorts.size(); ++i) {
        gather(this->d->enginePorts[i]->number(), "plate-" + std::to_string(i + 1));
    }
    for (std::size_t i = 0; i < this->d->servicePorts.size(); ++i) {
        gather(this->d->servicePorts[i]->number(), "desk-" + std::to_string(i + 1));
    }
    return all;
}

HttpHeaders Fleet::headers(const std::string &idempotencyKey)
{
    HttpHeaders headers;
    headers.add("Authorization", std::string("Bearer ") + labApiKey);
    headers.add("Content-Type", "application/json");
    if (!idempotencyKey.empty()) {
        headers.add("Idempotency-Key", idempotencyKey);
    }
    return headers;
}

std::string Fleet::chatBody(const std::string &prompt, int maxTokens, bool streamed)
{
    const QJsonObject message{{"role", "user"}, {"content", QString::fromStdString(prompt)}};
    return toJson(
        {{"model", enginePool}, {"messages", QJsonArray{message}}, {"max_tokens", maxTokens}, {"stream", streamed}});
}

} // namespace Sequoiausher::Lab
