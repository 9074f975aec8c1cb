#include "lab/model/plainservicemodel.h"

#include "lab/model/eventqueue.h"
#include "sequoiausher/coordination/gateway/admissionowner.h"
#include "sequoiausher/coordination/gateway/loadshedder.h"
#include "sequoiausher/coordination/gateway/targetboard.h"

#include <algorithm>
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

const PoolId service{"plain"};
/** What a gateway says to a caller whom it refuses: between so long and twice that. */
constexpr double leastReturnMs = 200;
constexpr double shedReturnMs = 350;
constexpr double longWorkShare = 0.01;
constexpr double longWorkTimes = 5;
const InstanceId hub{"hub"};
constexpr Millis hedgeWindow{10000};

struct Request
{
    double askedAt = 0;
    bool isSecondTry = false;
    std::size_t organisation = 0;
    /** The place at the admission owner; 0 for none. */
    std::uint64_t placeId = 0;
    bool isIdempotent = false;
    /** The same for both copies of a hedged request; 0 for one that may not be hedged. */
    std::uint64_t hedgeId = 0;
    bool isSecondCopy = false;
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
    bool isSlow = false;
    /** Running requests whose connections were closed: their places are free already. */
    std::multiset<std::uint64_t> cancelled;
    std::multiset<std::uint64_t> runningHedged;
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
            this->targets.push_back({TargetId{"t" + std::to_string(i)}, 0, {}, false});
        }
        for (std::size_t i = 0; i < this->day.gateways; ++i) {
            Gateway &gateway = this->gateways.emplace_back();
            gateway.board = std::make_unique<TargetBoard>(this->day.seed * 1000 + i);
            gateway.board->setOtherGateways(this->day.gateways - 1);
            // Balancers that go by a hash of the caller give some gateways five times what others get.
            gateway.share = this->uniform(0.3, 1.7);
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
        if (this->day.slowShare > 0) {
            for (Target &target : this->targets) {
                this->events.at(0, [this, &target] { this->drawSpeed(target); });
            }
        }
        if (this->policy.asksOwner) {
            this->events.at(0, [this] { this->updateOwner(); });
        }
        const std::size_t organisations = std::max<std::size_t>(this->day.organisations.size(), 1);
        this->result.askedBy.resize(organisations);
        this->result.answeredOf.resize(organisations);
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

    void drawSpeed(Target &target)
    {
        target.isSlow = this->uniform(0, 1) < this->day.slowShare;
        if (!this->isOver()) {
            this->events.at(this->events.now() + this->day.slowPeriodMs, [this, &target] { this->drawSpeed(target); });
        }
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
        gateway.board->updatePeerLoads(hub, heard, this->events.clock());
        if (!this->isOver()) {
            this->events.at(this->events.now() + this->reportMs(), [this, index] { this->report(index); });
        }
    }

    /** Returns the organisation of a new request. */
    std::size_t drawOrganisation()
    {
        if (this->day.organisations.size() <= 1) {
            return 0;
        }
        std::vector<double> weights = this->day.organisations;
        weights.front() *= this->surge();
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(this->random);
    }

    bool drawIdempotent()
    {
        return this->day.idempotentShare > 0 && this->uniform(0, 1) < this->day.idempotentShare;
    }

    /** Returns the factor by which the first organisation sends more than usual. */
    double surge() const
    {
        double factor = 1;
        for (const LoadStep &step : this->day.surges) {
            factor = this->events.now() >= static_cast<double>(step.from.count) ? step.perSecond : factor;
        }
        return factor;
    }

    /** Returns the factor by which all organisations together send more than usual. */
    double surgeOfAll() const
    {
        double sum = 0;
        for (const double weight : this->day.organisations) {
            sum += weight;
        }
        return sum > 0 ? 1 + (this->surge() - 1) * this->day.organisations.front() / sum : 1;
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
        rate *= this->surgeOfAll();
        constexpr double msPerSecond = 1000;
        const auto count = std::geometric_distribution<int>(1 / this->day.together)(this->random) + 1;
        const std::size_t organisation = this->drawOrganisation();
        for (int i = 0; i < count; ++i) {
            this->result.asked += 1;
            this->result.askedByOthers += organisation != 0 ? 1 : 0;
            this->result.askedBy[organisation] += 1;
            this->ask({this->events.now(), false, organisation, 0, this->drawIdempotent()});
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
        if (this->policy.asksOwner) {
            this->askOwner(request);
            return;
        }
        this->askAlone(request, this->someGateway());
    }

    /** Decides by what the gateway itself knows. */
    void askAlone(const Request &request, std::size_t index)
    {
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

    bool isOwnerDown() const
    {
        return this->day.ownerEndsAt > 0 && this->events.now() >= this->day.ownerEndsAt
            && this->events.now() < this->day.ownerBackAt;
    }

    /** Lists the targets at the owner, with the loads that its gateway was reported last. */
    void updateOwner()
    {
        if (this->isOver()) {
            return;
        }
        if (!this->isOwnerDown()) {
            if (!this->owner) {
                this->owner = std::make_unique<AdmissionOwner>();
            }
            std::vector<OwnedTarget> owned;
            const std::vector<GatewayLoad> loads = this->gateways.front().board->loads({}, this->events.clock());
            for (std::size_t i = 0; i < this->listed; ++i) {
                OwnedTarget target{this->targets[i].id, this->day.places, 0};
                for (const GatewayLoad &load : loads) {
                    target.reportedInFlight = load.target == target.id ? load.inFlight : target.reportedInFlight;
                }
                owned.push_back(target);
            }
            this->owner->setTargets(service, owned, this->events.clock());
        } else {
            this->owner.reset();
        }
        constexpr double updateIntervalMs = 50;
        this->events.at(this->events.now() + updateIntervalMs, [this] { this->updateOwner(); });
    }

    void askOwner(const Request &request)
    {
        const std::size_t index = this->someGateway();
        if (this->isOwnerDown()) {
            constexpr double ownerTimeoutMs = 40;
            this->events.at(this->events.now() + ownerTimeoutMs,
                            [this, request, index] { this->askAlone(request, index); });
            return;
        }
        GatewayAdmissionRequest asked;
        asked.id = ++this->lastId;
        asked.service = service;
        asked.organisation = static_cast<std::uint32_t>(request.organisation + 1);
        asked.requestClass = RequestClass::Background;
        asked.aim = this->day.aim;
        asked.waited = Millis{std::llround(this->events.now() - request.askedAt)};
        asked.timeLeft = this->day.patience - asked.waited;
        asked.hedgePercent = this->policy.hedgePercent;
        asked.hedgeWindow = hedgeWindow;
        this->events.at(this->events.now() + this->day.ownerWayMs, [this, request, index, asked] {
            if (!this->owner) {
                this->askAlone(request, index);
                return;
            }
            const GatewayAdmissionReply reply = this->owner->decide(nameOfGateway(index), asked, this->events.clock());
            this->events.at(this->events.now() + this->day.ownerWayMs,
                            [this, request, index, reply] { this->follow(request, index, reply); });
        });
    }

    void follow(const Request &request, std::size_t index, const GatewayAdmissionReply &reply)
    {
        if (reply.verdict == AdmissionVerdict::Overloaded) {
            this->refuse(request, static_cast<double>(reply.retryAfter.count));
            return;
        }
        if (reply.verdict == AdmissionVerdict::NoTarget) {
            this->askAlone(request, index);
            return;
        }
        this->gateways[index].board->recordStart(reply.target, this->events.clock());
        Request granted = request;
        granted.placeId = reply.id;
        if (reply.hedgeAfter > Millis{0} && granted.isIdempotent) {
            granted.hedgeId = ++this->lastHedgeId;
            this->events.at(this->events.now() + static_cast<double>(reply.hedgeAfter.count),
                            [this, granted, index] { this->askSecond(granted, index); });
        }
        this->send(granted, index, this->targetOf(reply.target));
    }

    void askSecond(const Request &first, std::size_t index)
    {
        if (this->answeredHedges.contains(first.hedgeId)) {
            return;
        }
        GatewayAdmissionRequest asked;
        asked.id = ++this->lastId;
        asked.service = service;
        asked.hedgeOf = first.placeId;
        asked.hedgePercent = this->policy.hedgePercent;
        asked.hedgeWindow = hedgeWindow;
        asked.timeLeft = this->day.patience;
        this->events.at(this->events.now() + this->day.ownerWayMs, [this, first, index, asked] {
            if (!this->owner) {
                return;
            }
            const GatewayAdmissionReply reply = this->owner->decide(nameOfGateway(index), asked, this->events.clock());
            if (reply.verdict != AdmissionVerdict::Granted) {
                return;
            }
            this->events.at(this->events.now() + this->day.ownerWayMs, [this, first, index, reply] {
                Request second = first;
                second.placeId = reply.id;
                second.isSecondCopy = true;
                if (this->answeredHedges.contains(first.hedgeId)) {
                    this->releasePlace(second, index, PlaceOutcome::Unused, Millis{0});
                    return;
                }
                this->result.hedges += 1;
                this->gateways[index].board->recordStart(reply.target, this->events.clock());
                this->send(second, index, this->targetOf(reply.target));
            });
        });
    }

    /** Closes the connections of the other copy. */
    void cancelCopies(const Request &answered)
    {
        for (Target &target : this->targets) {
            std::vector<Target::Waiting> dropped;
            std::erase_if(target.waiting, [&answered, &dropped](const Target::Waiting &waiting) {
                const bool isCopy = waiting.request.hedgeId == answered.hedgeId;
                if (isCopy) {
                    dropped.push_back(waiting);
                }
                return isCopy;
            });
            for (const Target::Waiting &waiting : dropped) {
                this->endCopy(target, waiting);
            }
            const auto running = target.runningHedged.find(answered.hedgeId);
            if (running != target.runningHedged.end()) {
                target.runningHedged.erase(running);
                target.cancelled.insert(answered.hedgeId);
                target.running -= 1;
                this->work(target);
            }
        }
    }

    void endCopy(const Target &target, const Target::Waiting &copy)
    {
        this->gateways[copy.gateway].board->recordEnd(target.id, TargetOutcome::Neutral, this->events.clock());
        this->releasePlace(copy.request, copy.gateway, PlaceOutcome::Unused, Millis{0});
    }

    void releasePlace(const Request &request, std::size_t index, PlaceOutcome outcome, Millis elapsed)
    {
        if (request.placeId == 0) {
            return;
        }
        const GatewayAdmissionRelease release{request.placeId, outcome, elapsed};
        this->events.at(this->events.now() + this->day.ownerWayMs, [this, index, release] {
            if (this->owner) {
                this->owner->release(nameOfGateway(index), release, this->events.clock());
            }
        });
    }

    static InstanceId nameOfGateway(std::size_t index)
    {
        return InstanceId{"g" + std::to_string(index)};
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
            this->result.bouncedBesideRoom += this->hasRoom() ? 1 : 0;
            if (!this->policy.knowsAll) {
                this->gateways[gateway].board->recordEnd(target.id, TargetOutcome::Full, this->events.clock());
                this->gateways[gateway].shedder.recordRejection(service, this->events.clock());
            }
            this->releasePlace(request, gateway, PlaceOutcome::Rejected, Millis{0});
            if (request.isSecondCopy) {
                return;
            }
            this->refuse(request, leastReturnMs);
            return;
        }
        target.waiting.push_back({request, gateway, this->events.now()});
        this->work(target);
    }

    bool hasRoom() const
    {
        return std::any_of(this->targets.begin(),
                           this->targets.begin() + static_cast<std::ptrdiff_t>(this->listed),
                           [this](const Target &target) { return target.waiting.size() < this->day.queue; });
    }

    void work(Target &target)
    {
        while (target.running < this->day.places && !target.waiting.empty()) {
            const Target::Waiting next = target.waiting.front();
            target.waiting.pop_front();
            target.running += 1;
            if (next.request.hedgeId != 0) {
                target.runningHedged.insert(next.request.hedgeId);
            }
            const double spread = this->day.workSpread;
            const double mean = std::log(this->day.workMs) - spread * spread / 2;
            double time = std::lognormal_distribution<double>(mean, spread)(this->random);
            time *= this->uniform(0, 1) < longWorkShare ? longWorkTimes : 1;
            time *= target.isSlow ? this->day.slowTimes : 1;
            this->events.at(this->events.now() + time, [this, &target, next] {
                const auto cancelled = target.cancelled.find(next.request.hedgeId);
                if (cancelled != target.cancelled.end()) {
                    target.cancelled.erase(cancelled);
                    this->endCopy(target, next);
                    return;
                }
                if (next.request.hedgeId != 0) {
                    target.runningHedged.erase(target.runningHedged.find(next.request.hedgeId));
                }
                target.running -= 1;
                this->answered(target, next);
                this->work(target);
            });
        }
    }

    void answered(const Target &target, const Target::Waiting &done)
    {
        if (done.request.hedgeId != 0) {
            this->answeredHedges.insert(done.request.hedgeId);
            this->result.hedgesWon += done.request.isSecondCopy ? 1 : 0;
            this->cancelCopies(done.request);
        }
        const double took = this->events.now() - done.request.askedAt + this->day.wayMs;
        (done.request.isIdempotent ? this->result.idempotentMs : this->result.otherMs).push_back(took);
        const bool isInTime = took <= static_cast<double>(this->day.aim.count);
        this->result.inTime += isInTime ? 1 : 0;
        this->result.late += isInTime ? 0 : 1;
        this->result.inTimeOfOthers += isInTime && done.request.organisation != 0 ? 1 : 0;
        this->result.answeredOf[done.request.organisation] += 1;
        if (this->policy.knowsAll) {
            return;
        }
        Gateway &gateway = this->gateways[done.gateway];
        const bool isCrowded
            = gateway.board->inFlight(service, this->events.clock()) > gateway.board->totalSlots(service);
        gateway.board->recordEnd(target.id, TargetOutcome::Answered, this->events.clock());
        const Millis answerTime{std::llround(this->events.now() - done.sentAt)};
        this->releasePlace(done.request, done.gateway, PlaceOutcome::Answered, answerTime);
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
        this->events.at(back, [this, request] {
            this->ask({request.askedAt, true, request.organisation, 0, request.isIdempotent});
        });
    }

    const PlainServiceDay &day;
    PlainServicePolicy policy;
    std::mt19937_64 random;
    std::deque<Target> targets;
    std::deque<Gateway> gateways;
    std::size_t listed = 0;
    EventQueue events;
    std::unique_ptr<AdmissionOwner> owner;
    std::uint64_t lastId = 0;
    std::uint64_t lastHedgeId = 0;
    /** The hedged requests that have an answer. */
    std::set<std::uint64_t> answeredHedges;
    PlainServiceResult result;
};

} // namespace

PlainServiceResult playPlainService(const PlainServiceDay &day, const PlainServicePolicy &policy)
{
    return Play(day, policy).run();
}

} // namespace Sequoiausher
