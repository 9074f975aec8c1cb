#include "lab/hostile/hostilebed.h"

#include "lab/support/labcall.h"
#include "platform/standindialect.h"
#include "sequoiausher/base/error.h"

#include <algorithm>
#include <fstream>

namespace Sequoiausher::Lab {

namespace {

constexpr const char *loopback = "127.0.0.1";
constexpr const char *host = "hostile.example";
constexpr const char *key = "key-1";
constexpr int statusOk = 200;
constexpr Millis readyLimit{10000};
constexpr Millis answerLimit{5000};
constexpr Millis lookInterval{50};
/** By then the crowd has what it can get. */
constexpr Millis crowdTime{1000};
constexpr int ordinaryTries = 3;
constexpr Millis usualRetry{500};

std::string at(const ReservedPort &port)
{
    return std::string(loopback) + ":" + std::to_string(port.number());
}

std::string head(const std::string &path, const std::string &ofKey, const std::string &method = "GET")
{
    StandInDialect::CallerCall call;
    call.method = method;
    call.path = path;
    call.host = host;
    call.attemptId = "a-1";
    call.key = ofKey;
    call.timeLeft = Millis{10000};
    return StandInDialect::callerHead(call);
}

} // namespace

HostileBed::HostileBed()
{
    this->desk.isRecording = false;
    this->desk.ownFields = [](const FakeRequest &request) {
        return StandInDialect::answerFields(StandInDialect::readOrder(request.head).attemptId, "s-1");
    };
    this->desk.answers = [this](FakeRequest &request) { request.reply("200 OK", this->answer); };
}

HostileBed::~HostileBed() = default;

const char *HostileBed::targetId()
{
    return "i-1";
}

void HostileBed::configure(std::size_t mostDescriptors) const
{
    std::ofstream file(this->folder.filePath("gateway.ini").toStdString());
    file << "[gateway]\nname = g1\ndata_centre = hall\naddress = " << this->address(Door::Callers)
         << "\nready_address = " << this->address(Door::Readiness)
         << "\nmetrics_address = " << this->address(Door::Metrics) << "\npeer_address = " << this->address(Door::Peers)
         << "\ntunnel_port = " << this->tunnelPort.number() << "\nmemory_mb = " << memoryMb
         << "\ndescriptors = " << mostDescriptors << "\nrules = " << SEQUOIAUSHER_GATEWAY_RULES
         << "\n[store]\naddress = " << this->platformStore.address() << "\n[stop]\ngrace_s = " << grace.count / 1000
         << "\nnotice_ms = 1000\n";
}

std::string HostileBed::targetEntry() const
{
    GatewayTarget entry;
    entry.id.value = targetId();
    entry.service.value = "desk";
    entry.address = this->desk.address();
    entry.dataCentre.value = "hall";
    entry.softwareVersion = "v1";
    entry.slots = 1000;
    return StandInDialect::targetText(entry);
}

void HostileBed::startWithoutWaiting()
{
    GatewayConfiguration configuration;
    configuration.revision = 1;
    GatewayRoute route;
    route.name = "desk";
    route.host = host;
    route.pathPrefix = "/desk/";
    route.kind = RouteKind::AtMostOnce;
    route.timeout = Millis{15000};
    route.latencyAim = Millis{1000};
    route.services = {{PoolId{"desk"}, 1}};
    configuration.routes = {route};
    configuration.services = {{PoolId{"desk"}, 1000}};
    // Longer than a crowd plays: a limit in time alone does not end what its clients hold.
    configuration.limits.headTime = Millis{30000};
    configuration.limits.idleTime = Millis{60000};
    configuration.organisations.push_back({OrganisationId{"org"}, {key}, std::nullopt});
    this->platformStore.write(StandInDialect::configurationKey(), StandInDialect::configurationText(configuration));
    this->platformStore.write(StandInDialect::targetKey(TargetId{targetId()}), this->targetEntry());
    this->configure(descriptors);
    this->process = std::make_unique<LabProcess>(
        "gateway",
        SEQUOIAUSHER_PROGRAM,
        std::vector<std::string>{"gateway", "--config", this->folder.filePath("gateway.ini").toStdString()},
        this->folder.path().toStdString());
    this->process->start();
}

void HostileBed::start()
{
    this->startWithoutWaiting();
    if (!LabCaller::waitFor([this] { return this->isReady(); }, readyLimit)) {
        throw Error(Step::Report, "gateway", "it is not ready:\n" + this->process->output());
    }
}

std::string HostileBed::address(Door door) const
{
    switch (door) {
    case Door::Callers:
        return at(this->callerPort);
    case Door::Readiness:
        return at(this->readyPort);
    case Door::Metrics:
        return at(this->metricsPort);
    case Door::Peers:
        return at(this->peerPort);
    case Door::Tunnels:
        return at(this->tunnelPort);
    }
    return {};
}

LabProcess &HostileBed::gateway()
{
    return *this->process;
}

FakeServer &HostileBed::target()
{
    return this->desk;
}

SoakStore &HostileBed::store()
{
    return this->platformStore;
}

void HostileBed::reloadWith(std::size_t fewerDescriptors)
{
    this->configure(fewerDescriptors);
    this->process->requestReload();
}

void HostileBed::setAnswerBytes(std::size_t bytes)
{
    this->answer = std::string(bytes, 'a');
}

std::string HostileBed::unknownRoute()
{
    return head("/nowhere/1", key);
}

std::string HostileBed::unknownKey()
{
    return head("/desk/1", "nobodys-key");
}

std::string HostileBed::served()
{
    return head("/desk/1", key);
}

std::string HostileBed::beginOfHead(const std::string &method)
{
    std::string whole = head("/desk/1", key, method);
    whole.resize(whole.size() - 2);
    return whole;
}

void HostileBed::play(const CrowdPlan &plan, Millis time)
{
    this->begin(plan);
    this->observe(time);
    this->endCrowds();
}

void HostileBed::begin(const CrowdPlan &plan)
{
    this->crowds.push_back(std::make_unique<ClientCrowd>(plan));
    this->crowds.back()->start();
}

void HostileBed::endCrowds()
{
    this->crowds.clear();
    this->besideCaller.reset();
    this->besideQuestion.reset();
}

void HostileBed::observe(Millis time)
{
    Millis nextLook = Millis::monotonicNow();
    const Millis asksFrom = nextLook + crowdTime;
    LabCaller::waitFor(
        [&] {
            const Millis now = Millis::monotonicNow();
            if (now >= nextLook) {
                nextLook = now + lookInterval;
                this->look();
                if (now >= asksFrom) {
                    this->askBesideCrowd();
                }
            }
            return !this->process->isRunning() || this->mostBytes > 4 * memoryBytes;
        },
        time);
    this->look();
}

void HostileBed::look()
{
    const ProcessUsage now = readProcessUsage(this->process->processId());
    this->most.memoryBytes = std::max(this->most.memoryBytes, now.memoryBytes);
    this->most.unreadBytes = std::max(this->most.unreadBytes, now.unreadBytes);
    this->most.unsentBytes = std::max(this->most.unsentBytes, now.unsentBytes);
    this->most.descriptors = std::max(this->most.descriptors, now.descriptors);
    this->mostBytes = std::max(this->mostBytes, now.total());
}

void HostileBed::askBesideCrowd()
{
    const auto askAgain
        = [](std::unique_ptr<FakeCaller> &caller, bool &isDone, const std::string &to, const std::string &request) {
              if (caller && caller->reply.isWhole && caller->reply.status == statusOk) {
                  isDone = true;
              }
              if (!isDone && (!caller || caller->reply.isWhole || caller->reply.hasEnded)) {
                  caller = std::make_unique<FakeCaller>(to);
                  caller->send(request);
              }
          };
    askAgain(this->besideCaller, this->hasServedBeside, this->address(Door::Callers), served());
    askAgain(
        this->besideQuestion, this->wasReadyBeside, this->address(Door::Readiness), StandInDialect::readinessRequest());
}

const ProcessUsage &HostileBed::peak() const
{
    return this->most;
}

std::size_t HostileBed::peakBytes() const
{
    return this->mostBytes;
}

std::string HostileBed::lastLines() const
{
    constexpr std::size_t shownBytes = 4000;
    const std::string all = this->process->output();
    return all.substr(all.size() - std::min(all.size(), shownBytes));
}

CallerReply HostileBed::ask(const std::string &address, const std::string &request)
{
    FakeCaller caller(address);
    caller.send(request);
    LabCaller::waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; }, answerLimit);
    return caller.reply;
}

