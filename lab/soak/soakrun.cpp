#include "lab/soak/soakrun.h"

#include "lab/hostile/processusage.h"
#include "lab/soak/soakrunprivate.h"
#include "lab/support/labcall.h"
#include "sequoiausher/base/error.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr int tickMs = 10;
/** A tick that comes so late shows that this machine is busy; the bounds in time are stretched by it. */
constexpr Millis lateTick{60};
/** Before the faults: every gateway is ready and targets are known. After them: everything is back, then a calm time.
 */
constexpr Millis warmUp{1500};
constexpr Millis catchUp{6000};
constexpr Millis calm{3000};
/** Of the calls of the calm time so many in a hundred are served at least. */
constexpr std::size_t leastServedPercent = 95;
/** Longer than any wait here. */
constexpr Millis endless{3600000};
/** So often all callers send a large body at the same moment. */
constexpr Millis largeBodiesInterval{2500};
/** The memory of a gateway where some bodies are large: a few of them are half of it. */
constexpr std::size_t memoryForLargeBodiesMb = 40;
/** The memory and the descriptors of a gateway beside clients that do not behave. */
constexpr std::size_t memoryBesideHostileClientsMb = 64;
constexpr std::size_t descriptorsBesideHostileClients = 400;
/** Callers for each gateway that send one call after the other, beside planned stops in series. */
constexpr std::size_t busyEach = 3;
/** The entry of a target that a request has ended stays for so long. */
constexpr Millis endedFor{1500};

/** Targets of a run with an open load: at first, and such as may join. */
constexpr std::size_t loadEngines = 12;
constexpr std::size_t loadDesks = 4;
constexpr std::size_t spareEngines = 6;
/** What the targets serve at first. */
constexpr auto firstServices = std::to_array<const char *>(
    {"desk", "desk", "desk", "desk", "desk-b", "desk-b", "desk-b", "llm", "llm", "llm", "llm"});

Endpoint endpointOf(const std::string &address)
{
    return parseEndpoint(address).value();
}

std::string lastLine(std::string text)
{
    while (text.ends_with('\n')) {
        text.pop_back();
    }
    const std::size_t end = text.find_last_of('\n');
    return end == std::string::npos ? text : text.substr(end + 1);
}

} // namespace

SoakRun::SoakRun(const SoakOptions &options) : d(std::make_unique<Private>(options))
{
}

SoakRun::~SoakRun() = default;

SoakRun::Private::TargetPlace &SoakRun::Private::addPlace()
{
    TargetPlace &place = this->places.emplace_back();
    const std::string name = "t" + std::to_string(this->places.size());
    place.dataCentre = this->options.evacuations > 0 ? dataCentreOf(this->places.size()) : DataCentreId{"hall"};
    place.target = std::make_unique<SoakTarget>(name, this->judge, this->random());
    place.linkPort = std::make_unique<ReservedPort>();
    place.target->setUnframed(this->options.hasUnframedAnswers);
    place.target->readsPrompts = this->options.loadPerSecond > 0;
    place.target->holdings = [this](const std::string &service) { return this->holdingOf(service); };
    place.link = std::make_unique<Relay>(Endpoint{"127.0.0.1", place.linkPort->number()},
                                         Endpoint{"127.0.0.1", place.target->port()});
    this->store.addTargetAddress(toText(place.link->listening()));
    return place;
}

ServiceHolding SoakRun::Private::holdingOf(const std::string &service) const
{
    ServiceHolding holding;
    for (const TargetPlace &place : this->places) {
        if (place.target->isAlive() && place.target->service() == service) {
            holding.requests += place.target->held();
            holding.targets += 1;
        }
    }
    return holding;
}

