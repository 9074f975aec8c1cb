#include "lab/model/engineservicemodel.h"

#include "lab/model/crowdedsends.h"
#include "lab/model/eventqueue.h"
#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/gateway/promptparts.h"
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

/** One kind of request: its share of all, and how long an engine works on one. */
struct Kind
{
    double share = 0;
    double meanMs = 0;
};

constexpr std::array<Kind, 3> kinds{{{0.38, 400}, {0.41, 170}, {0.21, 1200}}};
constexpr std::size_t longestKind = 2;
constexpr double partSkew = 0.3;
constexpr std::size_t beginnings = 4;
/** What the store and the peers take to tell a gateway of changed targets. */
constexpr double leastNewsMs = 100;
constexpr double mostNewsMs = 700;
/** A target that is replaced leaves so long before the new one starts. */
constexpr double replacementMs = 3500;
constexpr double replacementGapMs = 1500;
constexpr std::size_t replacementSteps = 5;

struct Gateway
{
    std::unique_ptr<TargetBoard> board;
    PrefixDirectory parts;
    double share = 1;
    /** What it said in its last report, and in the one before, which hubs pass on. */
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

struct Engine
{
    std::size_t held = 0;
    std::set<std::uint64_t> cached;
};

class Play
{
public:
    Play(const EngineServiceDay &given, PolicyKind with) : day(given), policy(with), random(given.seed)
    {
        for (std::size_t i = 0; i < this->day.targets; ++i) {
            this->listed.push_back(this->newTarget());
        }
        std::vector<double> shares;
        for (std::size_t i = 0; i < this->day.gateways; ++i) {
            Gateway &gateway = this->gateways.emplace_back();
            gateway.board = std::make_unique<TargetBoard>(this->day.seed * 1000 + i);
            gateway.board->setOtherGateways(this->day.gateways - 1);
            gateway.board->setTargets(this->listed, this->events.clock());
            // Balancers that go by a hash of the caller give some gateways five times what others get.
            shares.push_back(this->uniform(0.3, 1.7));
        }
        this->chosenGateway = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
        std::vector<double> weights;
        for (std::size_t i = 0; i < this->day.partsOfKind; ++i) {
            weights.push_back(std::pow(static_cast<double>(i + 1), -partSkew));
        }
        this->chosenPart = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    EngineServiceResult run()
    {
        const double third = this->lengthMs() / 3;
        this->events.at(third, [this] { this->join(); });
        for (std::size_t step = 0; step < replacementSteps; ++step) {
            const double when = third + static_cast<double>(step) * replacementGapMs;
            this->events.at(when, [this, step] { this->replace(step); });
        }
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            this->events.at(this->uniform(0, this->reportMs()), [this, i] { this->report(i); });
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

    double lengthMs() const
    {
        return static_cast<double>(this->day.length.count);
    }

    GatewayTarget newTarget()
    {
        const TargetId id{"i-" + std::to_string(this->day.seed) + "-" + std::to_string(this->nextTarget++)};
        this->engines.try_emplace(id);
        return {id, service, "10.0.0.1:80", DataCentreId{"a"}, 64, false};
    }

    /** Each gateway hears of the present list a little later. */
    void tellTargets()
    {
        const auto list = std::make_shared<const std::vector<GatewayTarget>>(this->listed);
        for (Gateway &gateway : this->gateways) {
            this->events.at(this->events.now() + this->uniform(leastNewsMs, mostNewsMs),
                            [this, &gateway, list] { gateway.board->setTargets(*list, this->events.clock()); });
        }
    }

    void join()
    {
        for (std::size_t i = 0; i < this->day.joining; ++i) {
            this->listed.push_back(this->newTarget());
        }
        this->tellTargets();
    }

    void replace(std::size_t step)
    {
        const std::size_t count = this->day.replaced / replacementSteps;
        for (std::size_t i = step * count; i < (step + 1) * count; ++i) {
            this->listed[i].isLeaving = true;
            this->events.at(this->events.now() + replacementMs, [this, i] {
                const auto gone = this->engines.find(this->listed[i].id);
                this->running -= gone->second.held;
                this->engines.erase(gone);
                this->listed[i] = this->newTarget();
                this->tellTargets();
            });
        }
        this->tellTargets();
    }

    void report(std::size_t index)
    {
        Gateway &gateway = this->gateways[index];
        this->addToSums(gateway.passedOn, -1);
        gateway.passedOn = std::exchange(gateway.told, gateway.board->ownLoads(this->events.clock()));
        this->addToSums(gateway.passedOn, 1);
        gateway.board->beginRound();
        gateway.board->updatePeerLoads(hub, this->loadsOfOthers(index), this->events.clock());
        this->hearPlacements(index);
        if (this->events.now() < this->lengthMs()) {
            this->events.at(this->events.now() + this->reportMs(), [this, index] { this->report(index); });
        }
    }

    void addToSums(const std::vector<GatewayLoad> &loads, std::int64_t sign)
    {
        for (const GatewayLoad &load : loads) {
            this->passedOnSums[load.target] += sign * load.inFlight;
        }
    }

    std::vector<GatewayLoad> loadsOfOthers(std::size_t index) const
    {
        std::map<TargetId, std::int64_t> sums = this->passedOnSums;
        for (const GatewayLoad &load : this->gateways[index].passedOn) {
            sums[load.target] -= load.inFlight;
        }
        std::vector<GatewayLoad> heard;
        for (const auto &[target, inFlight] : sums) {
            heard.push_back({target, static_cast<std::uint32_t>(inFlight), false});
        }
        return heard;
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
        if (this->events.now() >= this->lengthMs()) {
            return;
        }
        const int count = std::geometric_distribution<int>(1 / this->day.together)(this->random) + 1;
        for (int i = 0; i < count; ++i) {
            this->ask();
        }
        constexpr double msPerSecond = 1000;
        const double perMs = this->day.perSecond / this->day.together / msPerSecond;
        const double gap = std::exponential_distribution<double>(perMs)(this->random);
        this->events.at(this->events.now() + gap, [this] { this->arrive(); });
    }

    std::size_t someKind()
    {
        double draw = this->uniform(0, 1);
        std::size_t kind = 0;
        while (kind + 1 < kinds.size() && draw >= kinds[kind].share) {
            draw -= kinds[kind].share;
            kind += 1;
        }
        return kind;
    }

    void ask()
    {
        const bool isLastThird = this->events.now() * 3 > this->lengthMs() * 2;
        const bool isHeavyPart = isLastThird && this->uniform(0, 1) < this->day.heavyUse;
        const std::size_t kind = isHeavyPart ? longestKind : this->someKind();
        const std::size_t number = isHeavyPart ? this->day.partsOfKind : this->chosenPart(this->random);
        const std::string name = std::to_string(kind) + "-" + std::to_string(number);
        const std::uint64_t beginning
            = hash64("beginning " + std::to_string(kind) + std::to_string(number % beginnings));
        this->send(kind, PromptParts({beginning, hash64(name), this->random()}));
    }

    void send(std::size_t kind, const PromptParts &parts)
    {
        const std::size_t index = this->chosenGateway(this->random);
        Gateway &gateway = this->gateways[index];
        TargetCriteria criteria;
        criteria.service = service;
        criteria.policy = this->policy;
        criteria.partHash = parts.lastShared();
        criteria.firstPartHash = parts.first();
        criteria.holders = parts.holders(gateway.parts, this->events.clock());
        criteria.requestHash = this->random();
        const TargetId target = gateway.board->choose(criteria, this->events.clock())->target.id;
        gateway.board->recordStart(target, this->events.clock());
        parts.recordSent(gateway.parts, target, this->events.clock());
        this->placements.push_back({this->events.now(), index, parts.lastShared(), target});
        this->work(index, kind, target, parts.lastShared());
    }

    void work(std::size_t gateway, std::size_t kind, const TargetId &target, std::uint64_t part)
    {
        const auto engine = this->engines.find(target);
        if (engine == this->engines.end()) {
            // The gateway has not heard yet that it is gone.
            this->gateways[gateway].board->recordEnd(target, TargetOutcome::Neutral, this->events.clock());
            return;
        }
        this->count(engine->second);
        this->result.partsRead += engine->second.cached.insert(part).second ? 1 : 0;
        engine->second.held += 1;
        this->running += 1;
        const double took = kinds[kind].meanMs * this->uniform(0.5, 1.5);
        this->events.at(this->events.now() + took, [this, gateway, target] {
            this->gateways[gateway].board->recordEnd(target, TargetOutcome::Answered, this->events.clock());
            const auto present = this->engines.find(target);
            if (present != this->engines.end()) {
                present->second.held -= 1;
                this->running -= 1;
            }
        });
    }

    void count(const Engine &engine)
    {
        const bool isAbove = engine.held * this->engines.size() > 2 * this->running + 3 * this->engines.size();
        this->result.sent += 1;
        this->result.sentAboveLimit += isAbove ? 1 : 0;
        this->crowded.record(this->events.now(), isAbove);
        this->result.worstFiveSeconds = this->crowded.worstFiveSeconds();
    }

    const EngineServiceDay &day;
    PolicyKind policy;
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> chosenGateway;
    std::discrete_distribution<std::size_t> chosenPart;
    std::deque<Gateway> gateways;
    /** What hubs pass on, added up over all gateways. */
    std::map<TargetId, std::int64_t> passedOnSums;
    std::vector<GatewayTarget> listed;
    std::map<TargetId, Engine> engines;
    /** Requests at all engines. */
    std::size_t running = 0;
    std::size_t nextTarget = 0;
    std::vector<Placement> placements;
    CrowdedSends crowded;
    EventQueue events;
    EngineServiceResult result;
};

} // namespace

EngineServiceResult playEngineService(const EngineServiceDay &day, PolicyKind policy)
{
    return Play(day, policy).run();
}

} // namespace Sequoiausher
