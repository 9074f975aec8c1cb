#include "lab/model/plainservicemodel.h"

#include "lab/model/eventqueue.h"
#include "sequoiausher/coordination/gateway/loadshedder.h"
#include "sequoiausher/coordination/gateway/targetboard.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace Sequoiausher {

namespace {

const PoolId service{"plain"};
/** What a gateway says to a caller whom it refuses: between so long and twice that. */
constexpr double leastReturnMs = 200;
constexpr double shedReturnMs = 350;
constexpr double slowShare = 0.01;
constexpr double slowTimes = 5;

struct Request
{
    double askedAt = 0;
    bool isSecondTry = false;
};

struct Target
{
    struct Waiting
    {
        Request request;
        std::size_t gateway = 0;
        double sentAt = 0;
    };

    TargetId id;
    std::uint32_t running = 0;
    std::deque<Waiting> waiting;
};

struct Gateway
{
    std::unique_ptr<TargetBoard> board;
    LoadShedder shedder;
    double share = 1;
    /** What it said in its last report, and in the one before, which hubs pass on. */
    std::vector<GatewayLoad> told;
    std::vector<GatewayLoad> passedOn;
};

class Play
{
public:
    Play(const PlainServiceDay &given, const PlainServicePolicy &with) : day(given), policy(with), random(given.seed)
    {
        for (std::size_t i = 0; i < this->day.targets; ++i) {
            this->targets.push_back({TargetId{"t" + std::to_string(i)}, 0, {}});
        }
        for (std::size_t i = 0; i < this->day.gateways; ++i) {
            Gateway gateway;
            gateway.board = std::make_unique<TargetBoard>(this->day.seed * 1000 + i);
            gateway.board->setOtherGateways(this->day.gateways - 1);
            // Balancers that go by a hash of the caller give some gateways five times what others get.
            gateway.share = this->uniform(0.3, 1.7);
            this->gateways.push_back(std::move(gateway));
        }
        this->list(this->day.targets);
    }