void SoakRun::Private::setUp()
{
    this->startedAt = Millis::monotonicNow();
    if (this->options.loadPerSecond > 0) {
        for (std::size_t i = 0; i < loadEngines + loadDesks; ++i) {
            this->startTarget(this->addPlace(), i < loadEngines ? "llm" : "desk");
        }
        for (std::size_t i = 0; i < spareEngines; ++i) {
            this->addPlace();
        }
    } else {
        for (const char *service : firstServices) {
            this->startTarget(this->addPlace(), service);
        }
    }
    for (TargetPlace &place : this->places) {
        place.target->ends = [this, &place] { this->crashTarget(place, endedFor, place.target->service()); };
    }
    if (this->options.hasColdTargets) {
        this->administrator.limitCold(coldTime, static_cast<std::uint32_t>(SoakBounds{}.coldPerSecond));
    }
    if (this->options.stops > 0) {
        this->administrator.addLongStreams();
    }
    this->administrator.publishFirst();
    this->administrator.writeOddNames();
    if (this->options.cuts > 0) {
        std::vector<std::string> hosts;
        for (std::size_t i = 0; i < this->options.gateways; ++i) {
            hosts.push_back(SoakGateway::hostOf(i));
        }
        this->tunnelPort = std::make_unique<ReservedPort>(hosts);
    }
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < this->options.gateways; ++i) {
        const std::string reader = this->options.cuts == 0
            ? this->store.address()
            : this->store.addReader(
                [this, i](const std::string &address) { return this->gateways[i]->pathTo(address).address(); });
        this->gateways.push_back(
            std::make_unique<SoakGateway>(i, this->options.folder, endpointOf(reader), this->options.program));
        if (this->tunnelPort) {
            this->gateways.back()->tunnelPort = this->tunnelPort->number();
        }
        this->gateways.back()->memoryMb = this->options.hasLargeBodies ? memoryForLargeBodiesMb : 0;
        if (this->options.hasHostileClients) {
            this->gateways.back()->memoryMb = memoryBesideHostileClientsMb;
            this->gateways.back()->descriptors = descriptorsBesideHostileClients;
        }
        this->gateways.back()->reservesPlaces = this->options.reservesPlaces;
        this->gateways.back()->rules = this->options.rules;
        if (seeds.size() < 3) {
            seeds.push_back(this->gateways.back()->peerAddress());
        }
    }
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        this->gateways[i]->configure(seeds);
        this->judge.disturbances().begin(SoakJudge::gatewaySubject(i), this->startedAt);
        this->startGateway(i);
        this->judge.disturbances().end(SoakJudge::gatewaySubject(i), Millis::monotonicNow());
    }
    this->makeCallers();
    if (this->options.hasHostileClients) {
        this->makeHostileClients();
    }
    this->lastTick = Millis::monotonicNow();
    QObject::connect(&this->timer, &QTimer::timeout, [this] { this->tick(); });
    this->timer.setTimerType(Qt::PreciseTimer);
    this->timer.start(tickMs);
}

void SoakRun::Private::makeOpenLoad()
{
    constexpr PromptDraw longPrompts{2500, 125, 6000, 500, 0};
    this->prompts = longPrompts;
    this->load = std::make_unique<OpenLoad>(
        this->judge,
        this->administrator.offer(),
        [this](std::size_t gateway) {
            const SoakGateway &chosen = *this->gateways[gateway];
            return chosen.isInRotation() ? std::optional(chosen.entry()) : std::nullopt;
        },
        this->gateways.size(),
        this->random());
    this->load->setPrompts(this->prompts);
    this->load->setRate(static_cast<double>(this->options.loadPerSecond));
}

