#include "lab/model/lostanswersmodel.h"

#include "lab/model/crowdedsends.h"
#include "lab/model/eventqueue.h"
#include "sequoiausher/coordination/gateway/loadshedder.h"
#include "sequoiausher/coordination/gateway/targetboard.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

const PoolId service{"engines"};
constexpr double leastPatienceMs = 2400;
constexpr double mostPatienceMs = 4000;
constexpr double leastReturnMs = 350;
/** What callers of this service are promised. */
constexpr Millis aim{1000};
/** Losses since the last answer by which a target counts as one that loses answers. */
constexpr std::size_t fewestLosses = 2;
constexpr double capSlack = 2;
constexpr double msPerSecond = 1000;

struct Request
{
    std::size_t gateway = 0;
    std::size_t target = 0;
    double askedAt = 0;
    double leavesAt = 0;
    double sentAt = 0;
    bool hasLeft = false;
    bool isOver = false;
};

using RequestPointer = std::shared_ptr<Request>;

struct Gateway
{
    std::unique_ptr<TargetBoard> board;
    LoadShedder shedder;
    /** Losses since the last answer, by target. */
    std::vector<std::size_t> losses;
};

struct Engine
{
    GatewayTarget target;
    std::size_t running = 0;
    std::deque<RequestPointer> waiting;

    std::size_t held() const
    {
        return this->running + this->waiting.size();
    }
};

InstanceId nameOfGateway(std::size_t index)
{
    return InstanceId{"g" + std::to_string(index)};
}

class Play
{
public:
    Play(const LostAnswersDay &given, const LostAnswersPolicy &with) : day(given), policy(with), random(given.seed)
    {
        std::vector<GatewayTarget> listed;
        for (std::size_t i = 0; i < this->day.targets; ++i) {
            Engine &engine = this->engines.emplace_back();
            engine.target = {TargetId{std::to_string(i)}, service, "10.0.0.1:80", DataCentreId{"a"}, 64, false};
            listed.push_back(engine.target);
        }
        for (std::size_t i = 0; i < this->day.gateways; ++i) {
            Gateway &gateway = this->gateways.emplace_back();
            gateway.board = std::make_unique<TargetBoard>(this->day.seed * 1000 + i);
            gateway.board->setOtherGateways(this->day.gateways - 1);
            gateway.board->setOverdueRequests(this->policy.overdue);
            gateway.board->setTargets(listed, this->events.clock());
            gateway.losses.resize(this->day.targets);
        }
    }

