#include "lab/model/promptreadingmodel.h"

#include "lab/model/eventqueue.h"
#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/gateway/engineowner.h"
#include "sequoiausher/coordination/gateway/promptparts.h"
#include "sequoiausher/coordination/gateway/queueorder.h"
#include "sequoiausher/coordination/gateway/targetboard.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace Sequoiausher {

namespace {

const PoolId service{"engines"};
const InstanceId hub{"hub"};

/** One kind of request. */
struct Kind
{
    double share = 0;
    double aimMs = 0;
    /** Tokens of the part that all requests of a few groups begin with, of the second part, and of the request's own.
     */
    std::uint32_t beginning = 0;
    double document = 0;
    std::uint32_t own = 0;
    std::size_t documents = 0;
    /** From the first event to the end of the stream. */
    double streamMs = 0;
};

constexpr std::array<Kind, 3> kinds{{
    {0.354, 800, 2520, 6100, 580, 673, 250},
    {0.264, 600, 341, 1700, 360, 499, 110},
    {0.382, 500, 103, 500, 110, 323, 1200},
}};
constexpr double documentSpread = 0.7;
constexpr std::size_t groups = 4;
constexpr double slowMachineTimes = 1.3;
constexpr std::size_t slowMachineEvery = 3;
/** Copying takes this fraction of reading. */
constexpr double copyFraction = 0.05;
constexpr std::uint32_t boundPercent = 150;
constexpr std::uint32_t defaultPriority = 4;

struct Request
{
    std::size_t kind = 0;
    std::size_t gateway = 0;
    double askedAt = 0;
    std::vector<std::uint64_t> parts;
    std::vector<std::uint32_t> tokens;
    std::uint64_t id = 0;
    std::uint32_t priority = 0;
    TargetId target;
    TargetId copyFrom;
    /** The owner knows of the request. */
    bool isPlaced = false;
};

struct Engine
{
    TargetId id;
    double speed = 1;
    bool isSlow = false;
    std::size_t held = 0;
    std::set<std::uint64_t> cached;
    /** By priority and order of arrival. */
    std::map<std::pair<std::uint32_t, std::uint64_t>, Request> waiting;
    bool isReading = false;
};

struct Gateway
{
    std::unique_ptr<TargetBoard> board;
    PrefixDirectory parts;
    std::vector<GatewayLoad> told;
    std::vector<GatewayLoad> passedOn;
    std::size_t placementsHeard = 0;
};

struct Placement
{
    double at = 0;
    std::size_t gateway = 0;
    std::uint64_t part = 0;
    TargetId target;
};

class Play
{
public:
    Play(const PromptReadingDay &given, const PromptReadingPolicy &with) : day(given), policy(with), random(given.seed)
    {
        std::vector<GatewayTarget> listed;
        for (std::size_t i = 0; i < this->day.targets; ++i) {
            const TargetId id{"t" + std::to_string(i)};
            this->engines[id].id = id;
            this->engines[id].speed = i % slowMachineEvery == 0 ? slowMachineTimes : 1;
            listed.push_back({id, service, "10.0.0.1:80", DataCentreId{"a"}, 64, false});
            this->owned.push_back({id, 64, 0, true});
        }
        for (std::size_t i = 0; i < this->day.gateways; ++i) {
            Gateway &gateway = this->gateways.emplace_back();
            gateway.board = std::make_unique<TargetBoard>(this->day.seed * 1000 + i);
            gateway.board->setOtherGateways(this->day.gateways - 1);
            gateway.board->setTargets(listed, this->events.clock());
        }
        this->owner = std::make_unique<EngineOwner>();
    }