void SoakRun::Private::makeCallers()
{
    if (this->options.loadPerSecond > 0) {
        this->makeOpenLoad();
        return;
    }
    const std::size_t count = this->options.gateways * this->options.callersEach;
    for (std::size_t i = 0; i < count; ++i) {
        this->callers.push_back(std::make_unique<SoakCaller>(
            static_cast<std::uint32_t>(i),
            this->judge,
            this->administrator.offer(),
            [this] { return this->pick(); },
            this->random()));
        if (this->options.versions > 0) {
            this->callers.back()->takeUpStreams();
        }
        if (this->options.hasLargeBodies) {
            this->callers.back()->sendLargeBodies();
        }
    }
    for (std::size_t i = 0; i < this->options.gateways * this->options.lastingEach; ++i) {
        this->lasting.push_back(std::make_unique<LastingCaller>(
            static_cast<std::uint32_t>(i),
            this->judge,
            this->administrator.offer(),
            [this] { return this->pick(); },
            this->random()));
    }
    for (std::size_t i = 0; this->options.stops > 0 && i < this->options.gateways * busyEach; ++i) {
        this->lasting.push_back(std::make_unique<LastingCaller>(
            static_cast<std::uint32_t>(this->options.gateways * this->options.lastingEach + i),
            this->judge,
            this->administrator.offer(),
            [this] { return this->pickAny(); },
            this->stops()));
        this->lasting.back()->becomeBusy();
    }
    if (this->options.crashing != CrashingRequests::None) {
        this->crashing = std::make_unique<CrashingCaller>(
            this->judge, this->administrator.offer(), this->options.crashing, [this] { return this->pick(); });
    }
}

void SoakRun::Private::makeHostileClients()
{
    const std::string noRoute = "GET /nowhere/1 HTTP/1.1\r\nHost: soak.example\r\n";
    const std::string body = "POST /nowhere/1 HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 3000000\r\n\r\n";
    const std::string part(65536, 'x');
    constexpr std::size_t mostOfBody = 2000000;
    for (const auto &gateway : this->gateways) {
        const std::vector<CrowdPlan> plans{
            {.address = gateway->callerAddress(), .connections = 4, .repeated = noRoute + "\r\n"},
            {.address = gateway->callerAddress(), .connections = 180, .first = noRoute},
            {.address = gateway->callerAddress(),
             .connections = 8,
             .first = body,
             .repeated = part,
             .mostBytes = mostOfBody},
            {.address = gateway->readyAddress(), .connections = 40}};
        for (const CrowdPlan &plan : plans) {
            this->hostile.push_back(std::make_unique<ClientCrowd>(plan));
            this->hostile.back()->start();
        }
    }
}

void SoakRun::Private::tick()
{
    const Millis begun = Millis::monotonicNow();
    const Millis gap = begun - this->lastTick;
    this->lastTick = begun;
    this->longestPause = std::max(this->longestPause, gap);
    if (gap > lateTick) {
        this->judge.paused(begun, gap);
        this->note("this process stood still for " + toText(gap));
    }
    while (!this->actions.empty() && this->actions.begin()->first <= begun) {
        const auto action = std::move(this->actions.begin()->second);
        this->actions.erase(this->actions.begin());
        action();
    }
    // What the actions did is dated by their own time; what callers find afterwards must not be dated before it.
    const Millis now = Millis::monotonicNow();
    if (now >= this->nextPoll) {
        this->nextPoll = now + pollInterval;
        for (const auto &gateway : this->gateways) {
            gateway->poll();
        }
        this->watchProcesses(now);
    }
    for (const auto &caller : this->callers) {
        caller->tick(now);
    }
    for (const auto &caller : this->lasting) {
        caller->tick(now);
    }
    if (this->crashing) {
        this->crashing->tick(now);
    }
    if (this->load) {
        this->load->tick(now);
    }
    const std::size_t before = this->judge.violations().size();
    this->judge.tick(now);
    for (std::size_t i = before; i < this->judge.violations().size(); ++i) {
        this->note("BROKEN " + this->judge.violations()[i].promise + ": " + this->judge.violations()[i].detail);
    }
}

void SoakRun::Private::watchProcesses(Millis now)
{
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        SoakGateway &gateway = *this->gateways[i];
        if (!gateway.process().isRunning() && !gateway.isEndExpected) {
            this->judge.broken("process",
                               "gateway " + std::to_string(i) + " ended by itself, its last line: "
                                   + lastLine(gateway.process().outputOfLastRun()),
                               now);
            this->startGateway(i);
        }
        this->checkMemory(i, now);
    }
}

