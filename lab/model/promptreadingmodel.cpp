#include "lab/model/promptreadingmodel.h"

#include "lab/model/crowdedsends.h"
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
#include <optional>
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
/** Callers leave a stream without an event after this multiple of its aim, or after so long. */
constexpr double patienceAims = 4;
constexpr double minPatienceMs = 2400;
/** The kind of the conversations. */
constexpr std::size_t conversations = 2;
constexpr std::size_t maxAnnounced = 255;

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
    /** The owner that knows of the request; absent for none. */
    std::optional<std::size_t> owner;
    bool isLost = false;
};

struct Engine
{
    TargetId id;
    /** Its place among the targets; disruptions strike the first ones. */
    std::size_t index = 0;
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
        for (std::size_t i = 0; i < this->day.targets; ++i) {
            const TargetId id{"t" + std::to_string(i)};
            Engine &engine = this->engines[id];
            engine.id = id;
            engine.index = i;
            engine.speed = i % slowMachineEvery == 0 ? slowMachineTimes : 1;
        }
        for (std::size_t i = 0; i < this->day.gateways; ++i) {
            Gateway &gateway = this->gateways.emplace_back();
            gateway.board = std::make_unique<TargetBoard>(this->day.seed * 1000 + i);
            gateway.board->setOtherGateways(this->day.gateways - 1);
        }
        this->listTargets();
        for (std::unique_ptr<EngineOwner> &owner : this->owners) {
            owner = std::make_unique<EngineOwner>(this->policy.occupancy);
        }
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
            this->events.at(this->day.ownerEndsAt, [this] { this->owners.front().reset(); });
            this->events.at(this->day.ownerBackAt,
                            [this] { this->owners.front() = std::make_unique<EngineOwner>(this->policy.occupancy); });
        }
        for (const ModelDisruption &change : {this->day.leaving, this->day.joining}) {
            this->events.at(static_cast<double>(change.from.count), [this] { this->listTargets(); });
            this->events.at(static_cast<double>(change.until.count), [this] { this->listTargets(); });
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

    bool isStruck(const ModelDisruption &disruption, std::size_t index, std::size_t count) const
    {
        return disruption.isOn(this->events.now())
            && static_cast<double>(index) < disruption.share * static_cast<double>(count);
    }

    bool isStruck(const ModelDisruption &disruption, const Engine &engine) const
    {
        return this->isStruck(disruption, engine.index, this->day.targets);
    }

    /** Whether the target exists: it may be on no list any more. */
    bool isThere(const Engine &engine) const
    {
        const bool isGone = this->events.now() >= static_cast<double>(this->day.leaving.until.count)
            && static_cast<double>(engine.index) < this->day.leaving.share * static_cast<double>(this->day.targets);
        const bool isNotYet = this->events.now() < static_cast<double>(this->day.joining.from.count)
            && static_cast<double>(engine.index) < this->day.joining.share * static_cast<double>(this->day.targets);
        return !isGone && !isNotYet;
    }

    void listTargets()
    {
        std::vector<GatewayTarget> listed;
        for (const auto &[id, engine] : this->engines) {
            if (this->isThere(engine)) {
                const bool isLeaving = this->isStruck(this->day.leaving, engine);
                listed.push_back({id, service, "10.0.0.1:80", DataCentreId{"a"}, 64, isLeaving});
            }
        }
        for (Gateway &gateway : this->gateways) {
            gateway.board->setTargets(listed, this->events.clock());
        }
    }

    /** The targets as the gateway of the owner knows them. */
    std::vector<OwnedTarget> ownedTargets()
    {
        TargetCriteria criteria;
        criteria.service = service;
        std::vector<OwnedTarget> owned;
        for (const ServiceTarget &target :
             this->gateways.front().board->serviceTargets(criteria, this->events.clock())) {
            const bool isUnusable = this->isStruck(this->day.unusable, this->engines.at(target.id));
            owned.push_back({target.id, target.slots, target.inFlight, target.isUsable && !isUnusable});
        }
        for (const ServiceTarget &target : this->gateways.front().board->targetsWithoutNewRequests(service)) {
            owned.push_back({target.id, target.slots, target.inFlight, false});
        }
        return owned;
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
        auto document = static_cast<std::size_t>(this->uniform(0, static_cast<double>(kind.documents)));
        if (request.kind == conversations && this->day.hotShare > 0 && this->uniform(0, 1) < this->day.hotShare) {
            document = 0;
        }
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
        if (!this->policy.asksOwner || this->isStruck(this->day.alone, request.gateway, this->day.gateways)) {
            this->sendByReports(request);
            return;
        }
        this->events.at(this->events.now() + this->day.ownerWayMs, [this, request] { this->askOwner(request); });
    }

    void askOwner(Request request)
    {
        const std::size_t number = this->isStruck(this->day.divided, request.gateway, this->day.gateways) ? 1 : 0;
        const std::unique_ptr<EngineOwner> &owner = this->owners[number];
        if (!owner) {
            this->sendByReports(request);
            return;
        }
        const Millis now = this->events.clock();
        if (owner->needsTargets(service, now)) {
            owner->setTargets(service, this->ownedTargets(), now);
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
        const GatewayAdmissionReply reply = owner->decide(hub, asked, this->gateways.front().parts, now);
        if (reply.verdict == AdmissionVerdict::Overloaded) {
            this->result.refused += 1;
            return;
        }
        if (reply.verdict != AdmissionVerdict::Granted) {
            this->sendByReports(request);
            return;
        }
        request.target = reply.target;
        request.copyFrom = reply.copyFrom;
        request.owner = number;
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

    void send(Request request)
    {
        Gateway &gateway = this->gateways[request.gateway];
        gateway.board->recordStart(request.target, this->events.clock());
        const PromptParts parts(request.parts, request.tokens);
        parts.recordSent(gateway.parts, request.target, this->events.clock());
        this->placements.push_back({this->events.now(), request.gateway, parts.lastShared(), request.target});
        Engine &engine = this->engines.at(request.target);
        this->result.sent += 1;
        this->judge(engine);
        engine.held += 1;
        this->running += 1;
        request.isLost = this->isStruck(this->day.losing, engine) && this->uniform(0, 1) < this->day.lostShare;
        if (request.isLost) {
            const double patience = std::max(kinds[request.kind].aimMs * patienceAims, minPatienceMs);
            this->events.at(this->events.now() + patience, [this, request] {
                this->endAtGateway(request, TargetOutcome::Neutral, PlaceOutcome::Unused);
            });
        }
        engine.waiting.emplace(std::pair{request.priority, ++this->arrivals}, request);
        this->readNext(engine);
    }

    /** Counts a request that reaches the target if the target holds over twice the mean and three. */
    void judge(const Engine &engine)
    {
        if (this->events.now() < static_cast<double>(this->day.judgedFrom.count)) {
            return;
        }
        const auto targets = static_cast<std::size_t>(
            std::count_if(this->engines.begin(), this->engines.end(), [this](const auto &each) {
                return this->isThere(each.second);
            }));
        const bool isAbove = engine.held * targets > 2 * this->running + 3 * targets;
        this->result.sentAboveLimit += isAbove ? 1 : 0;
        this->crowded.record(this->events.now(), isAbove);
        this->result.worstFiveSeconds = this->crowded.worstFiveSeconds();
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
        if (!request.isLost) {
            const std::size_t held = this->policy.tellsLoad ? std::min<std::size_t>(engine.held, maxAnnounced) : 0;
            this->tellOwner(request,
                            {request.id,
                             PlaceOutcome::Begun,
                             Millis{std::llround(took)},
                             percent,
                             static_cast<std::uint8_t>(held)});
        }
        this->events.at(this->events.now() + kinds[request.kind].streamMs, [this, &engine, request] {
            engine.held -= 1;
            this->running -= 1;
            if (!request.isLost) {
                this->endAtGateway(request, TargetOutcome::Answered, PlaceOutcome::Answered);
            }
        });
    }

    void endAtGateway(const Request &request, TargetOutcome outcome, PlaceOutcome placeOutcome)
    {
        this->gateways[request.gateway].board->recordEnd(request.target, outcome, this->events.clock());
        this->tellOwner(request, {request.id, placeOutcome, Millis{0}, 0, 0});
    }

    void tellOwner(const Request &request, const GatewayAdmissionRelease &release)
    {
        if (!request.owner) {
            return;
        }
        this->events.at(this->events.now() + this->day.ownerWayMs, [this, owner = *request.owner, release] {
            if (this->owners[owner]) {
                this->owners[owner]->release(hub, release, this->events.clock());
            }
        });
    }

    const PromptReadingDay &day;
    PromptReadingPolicy policy;
    std::mt19937_64 random;
    std::map<TargetId, Engine> engines;
    std::deque<Gateway> gateways;
    /** The second one is asked only while the gateways are divided. */
    std::array<std::unique_ptr<EngineOwner>, 2> owners;
    /** When each request of the last five seconds was sent, and whether above the limit. */
    CrowdedSends crowded;
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