bool HostileBed::servesOrdinaryCaller()
{
    for (int i = 0; i < ordinaryTries; ++i) {
        const CallerReply reply = this->ask(this->address(Door::Callers), served());
        if (reply.isWhole && reply.status == statusOk) {
            return true;
        }
        LabCaller::waitFor([] { return false; }, usualRetry);
    }
    return false;
}

bool HostileBed::servesCallerAfter(Millis pause)
{
    FakeCaller caller(this->address(Door::Callers));
    LabCaller::waitFor([&caller] { return caller.reply.hasEnded; }, pause);
    caller.send(served());
    LabCaller::waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; }, answerLimit);
    return caller.reply.isWhole && caller.reply.status == statusOk;
}

bool HostileBed::isReady()
{
    const CallerReply reply = this->ask(this->address(Door::Readiness), StandInDialect::readinessRequest());
    return reply.isWhole && reply.status == statusOk;
}

bool HostileBed::servesMetrics()
{
    const CallerReply reply
        = this->ask(this->address(Door::Metrics), "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return reply.isWhole && reply.status == statusOk;
}

bool HostileBed::wasServedBesideCrowd() const
{
    return this->hasServedBeside;
}

bool HostileBed::wasReadyBesideCrowd() const
{
    return this->wasReadyBeside;
}

} // namespace Sequoiausher::Lab