void SoakRun::Private::checkMemory(std::size_t number, Millis now)
{
    SoakGateway &gateway = *this->gateways[number];
    constexpr std::size_t megabyte = std::size_t{1} << 20U;
    const ProcessUsage usage = gateway.descriptors > 0 ? readProcessUsage(gateway.process().processId())
                                                       : ProcessUsage{.memoryBytes = gateway.process().memoryBytes()};
    const std::size_t held = usage.total();
    if (gateway.descriptors > 0 && usage.descriptors > gateway.descriptors) {
        this->judge.broken("descriptors",
                           "gateway " + std::to_string(number) + " has " + std::to_string(usage.descriptors)
                               + " descriptors, and may have " + std::to_string(gateway.descriptors),
                           now);
    }
    if (gateway.memoryMb > 0 && held > gateway.memoryMb * megabyte) {
        this->judge.broken("memory",
                           "gateway " + std::to_string(number) + " holds " + std::to_string(held / megabyte)
                               + " MB, and may hold " + std::to_string(gateway.memoryMb),
                           now);
    }
}

std::optional<SoakEntry> SoakRun::Private::pick()
{
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        const SoakGateway &gateway = *this->gateways[this->picks++ % this->gateways.size()];
        if (gateway.isInRotation()) {
            return gateway.entry();
        }
    }
    return std::nullopt;
}

std::optional<SoakEntry> SoakRun::Private::pickAny()
{
    if (std::optional<SoakEntry> ready = this->pick()) {
        return ready;
    }
    SoakGateway &gateway = *this->gateways[this->picks++ % this->gateways.size()];
    return gateway.process().isRunning() ? std::optional(gateway.entry()) : std::nullopt;
}

void SoakRun::Private::readLogs(Millis now)
{
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        std::istringstream lines(this->gateways[i]->process().output());
        for (std::string line; std::getline(lines, line);) {
            this->judge.logged(i, line, now);
        }
    }
}

void SoakRun::Private::noteBreaches()
{
    for (const LimitWindow &window : this->judge.worstWindows()) {
        if (!window.isBreach) {
            continue;
        }
        this->note("limit of " + window.service + " broken from " + toText(window.from - this->startedAt) + " on");
        std::map<std::string, std::string> choices;
        for (const auto &gateway : this->gateways) {
            std::istringstream lines(gateway->process().output());
            for (std::string line; std::getline(lines, line);) {
                const std::size_t at = line.find(" request=");
                if (at != std::string::npos && line.find("request ended") != std::string::npos) {
                    constexpr std::size_t nameLength = 9;
                    const std::size_t begin = at + nameLength;
                    choices[line.substr(begin, line.find(' ', begin) - begin)] = line;
                }
            }
        }
        for (const LimitArrival &arrival : window.above) {
            this->note("  " + toText(arrival.at - this->startedAt) + " " + arrival.id + " by gateway "
                       + std::to_string(arrival.gateway) + " at " + arrival.target + " which held "
                       + std::to_string(arrival.held) + " of " + std::to_string(arrival.heldByService) + " at "
                       + std::to_string(arrival.targetsOfService) + ": " + choices[arrival.id]);
        }
    }
}

void SoakRun::Private::finish(SoakResult &result, Millis calmFrom)
{
    const Millis now = Millis::monotonicNow();
    this->readLogs(now);
    this->judge.finish(now);
    this->noteBreaches();
    result.sent = this->judge.sentSince(Millis{0});
    result.served = this->judge.servedSince(Millis{0});
    result.lastSent = this->judge.sentSince(calmFrom);
    result.lastServed = this->judge.servedSince(calmFrom);
    result.unread = this->judge.unread();
    result.streams = this->judge.streams();
    result.stops = this->judge.stops();
    result.worstWindows = this->judge.worstWindows();
    result.longestPause = this->longestPause;
    if (result.lastSent == 0 || result.lastServed * 100 < result.lastSent * leastServedPercent) {
        this->judge.broken("recover",
                           std::to_string(result.lastServed) + " of " + std::to_string(result.lastSent)
                               + " calls were served in the calm at the end",
                           now);
    }
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        if (!this->gateways[i]->isInRotation()) {
            this->judge.broken("recover", "gateway " + std::to_string(i) + " is not ready in the calm at the end", now);
        }
    }
    result.violations = this->judge.violations();
    for (const SoakViolation &violation : result.violations) {
        this->note("BROKEN at " + toText(violation.at - this->startedAt) + " " + violation.promise + ": "
                   + violation.detail);
    }
}