    LostAnswersResult run()
    {
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            this->events.at(this->uniform(0, this->reportMs()), [this, i] { this->report(i); });
        }
        this->events.at(0, [this] { this->arrive(); });
        this->events.run();
        this->result.meanAnswerMs /= std::max<double>(1, static_cast<double>(this->answers));
        return this->result;
    }

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(this->random);
    }

    bool draw(double share)
    {
        return this->uniform(0, 1) < share;
    }

    double reportMs() const
    {
        return static_cast<double>(this->day.reportInterval.count);
    }

    bool isCrowded(double at) const
    {
        return at >= static_cast<double>(this->day.crowdedFrom.count)
            && at < static_cast<double>(this->day.crowdedUntil.count);
    }

    bool loses(std::size_t target) const
    {
        return target < this->day.losing && this->isCrowded(this->events.now());
    }

    void report(std::size_t index)
    {
        Gateway &gateway = this->gateways[index];
        const std::vector<GatewayLoad> loads = gateway.board->ownLoads(this->events.clock());
        gateway.board->beginRound();
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            if (i != index) {
                this->gateways[i].board->updatePeerLoads(nameOfGateway(index), loads, this->events.clock());
            }
        }
        if (this->events.now() < static_cast<double>(this->day.length.count)) {
            this->events.at(this->events.now() + this->reportMs(), [this, index] { this->report(index); });
        }
    }

    void arrive()
    {
        const double now = this->events.now();
        if (now >= static_cast<double>(this->day.length.count)) {
            return;
        }
        const auto request = std::make_shared<Request>();
        request->askedAt = now;
        request->leavesAt = now + this->uniform(leastPatienceMs, mostPatienceMs);
        this->result.asked += this->isCrowded(now) ? 1 : 0;
        this->events.at(request->leavesAt, [this, request] { this->leave(request); });
        this->ask(request);
        const double rate = this->isCrowded(now) ? this->day.crowdedPerSecond : this->day.quietPerSecond;
        const double gap = std::exponential_distribution<double>(rate / msPerSecond)(this->random);
        this->events.at(now + gap, [this] { this->arrive(); });
    }

    void ask(const RequestPointer &request)
    {
        if (request->hasLeft) {
            return;
        }
        request->gateway = std::uniform_int_distribution<std::size_t>(0, this->gateways.size() - 1)(this->random);
        const std::optional<std::size_t> target
            = this->policy.knowsAll ? this->freePlace() : this->choose(this->gateways[request->gateway], *request);
        if (!target) {
            this->result.refusals += this->isCrowded(request->askedAt) ? 1 : 0;
            this->events.at(this->events.now() + this->uniform(leastReturnMs, 2 * leastReturnMs),
                            [this, request] { this->ask(request); });
            return;
        }
        this->send(request, *target);
    }

    std::optional<std::size_t> freePlace() const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            const bool isFree = !this->loses(i) && this->engines[i].held() < this->day.places;
            if (isFree && (!best || this->engines[i].held() < this->engines[*best].held())) {
                best = i;
            }
        }
        return best;
    }

    std::optional<std::size_t> choose(Gateway &gateway, const Request &request)
    {
        const Millis now = this->events.clock();
        if (this->policy.sheds) {
            const bool isLate = this->events.now() - request.askedAt >= static_cast<double>(aim.count);
            const SheddingRank rank{RequestClass::Interactive, isLate};
            if (!gateway.shedder.decideAdmission(service, rank, this->uniform(0, 1), now).isAdmitted) {
                return std::nullopt;
            }
        }
        TargetCriteria criteria;
        criteria.service = service;
        criteria.policy = PolicyKind::RoomRendezvous;
        criteria.partHash = this->random();
        criteria.requestHash = this->random();
        if (!this->draw(this->policy.trialShare)) {
            for (std::size_t i = 0; i < this->engines.size(); ++i) {
                if (gateway.losses[i] >= fewestLosses) {
                    criteria.excluded.push_back(this->engines[i].target.id);
                }
            }
        }
        const std::optional<ChosenTarget> chosen = gateway.board->choose(criteria, now);
        if (!chosen) {
            return std::nullopt;
        }
        const double mean = static_cast<double>(chosen->totalInFlight) / static_cast<double>(this->engines.size());
        if (this->policy.cap > 0 && chosen->inFlight > this->policy.cap * mean + capSlack) {
            return std::nullopt;
        }
        return static_cast<std::size_t>(std::stoul(chosen->target.id.value));
    }

    void send(const RequestPointer &request, std::size_t target)
    {
        Engine &engine = this->engines[target];
        this->count(engine);
        request->target = target;
        request->sentAt = this->events.now();
        this->result.sent += 1;
        this->result.sentToLosing += this->loses(target) ? 1 : 0;
        this->gateways[request->gateway].board->recordStart(engine.target.id, this->events.clock());
        this->held += 1;
        engine.waiting.push_back(request);
        this->work(target);
    }

    void work(std::size_t target)
    {
        Engine &engine = this->engines[target];
        while (engine.running < this->day.places && !engine.waiting.empty()) {
            const RequestPointer next = engine.waiting.front();
            engine.waiting.pop_front();
            if (next->hasLeft) {
                this->held -= 1;
                continue;
            }
            engine.running += 1;
            const double slowed = 1 + static_cast<double>(engine.running) / this->day.doubledBy;
            const double took = this->day.aloneMs * slowed * this->uniform(0.5, 1.5);
            this->events.at(this->events.now() + took, [this, target, next] {
                this->engines[target].running -= 1;
                this->held -= 1;
                this->finish(next);
                this->work(target);
            });
        }
    }

    void finish(const RequestPointer &request)
    {
        if (request->isOver) {
            return;
        }
        Gateway &gateway = this->gateways[request->gateway];
        if (this->loses(request->target) && this->draw(this->day.lostShare)) {
            if (!this->draw(this->day.silentShare)) {
                gateway.losses[request->target] += 1;
                this->endAtGateway(request, TargetOutcome::Lost);
                request->isOver = true;
            }
            return;
        }
        const Millis took{std::llround(this->events.now() - request->sentAt)};
        const bool isCrowded
            = gateway.board->inFlight(service, this->events.clock()) > this->day.targets * this->day.places;
        gateway.shedder.recordAnswer(service, {took, aim, isCrowded}, this->events.clock());
        gateway.losses[request->target] = 0;
        this->endAtGateway(request, TargetOutcome::Answered);
        request->isOver = true;
        if (this->isCrowded(request->askedAt)) {
            this->result.served += 1;
            this->result.meanAnswerMs += this->events.now() - request->askedAt;
            this->answers += 1;
        }
    }

    void endAtGateway(const RequestPointer &request, TargetOutcome outcome)
    {
        this->gateways[request->gateway].board->recordEnd(
            this->engines[request->target].target.id, outcome, this->events.clock());
    }

    void leave(const RequestPointer &request)
    {
        request->hasLeft = true;
        if (request->sentAt > 0 && !std::exchange(request->isOver, true)) {
            this->endAtGateway(request, TargetOutcome::Neutral);
        }
    }

    void count(const Engine &engine)
    {
        const auto targets = static_cast<double>(this->engines.size());
        const double limit = 2 * static_cast<double>(this->held) / targets + 3;
        const bool isAbove = static_cast<double>(engine.held()) > limit;
        this->crowded.record(this->events.now(), isAbove);
        this->result.worstFiveSeconds = this->crowded.worstFiveSeconds();
    }

    const LostAnswersDay &day;
    const LostAnswersPolicy &policy;
    std::mt19937_64 random;
    std::vector<Gateway> gateways;
    std::deque<Engine> engines;
    /** Requests at all engines. */
    std::size_t held = 0;
    CrowdedSends crowded;
    std::size_t answers = 0;
    EventQueue events;
    LostAnswersResult result;
};

} // namespace

LostAnswersResult playLostAnswers(const LostAnswersDay &day, const LostAnswersPolicy &policy)
{
    return Play(day, policy).run();
}

} // namespace Sequoiausher