    PlainServiceResult run()
    {
        for (const TargetStep &change : this->day.changes) {
            this->events.at(static_cast<double>(change.from.count), [this, change] { this->list(change.targets); });
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

    bool isOver() const
    {
        return this->events.now() >= static_cast<double>(this->day.length.count);
    }

    void list(std::size_t count)
    {
        this->listed = count;
        std::vector<GatewayTarget> all;
        for (std::size_t i = 0; i < count; ++i) {
            all.push_back({this->targets[i].id, service, "10.0.0.1:80", DataCentreId{}, this->day.places, false});
        }
        for (Gateway &gateway : this->gateways) {
            gateway.board->setTargets(all, this->events.clock());
        }
    }

    void report(std::size_t index)
    {
        Gateway &gateway = this->gateways[index];
        gateway.passedOn = std::exchange(gateway.told, gateway.board->ownLoads(this->events.clock()));
        gateway.board->beginRound();
        std::map<TargetId, std::uint32_t> sums;
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            for (const GatewayLoad &load : i == index ? std::vector<GatewayLoad>() : this->gateways[i].passedOn) {
                sums[load.target] += load.inFlight;
            }
        }
        std::vector<GatewayLoad> heard;
        for (const auto &[target, inFlight] : sums) {
            heard.push_back({target, inFlight, false});
        }
        gateway.board->updatePeerLoads(InstanceId{"hub"}, heard, this->events.clock());
        if (!this->isOver()) {
            this->events.at(this->events.now() + this->reportMs(), [this, index] { this->report(index); });
        }
    }

    void arrive()
    {
        if (this->isOver()) {
            return;
        }
        double rate = 0;
        for (const LoadStep &step : this->day.load) {
            rate = this->events.now() >= static_cast<double>(step.from.count) ? step.perSecond : rate;
        }
        constexpr double msPerSecond = 1000;
        const auto count = std::geometric_distribution<int>(1 / this->day.together)(this->random) + 1;
        for (int i = 0; i < count; ++i) {
            this->result.asked += 1;
            this->ask({this->events.now(), false});
        }
        const double perMs = rate / this->day.together / msPerSecond;
        const double gap = std::exponential_distribution<double>(perMs)(this->random);
        this->events.at(this->events.now() + gap, [this] { this->arrive(); });
    }

    std::size_t someGateway()
    {
        std::vector<double> shares;
        for (const Gateway &gateway : this->gateways) {
            shares.push_back(gateway.share);
        }
        return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(this->random);
    }

    void ask(const Request &request)
    {
        if (this->policy.knowsAll) {
            this->askKnowingAll(request);
            return;
        }
        const std::size_t index = this->someGateway();
        Gateway &gateway = this->gateways[index];
        const bool isLate = this->events.now() - request.askedAt > static_cast<double>(this->day.aim.count);
        if (this->policy.sheds
            && !gateway.shedder
                    .decideAdmission(
                        service, {RequestClass::Background, isLate}, this->uniform(0, 1), this->events.clock())
                    .isAdmitted) {
            this->refuse(request, shedReturnMs);
            return;
        }
        TargetCriteria criteria;
        criteria.service = service;
        criteria.policy = this->policy.choice;
        criteria.requestHash = this->random();
        criteria.partHash = criteria.requestHash;
        const auto chosen = gateway.board->choose(criteria, this->events.clock());
        if (!chosen) {
            this->refuse(request, leastReturnMs);
            return;
        }
        gateway.board->recordStart(chosen->target.id, this->events.clock());
        this->send(request, index, this->targetOf(chosen->target.id));
    }

    void askKnowingAll(const Request &request)
    {
        Target *best = &this->targets.front();
        for (std::size_t i = 0; i < this->listed; ++i) {
            const auto load = [](const Target &target) { return target.running + target.waiting.size(); };
            best = load(this->targets[i]) < load(*best) ? &this->targets[i] : best;
        }
        const double ahead = static_cast<double>(best->waiting.size()) + 1;
        const double wait = best->running < this->day.places ? 0 : ahead * this->day.workMs / this->day.places;
        const double spent = this->events.now() - request.askedAt;
        constexpr double safePart = 0.75;
        if (spent + wait + this->day.workMs > static_cast<double>(this->day.aim.count) * safePart) {
            this->refuse(request, leastReturnMs);
            return;
        }
        this->send(request, 0, *best);
    }

    Target &targetOf(const TargetId &id)
    {
        return *std::find_if(
            this->targets.begin(), this->targets.end(), [&id](const Target &target) { return target.id == id; });
    }

    void send(const Request &request, std::size_t gateway, Target &target)
    {
        if (target.running >= this->day.places && target.waiting.size() >= this->day.queue) {
            this->result.bounced += 1;
            if (!this->policy.knowsAll) {
                this->gateways[gateway].board->recordEnd(target.id, TargetOutcome::Full, this->events.clock());
                this->gateways[gateway].shedder.recordRejection(service, this->events.clock());
            }
            this->refuse(request, leastReturnMs);
            return;
        }
        target.waiting.push_back({request, gateway, this->events.now()});
        this->work(target);
    }

    void work(Target &target)
    {
        while (target.running < this->day.places && !target.waiting.empty()) {
            const Target::Waiting next = target.waiting.front();
            target.waiting.pop_front();
            target.running += 1;
            const double spread = this->day.workSpread;
            const double mean = std::log(this->day.workMs) - spread * spread / 2;
            double time = std::lognormal_distribution<double>(mean, spread)(this->random);
            time *= this->uniform(0, 1) < slowShare ? slowTimes : 1;
            this->events.at(this->events.now() + time, [this, &target, next] {
                target.running -= 1;
                this->answered(target, next);
                this->work(target);
            });
        }
    }

    void answered(const Target &target, const Target::Waiting &done)
    {
        const double took = this->events.now() - done.request.askedAt + this->day.wayMs;
        const bool isInTime = took <= static_cast<double>(this->day.aim.count);
        this->result.inTime += isInTime ? 1 : 0;
        this->result.late += isInTime ? 0 : 1;
        if (this->policy.knowsAll) {
            return;
        }
        Gateway &gateway = this->gateways[done.gateway];
        const bool isCrowded
            = gateway.board->inFlight(service, this->events.clock()) > gateway.board->totalSlots(service);
        gateway.board->recordEnd(target.id, TargetOutcome::Answered, this->events.clock());
        const Millis answerTime{std::llround(this->events.now() - done.sentAt)};
        gateway.board->recordAnswerTime(target.id, answerTime);
        gateway.shedder.recordAnswer(service, {answerTime, this->day.aim, isCrowded}, this->events.clock());
    }

    void refuse(const Request &request, double returnMs)
    {
        const double back = this->events.now() + this->uniform(returnMs, 2 * returnMs);
        const bool hasTime = back - request.askedAt < static_cast<double>(this->day.patience.count);
        if (request.isSecondTry || !hasTime) {
            this->result.refused += 1;
            return;
        }
        this->events.at(back, [this, request] { this->ask({request.askedAt, true}); });
    }

    const PlainServiceDay &day;
    PlainServicePolicy policy;
    std::mt19937_64 random;
    std::deque<Target> targets;
    std::deque<Gateway> gateways;
    std::size_t listed = 0;
    EventQueue events;
    PlainServiceResult result;
};

} // namespace

PlainServiceResult playPlainService(const PlainServiceDay &day, const PlainServicePolicy &policy)
{
    return Play(day, policy).run();
}

} // namespace Sequoiausher