    PromptReadingResult run()
    {
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            this->events.at(this->uniform(0, this->reportMs()), [this, i] { this->report(i); });
        }
        for (auto &[id, engine] : this->engines) {
            this->events.at(0, [this, &engine = engine] { this->drawSpeed(engine); });
        }
        if (this->day.ownerEndsAt > 0) {
            this->events.at(this->day.ownerEndsAt, [this] { this->owner.reset(); });
            this->events.at(this->day.ownerBackAt, [this] { this->owner = std::make_unique<EngineOwner>(); });
        }
        this->events.at(0, [this] { this->arrive(); });
        this->events.run();
        return this->result;
    }

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(this->random);
    }

    double reportMs() const
    {
        return static_cast<double>(this->day.reportInterval.count);
    }

    bool isOver() const
    {
        return this->events.now() >= static_cast<double>(this->day.length.count);
    }

    void drawSpeed(Engine &engine)
    {
        engine.isSlow = this->uniform(0, 1) < this->day.slowShare;
        if (!this->isOver()) {
            this->events.at(this->events.now() + this->day.slowPeriodMs, [this, &engine] { this->drawSpeed(engine); });
        }
    }

    void report(std::size_t index)
    {
        Gateway &gateway = this->gateways[index];
        this->addToSums(gateway.passedOn, -1);
        gateway.passedOn = std::exchange(gateway.told, gateway.board->ownLoads(this->events.clock()));
        this->addToSums(gateway.passedOn, 1);
        gateway.board->beginRound();
        std::map<TargetId, std::int64_t> sums = this->passedOnSums;
        for (const GatewayLoad &load : gateway.passedOn) {
            sums[load.target] -= load.inFlight;
        }
        std::vector<GatewayLoad> heard;
        for (const auto &[target, inFlight] : sums) {
            heard.push_back({target, static_cast<std::uint32_t>(inFlight), false});
        }
        gateway.board->updatePeerLoads(hub, heard, this->events.clock());
        this->hearPlacements(index);
        if (!this->isOver()) {
            this->events.at(this->events.now() + this->reportMs(), [this, index] { this->report(index); });
        }
    }

    void addToSums(const std::vector<GatewayLoad> &loads, std::int64_t sign)
    {
        for (const GatewayLoad &load : loads) {
            this->passedOnSums[load.target] += sign * load.inFlight;
        }
    }

    void hearPlacements(std::size_t index)
    {
        Gateway &gateway = this->gateways[index];
        const double heardUpTo = this->events.now() - this->reportMs();
        while (gateway.placementsHeard < this->placements.size()
               && this->placements[gateway.placementsHeard].at < heardUpTo) {
            const Placement &placement = this->placements[gateway.placementsHeard++];
            if (placement.gateway != index) {
                gateway.parts.recordPeerPlacement(
                    hub, placement.part, placement.target, this->events.clock(), UpdateScope::Own);
            }
        }
    }

    void arrive()
    {
        if (this->isOver()) {
            return;
        }
        const int count = std::geometric_distribution<int>(1 / this->day.together)(this->random) + 1;
        for (int i = 0; i < count; ++i) {
            this->ask(this->drawRequest());
        }
        constexpr double msPerSecond = 1000;
        const double perMs = this->day.perSecond / this->day.together / msPerSecond;
        const double gap = std::exponential_distribution<double>(perMs)(this->random);
        this->events.at(this->events.now() + gap, [this] { this->arrive(); });
    }

    Request drawRequest()
    {
        Request request;
        double draw = this->uniform(0, 1);
        while (request.kind + 1 < kinds.size() && draw >= kinds[request.kind].share) {
            draw -= kinds[request.kind++].share;
        }
        const Kind &kind = kinds[request.kind];
        const auto document = static_cast<std::size_t>(this->uniform(0, static_cast<double>(kind.documents)));
        const std::string name = std::to_string(request.kind) + "-";
        const std::uint64_t documentHash = hash64(name + std::to_string(document));
        // The same length for the same document.
        std::mt19937_64 lengths(documentHash);
        const double mean = std::log(kind.document) - documentSpread * documentSpread / 2;
        const double length = std::lognormal_distribution<double>(mean, documentSpread)(lengths);
        request.gateway = static_cast<std::size_t>(this->uniform(0, static_cast<double>(this->gateways.size())));
        request.askedAt = this->events.now();
        request.id = ++this->lastId;
        request.parts = {hash64(name + "group " + std::to_string(document % groups)), documentHash, this->random()};
        request.tokens = {kind.beginning, static_cast<std::uint32_t>(length), kind.own};
        return request;
    }

    void ask(const Request &request)
    {
        if (!this->policy.asksOwner) {
            this->sendByReports(request);
            return;
        }
        this->events.at(this->events.now() + this->day.ownerWayMs, [this, request] { this->askOwner(request); });
    }

    void askOwner(Request request)
    {
        if (!this->owner) {
            this->sendByReports(request);
            return;
        }
        const Millis now = this->events.clock();
        if (this->owner->needsTargets(service, now)) {
            this->owner->setTargets(service, this->owned, now);
        }
        const PromptParts parts(request.parts, request.tokens);
        GatewayAdmissionRequest asked;
        asked.id = request.id;
        asked.service = service;
        asked.aim = Millis{std::llround(kinds[request.kind].aimMs)};
        asked.timeLeft = Millis{60000};
        asked.prompt = {parts.sharedParts(),
                        parts.ownTokenCount(),
                        boundPercent,
                        defaultPriority,
                        this->policy.order == QueueOrder::ShortestFirst,
                        true};
        // The owner hears the reports of parts as any gateway does.
        const GatewayAdmissionReply reply = this->owner->decide(hub, asked, this->gateways.front().parts, now);
        if (reply.verdict != AdmissionVerdict::Granted) {
            this->sendByReports(request);
            return;
        }
        request.target = reply.target;
        request.copyFrom = reply.copyFrom;
        request.isPlaced = true;
        request.priority = this->priorityOf(reply.tokensToRead);
        this->events.at(this->events.now() + this->day.ownerWayMs, [this, request] { this->send(request); });
    }

    std::uint32_t priorityOf(std::uint64_t tokens) const
    {
        const bool isShortestFirst = this->policy.order == QueueOrder::ShortestFirst;
        return isShortestFirst ? shortestFirstPriority(RequestClass::Interactive, tokens) : defaultPriority;
    }

    void sendByReports(Request request)
    {
        Gateway &gateway = this->gateways[request.gateway];
        const Millis now = this->events.clock();
        const PromptParts parts(request.parts, request.tokens);
        TargetCriteria criteria;
        criteria.service = service;
        criteria.policy = PolicyKind::RoomRendezvous;
        criteria.boundPercent = boundPercent;
        criteria.partHash = parts.lastShared();
        criteria.firstPartHash = parts.first();
        criteria.holders = parts.holders(gateway.parts, now);
        criteria.requestHash = this->random();
        request.target = gateway.board->choose(criteria, now)->target.id;
        const auto source = parts.findCopySource(gateway.parts, *gateway.board, request.target, std::nullopt, now);
        request.copyFrom = source ? source->target.id : TargetId{};
        request.priority
            = this->priorityOf(parts.tokensToRead(gateway.parts, request.target, source ? source->parts : 0, now));
        this->send(request);
    }

    void send(const Request &request)
    {
        Gateway &gateway = this->gateways[request.gateway];
        gateway.board->recordStart(request.target, this->events.clock());
        const PromptParts parts(request.parts, request.tokens);
        parts.recordSent(gateway.parts, request.target, this->events.clock());
        this->placements.push_back({this->events.now(), request.gateway, parts.lastShared(), request.target});
        Engine &engine = this->engines.at(request.target);
        this->result.sent += 1;
        const bool isAbove = engine.held * this->engines.size() > 2 * this->running + 3 * this->engines.size();
        this->result.sentAboveLimit += isAbove ? 1 : 0;
        engine.held += 1;
        this->running += 1;
        engine.waiting.emplace(std::pair{request.priority, ++this->arrivals}, request);
        this->readNext(engine);
    }

    void readNext(Engine &engine)
    {
        if (engine.isReading || engine.waiting.empty()) {
            return;
        }
        engine.isReading = true;
        const Request request = engine.waiting.begin()->second;
        engine.waiting.erase(engine.waiting.begin());
        double tokens = request.tokens.back();
        for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
            tokens += this->read(engine, request, i);
        }
        const double rate = this->day.tokensPerMs / engine.speed / (engine.isSlow ? this->day.slowTimes : 1);
        this->events.at(this->events.now() + tokens / rate, [this, &engine, request] {
            engine.isReading = false;
            this->begin(engine, request);
            this->readNext(engine);
        });
    }

    /** Reads or copies one shared part unless it is cached. @return the tokens that take time. */
    double read(Engine &engine, const Request &request, std::size_t part)
    {
        if (engine.cached.contains(request.parts[part])) {
            return 0;
        }
        const double tokens = request.tokens[part];
        const auto source = this->engines.find(request.copyFrom);
        if (source != this->engines.end() && source->second.cached.contains(request.parts[part])) {
            this->result.copied += request.tokens[part];
            return tokens * copyFraction;
        }
        this->result.sharedTokensRead += request.tokens[part];
        this->result.readAgain += this->everRead.insert(request.parts[part]).second ? 0 : request.tokens[part];
        return tokens;
    }

    void begin(Engine &engine, const Request &request)
    {
        engine.cached.insert(request.parts.begin(), request.parts.end() - 1);
        const double took = this->events.now() - request.askedAt;
        this->result.late += took > kinds[request.kind].aimMs ? 1 : 0;
        this->result.longestMs = std::max(this->result.longestMs, took);
        const double times = engine.isSlow ? this->day.slowTimes : 1;
        const auto percent = static_cast<std::uint16_t>(this->policy.tellsSpeed ? std::lround(times * 100) : 0);
        this->tellOwner(request, PlaceOutcome::Begun, Millis{std::llround(took)}, percent);
        this->events.at(this->events.now() + kinds[request.kind].streamMs, [this, &engine, request] {
            engine.held -= 1;
            this->running -= 1;
            this->gateways[request.gateway].board->recordEnd(
                request.target, TargetOutcome::Answered, this->events.clock());
            this->tellOwner(request, PlaceOutcome::Answered, Millis{0}, 0);
        });
    }

    void tellOwner(const Request &request, PlaceOutcome outcome, Millis elapsed, std::uint16_t slownessPercent)
    {
        if (!request.isPlaced) {
            return;
        }
        this->events.at(this->events.now() + this->day.ownerWayMs, [this, request, outcome, elapsed, slownessPercent] {
            if (this->owner) {
                this->owner->release(hub, {request.id, outcome, elapsed, slownessPercent}, this->events.clock());
            }
        });
    }

    const PromptReadingDay &day;
    PromptReadingPolicy policy;
    std::mt19937_64 random;
    std::map<TargetId, Engine> engines;
    std::vector<OwnedTarget> owned;
    std::deque<Gateway> gateways;
    std::unique_ptr<EngineOwner> owner;
    /** What hubs pass on, added up over all gateways. */
    std::map<TargetId, std::int64_t> passedOnSums;
    std::vector<Placement> placements;
    std::set<std::uint64_t> everRead;
    std::size_t running = 0;
    std::uint64_t lastId = 0;
    std::uint64_t arrivals = 0;
    EventQueue events;
    PromptReadingResult result;
};

} // namespace

PromptReadingResult playPromptReading(const PromptReadingDay &day, const PromptReadingPolicy &policy)
{
    return Play(day, policy).run();
}

} // namespace Sequoiausher