Millis SoakRun::Private::planRun(Millis begin)
{
    const SoakFleet fleet{this->gateways.size(), this->places.size(), this->options.longest};
    Millis last = begin + this->options.faults;
    if (this->options.loadPerSecond > 0) {
        for (const FleetFault &fault : planFleetFaults(this->options.seed, this->options.faults)) {
            this->at(begin + fault.at, [this, fault] { this->strikeFleet(fault); });
            last = std::max(last, begin + fault.at + fault.lasts);
        }
    } else {
        for (const SoakFault &fault : planFaults(this->options.seed, this->options.faults, fleet)) {
            this->at(begin + fault.at, [this, fault] { this->strike(fault); });
            last = std::max(last, begin + fault.at + fault.lasts);
        }
    }
    std::uniform_int_distribution<std::int64_t> moment(0, this->options.faults.count);
    for (std::size_t i = 0; i < this->options.returns; ++i) {
        this->planReturn(begin + Millis{moment(this->returns)});
    }
    for (std::size_t i = 0; i < this->options.evacuations; ++i) {
        this->planEvacuation(begin + Millis{moment(this->evacuations)});
    }
    for (std::size_t i = 0; i < this->options.cuts; ++i) {
        this->planCut(begin + Millis{moment(this->cuts)});
    }
    for (Millis at{0}; this->options.hasLargeBodies && at < this->options.faults; at += largeBodiesInterval) {
        this->at(begin + at, [this] {
            for (const auto &caller : this->callers) {
                caller->sendLargeBodySoon();
            }
        });
    }
    for (std::size_t i = 0; i < this->options.stops; ++i) {
        this->planStops(begin + Millis{moment(this->stops)});
    }
    for (std::size_t i = 0; i < this->options.foreign; ++i) {
        this->planForeign(begin + Millis{moment(this->foreign)});
    }
    for (std::size_t i = 0; i < this->options.fleetKills; ++i) {
        this->planFleetKill(begin + Millis{moment(this->fleetKills)}, i % 2 == 1);
    }
    for (std::size_t i = 0; i < this->options.outages; ++i) {
        this->planOutage(begin + Millis{moment(this->outages)});
    }
    return last;
}

SoakResult SoakRun::play()
{
    this->d->setUp();
    const Millis last = this->d->planRun(Millis::monotonicNow() + warmUp);
    LabCaller::waitFor([last] { return Millis::monotonicNow() >= last; }, endless);
    // What was begun ends by itself; then everything must be back.
    const bool isQuiet = LabCaller::waitFor([this] { return this->d->actions.empty(); }, longestStop * 4);
    if (!isQuiet) {
        throw Error(Step::Report, "soak", "faults go on without an end");
    }
    for (auto &place : this->d->places) {
        place.target->stopBreaking();
    }
    const Millis calmFrom = Millis::monotonicNow() + catchUp;
    LabCaller::waitFor([calmFrom] { return Millis::monotonicNow() >= calmFrom + calm; }, endless);
    for (const auto &caller : this->d->callers) {
        caller->rest();
    }
    for (const auto &caller : this->d->lasting) {
        caller->rest();
    }
    if (this->d->crashing) {
        this->d->crashing->rest();
    }
    if (this->d->load) {
        this->d->load->rest();
    }
    LabCaller::waitFor([] { return false; }, Millis{500});
    SoakResult result;
    this->d->finish(result, calmFrom);
    this->d->timer.stop();
    return result;
}

} // namespace Sequoiausher::Lab
