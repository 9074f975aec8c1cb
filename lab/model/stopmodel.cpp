#include "lab/model/stopmodel.h"

#include "lab/model/eventqueue.h"
#include "sequoiausher/coordination/gateway/routedurations.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr double msPerSecond = 1000;
constexpr double readinessIntervalMs = 1000;
constexpr int missesUntilOut = 2;
constexpr double tickMs = 40;
constexpr double leastRestartMs = 300;
constexpr double mostRestartMs = 1000;
constexpr double startMs = 500;
/** From the first attempt to the first byte of the answer. */
constexpr double aimMs = 800;
/** Requests that a process reads no later than this after it was asked to stop may be cut off at its end. */
constexpr double excusedMs = 3000;
constexpr double networkMs = 2;
/** A caller that finds no listener, or whose answer was cut off, asks again after this time. */
constexpr double reconnectMs = 100;
constexpr double atOnceMs = 20;
/** Callers that wait after an answer, and all that were not served. */
constexpr double meanPauseMs = 1000;
/** A caller waits for this part of its remaining time at most. */
constexpr double mostWaitShare = 1.0 / 3;
/** What is counted begins so long before the first stop and ends so long after the last. */
constexpr double countedBeforeMs = 1000;
constexpr double countedAfterMs = 9500;

struct RequestKind
{
    const char *route;
    Millis timeout;
    double medianMs;
    double spread;
    double mostMs;
    double leastFirstMs;
    double mostFirstMs;
    bool isStream;
    bool isResumable;
    double leastBodyMs;
    double mostBodyMs;
    /** Of a hundred callers. */
    int callers;
};

constexpr std::array kinds{
    RequestKind{"chat", Millis{15000}, 1600, 0.7, 9000, 100, 400, true, false, 0, 0, 35},
    RequestKind{"chat-resumable", Millis{15000}, 1600, 0.7, 9000, 100, 400, true, true, 0, 0, 35},
    RequestKind{"short-stream", Millis{3000}, 500, 0.5, 2500, 50, 200, true, false, 0, 0, 10},
    RequestKind{"middle-stream", Millis{5000}, 900, 0.5, 4000, 50, 200, true, false, 0, 0, 10},
    RequestKind{"lookup", Millis{1200}, 30, 0.4, 400, 0, 0, false, false, 0, 0, 5},
    RequestKind{"upload", Millis{15000}, 1600, 0.7, 9000, 100, 400, true, false, 300, 5000, 5},
};

enum class Habit {
    AtOnce,
    Pauses,
    NewConnections,
};

enum class Ending {
    Whole,
    Refused,
    Cut,
    Unconnected,
    Late,
};

struct Caller
{
    std::size_t dataCentre = 0;
    std::uint64_t hash = 0;
    Habit habit = Habit::AtOnce;
    const RequestKind *kind = nullptr;
    std::mt19937_64 random;
    /** The kept connection: a gateway, one of its lives, and since when nothing is under way on it. */
    std::optional<std::size_t> gateway;
    int life = 0;
    double idleSince = 0;
};

struct Request
{
    Caller *caller = nullptr;
    double askedAt = 0;
    /** When it would be answered by a gateway that does not stop. */
    double dueAt = 0;
    double firstMs = 0;
    double bodyMs = 0;
    /** What is left to do at a target that is as fast as usual. */
    double workMs = 0;
    int retriesLeft = 0;
    std::size_t gateway = 0;
    int life = 0;
    bool isRead = false;
    double readAt = 0;
    Millis receivedAt;
    double begunAt = 0;
    std::optional<double> firstAt;
    bool isInTime = true;
    bool wasRefused = false;
    bool wasCut = false;
    bool closes = false;
    bool isOver = false;
    bool counts = false;
    /** Events of an earlier attempt are void. */
    int attempt = 0;

    double leavesAt() const
    {
        return this->askedAt + static_cast<double>(this->caller->kind->timeout.count);
    }
};

using RequestPointer = std::shared_ptr<Request>;

enum class Phase {
    Starts,
    Serves,
    Stops,
    Down,
};

struct Gateway
{
    std::size_t dataCentre = 0;
    Phase phase = Phase::Serves;
    int life = 0;
    std::unique_ptr<StopSchedule> stop;
    std::unique_ptr<RouteDurations> durations;
    std::list<RequestPointer> inHand;
    bool isListening = true;
    bool hasClosedIdle = false;
    bool hasEndedRequests = false;
    double lastCloseAt = 0;
    double begunStopAt = 0;
    /** As the balancer sees it. */
    bool isInRotation = true;
    int misses = 0;
};

class Play
{
public:
    Play(const StopDay &given, const StopPolicy &with) : day(given), policy(with), random(given.seed)
    {
        for (std::size_t i = 0; i < this->day.dataCentres.size(); ++i) {
            for (std::size_t j = 0; j < this->day.dataCentres[i]; ++j) {
                Gateway &gateway = this->gateways.emplace_back();
                gateway.dataCentre = i;
                this->startLife(gateway);
                gateway.phase = Phase::Serves;
                const std::size_t index = this->gateways.size() - 1;
                this->events.at(this->uniform(0, readinessIntervalMs), [this, index] { this->askReadiness(index); });
            }
        }
        double last = 0;
        this->countsFrom = static_cast<double>(Millis::never().count);
        for (const PlannedStop &stop : this->day.stops) {
            const auto at = static_cast<double>(stop.at.count);
            last = std::max(last, at);
            this->stoppingDataCentres.insert(this->gateways[stop.gateway].dataCentre);
            this->countsFrom = std::min(this->countsFrom, at - countedBeforeMs);
            this->events.at(at, [this, stop] { this->beginStop(stop.gateway); });
        }
        this->countsUntil = last + countedAfterMs;
        this->addCallers();
    }

    StopResult run()
    {
        this->events.run();
        return this->result;
    }

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(this->random);
    }

    static double uniform(Caller &caller, double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(caller.random);
    }

    void addCallers()
    {
        constexpr int hundred = 100;
        constexpr std::size_t habits = 5;
        const std::size_t count = this->gateways.size() * this->day.callersPerGateway;
        for (std::size_t i = 0; i < count; ++i) {
            auto caller = std::make_unique<Caller>();
            caller->dataCentre = this->gateways[i % this->gateways.size()].dataCentre;
            caller->hash = this->random();
            caller->random.seed(this->random());
            // Two of five use their connection again at once, two after a pause, and one opens new ones.
            const std::size_t habit = this->random() % habits;
            caller->habit = habit < 2 ? Habit::AtOnce : habit < 4 ? Habit::Pauses : Habit::NewConnections;
            int drawn = static_cast<int>(this->random() % hundred);
            caller->kind = kinds.data();
            while (drawn >= caller->kind->callers) {
                drawn -= caller->kind->callers;
                caller->kind += 1;
            }
            Caller *raw = caller.get();
            this->callers.push_back(std::move(caller));
            this->events.at(this->uniform(0, 2 * msPerSecond), [this, raw] { this->ask(*raw); });
        }
    }

    static void startLife(Gateway &gateway)
    {
        gateway.stop.reset();
        gateway.durations = std::make_unique<RouteDurations>();
        gateway.isListening = true;
        gateway.hasClosedIdle = false;
        gateway.hasEndedRequests = false;
        gateway.phase = Phase::Starts;
        gateway.life += 1;
    }

    void askReadiness(std::size_t index)
    {
        Gateway &gateway = this->gateways[index];
        const bool isReady = gateway.phase == Phase::Serves;
        gateway.misses = isReady ? 0 : gateway.misses + 1;
        gateway.isInRotation = isReady || (gateway.isInRotation && gateway.misses < missesUntilOut);
        if (this->events.now() < this->countsUntil + static_cast<double>(this->day.times.grace.count)) {
            this->events.at(this->events.now() + readinessIntervalMs, [this, index] { this->askReadiness(index); });
        }
    }

    /** The gateways to which the balancer sends new connections of a data centre. */
    std::vector<std::size_t> listedFor(std::size_t dataCentre) const
    {
        const std::size_t dataCentres = this->day.dataCentres.size();
        for (std::size_t distance = 0; distance < dataCentres; ++distance) {
            const std::size_t asked = (dataCentre + distance) % dataCentres;
            std::vector<std::size_t> all;
            std::vector<std::size_t> inRotation;
            for (std::size_t i = 0; i < this->gateways.size(); ++i) {
                if (this->gateways[i].dataCentre == asked) {
                    all.push_back(i);
                    if (this->gateways[i].isInRotation) {
                        inRotation.push_back(i);
                    }
                }
            }
            if (!inRotation.empty()) {
                return 2 * inRotation.size() < all.size() ? all : inRotation;
            }
        }
        std::vector<std::size_t> own;
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            if (this->gateways[i].dataCentre == dataCentre) {
                own.push_back(i);
            }
        }
        return own;
    }

    bool hasSuccessor(std::size_t index) const
    {
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            const Phase phase = this->gateways[i].phase;
            if (i != index && (phase == Phase::Serves || phase == Phase::Starts)) {
                return true;
            }
        }
        return false;
    }

    /** Whether another gateway of its data centre goes on. */
    bool hasNeighbour(std::size_t index) const
    {
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            const bool isNear = this->gateways[i].dataCentre == this->gateways[index].dataCentre;
            if (i != index && isNear && this->gateways[i].phase == Phase::Serves) {
                return true;
            }
        }
        return false;
    }

    StopSuccessor successor(std::size_t index) const
    {
        if (this->hasNeighbour(index)) {
            return StopSuccessor::Neighbour;
        }
        return this->hasSuccessor(index) ? StopSuccessor::Elsewhere : StopSuccessor::None;
    }

    /** Whether a request that is first sent now is one of those that a stop may harm. */
    bool isCounted(const Request &request) const
    {
        const double now = this->events.now();
        const bool isLong = request.caller->kind->timeout > this->day.times.grace;
        const bool isNear = this->stoppingDataCentres.contains(request.caller->dataCentre);
        return isLong && isNear && now >= this->countsFrom && now < this->countsUntil
            && request.dueAt <= request.leavesAt();
    }

    bool isCountedShort(const Request &request) const
    {
        return request.caller->kind->timeout <= this->day.times.grace && this->events.now() >= this->countsFrom;
    }

    void ask(Caller &caller)
    {
        if (this->events.now() >= this->countsUntil) {
            return;
        }
        const RequestKind &kind = *caller.kind;
        const auto request = std::make_shared<Request>();
        request->caller = &caller;
        request->askedAt = this->events.now();
        request->retriesLeft = this->day.retries;
        request->bodyMs = kind.mostBodyMs > 0 ? uniform(caller, kind.leastBodyMs, kind.mostBodyMs) : 0;
        request->firstMs = uniform(caller, kind.leastFirstMs, kind.mostFirstMs + 1);
        const double drawn = std::lognormal_distribution<double>(std::log(kind.medianMs), kind.spread)(caller.random);
        request->workMs = std::clamp(drawn, request->firstMs, kind.mostMs);
        request->dueAt = this->doneAt(request->workMs) + request->bodyMs + networkMs;
        request->counts = this->isCounted(*request);
        this->result.asked += request->counts ? 1 : 0;
        if (caller.gateway && this->isOpen(caller)) {
            this->send(request, *caller.gateway);
        } else {
            this->connect(request);
        }
    }

    bool isOpen(const Caller &caller) const
    {
        const Gateway &gateway = this->gateways[*caller.gateway];
        const bool isClosed = gateway.hasClosedIdle && gateway.lastCloseAt >= caller.idleSince;
        return gateway.phase != Phase::Down && gateway.life == caller.life && !isClosed;
    }

    void connect(const RequestPointer &request)
    {
        Caller &caller = *request->caller;
        caller.gateway.reset();
        const std::vector<std::size_t> listed = this->listedFor(caller.dataCentre);
        const std::size_t drawn = caller.hash + static_cast<std::size_t>(request->attempt);
        const std::size_t index = listed[drawn % listed.size()];
        const Gateway &gateway = this->gateways[index];
        if (gateway.phase == Phase::Down || !gateway.isListening) {
            this->countAttempt(*request);
            this->comeBack(request, Ending::Unconnected, reconnectMs);
            return;
        }
        this->send(request, index);
    }

    void countAttempt(Request &request)
    {
        request.attempt += 1;
        this->result.attempts += request.counts ? 1 : 0;
    }

    void send(const RequestPointer &request, std::size_t index)
    {
        this->countAttempt(*request);
        request->gateway = index;
        request->life = this->gateways[index].life;
        request->caller->gateway = index;
        request->caller->life = request->life;
        request->isRead = false;
        request->firstAt.reset();
        request->closes = false;
        this->gateways[index].inHand.push_back(request);
        this->events.at(this->events.now() + networkMs + request->bodyMs, this->of(request, [this](const auto &read) {
            read->isRead = true;
            read->readAt = this->events.now();
            this->takeWhenStarted(read);
        }));
    }

    /** What is to be done in the request's present attempt, and not if that has ended by then. */
    template<typename Act>
    std::function<void()> of(const RequestPointer &request, Act act)
    {
        return [request, act, attempt = request->attempt] {
            if (request->attempt == attempt && !request->isOver) {
                act(request);
            }
        };
    }

    void takeWhenStarted(const RequestPointer &request)
    {
        if (this->gateways[request->gateway].phase == Phase::Starts) {
            this->events.at(this->events.now() + tickMs,
                            this->of(request, [this](const auto &held) { this->takeWhenStarted(held); }));
            return;
        }
        this->take(request);
    }

    bool mayBegin(const Request &request) const
    {
        const Gateway &gateway = this->gateways[request.gateway];
        if (!gateway.stop || this->policy.way == StopWay::ServeAll) {
            return true;
        }
        if (this->policy.way == StopWay::RefuseAll) {
            return false;
        }
        const Millis now = this->events.clock();
        const RequestKind &kind = *request.caller->kind;
        if (this->policy.beginsResumable && kind.isResumable && !gateway.stop->isNoticeOver(now)) {
            return true;
        }
        const Millis timeLeft{std::llround(request.leavesAt() - this->events.now())};
        const auto longer = [&](Millis limit) -> std::optional<double> {
            return this->policy.way == StopWay::ByDeadline ? std::nullopt
                                                           : gateway.durations->shareLongerThan(limit, kind.route, now);
        };
        return gateway.stop->mayBegin({timeLeft, longer}, this->successor(request.gateway), now);
    }

    void take(const RequestPointer &request)
    {
        if (!this->mayBegin(*request)) {
            this->refuse(request);
            return;
        }
        Gateway &gateway = this->gateways[request->gateway];
        const RequestKind &kind = *request->caller->kind;
        const double now = this->events.now();
        request->begunAt = now;
        request->receivedAt = this->events.clock();
        gateway.durations->begin(kind.route, request->receivedAt);
        const double firstAt = this->doneAt(kind.isStream ? request->firstMs : request->workMs);
        const double doneAt = this->doneAt(request->workMs);
        this->events.at(firstAt, this->of(request, [this](const auto &begun) { this->showFirst(*begun); }));
        if (doneAt <= request->leavesAt()) {
            this->events.at(doneAt, this->of(request, [this](const auto &done) { this->end(done, Ending::Whole); }));
        } else {
            this->events.at(std::max(now, request->leavesAt()),
                            this->of(request, [this](const auto &late) { this->end(late, Ending::Late); }));
        }
    }

    double slownessAt(double at) const
    {
        return this->day.slowerFrom != Millis::never() && at >= static_cast<double>(this->day.slowerFrom.count)
            ? this->day.slownessAfter
            : this->day.slowness;
    }

    /** When work that is begun now is done. */
    double doneAt(double workMs) const
    {
        const double now = this->events.now();
        const double done = now + workMs * this->slownessAt(now);
        if (this->slownessAt(now) == this->slownessAt(done)) {
            return done;
        }
        const auto change = static_cast<double>(this->day.slowerFrom.count);
        return change + (workMs - (change - now) / this->day.slowness) * this->day.slownessAfter;
    }

    /** How much work was done from a time until now. */
    double workSince(double from) const
    {
        const double now = this->events.now();
        if (this->slownessAt(from) == this->slownessAt(now)) {
            return (now - from) / this->slownessAt(now);
        }
        const auto change = static_cast<double>(this->day.slowerFrom.count);
        return (change - from) / this->day.slowness + (now - change) / this->day.slownessAfter;
    }

    void showFirst(Request &request)
    {
        request.firstAt = this->events.now();
        // An answer says whether its connection will be kept when it begins.
        request.closes = this->gateways[request.gateway].stop != nullptr;
        request.isInTime
            = request.isInTime && !request.wasCut && *request.firstAt - request.askedAt - request.bodyMs <= aimMs;
    }

    /** Takes the attempt off its gateway. */
    void leaveGateway(const RequestPointer &request, Ending ending)
    {
        Gateway &gateway = this->gateways[request->gateway];
        gateway.inHand.remove(request);
        if (request->begunAt > 0 && gateway.life == request->life) {
            gateway.durations->end(
                request->caller->kind->route, request->receivedAt, ending == Ending::Whole, this->events.clock());
        }
    }

    void refuse(const RequestPointer &request)
    {
        this->leaveGateway(request, Ending::Refused);
        request->caller->gateway.reset();
        this->result.refused += request->counts && !std::exchange(request->wasRefused, true) ? 1 : 0;
        const double wait = this->retryAfter(request->gateway);
        this->comeBack(
            request, Ending::Refused, std::min(wait, (request->leavesAt() - this->events.now()) * mostWaitShare));
    }

    double retryAfter(std::size_t index)
    {
        const double spread = this->uniform(1, 2);
        const Gateway &gateway = this->gateways[index];
        const double inStop = this->events.now() - gateway.begunStopAt;
        if (!this->hasSuccessor(index)) {
            const double restart = this->policy.returnsAfterRestart
                ? std::max(0.0, static_cast<double>(this->day.times.grace.count) - inStop)
                : 0;
            return restart + static_cast<double>(this->policy.retryWhenAllStop.count) * spread;
        }
        const bool waits = this->policy.returnsAfterNotice && !this->hasNeighbour(index);
        const double notice = waits ? std::max(0.0, static_cast<double>(this->day.times.notice.count) - inStop) : 0;
        return notice + static_cast<double>(this->policy.retryElsewhere.count) * spread;
    }

    /** Ends an attempt that its gateway had begun. */
    void end(const RequestPointer &request, Ending ending)
    {
        Caller &caller = *request->caller;
        this->leaveGateway(request, ending);
        if (ending == Ending::Cut) {
            caller.gateway.reset();
            this->cut(request);
            return;
        }
        if (request->closes || ending == Ending::Late) {
            caller.gateway.reset();
        }
        this->conclude(request, ending);
    }

    void cut(const RequestPointer &request)
    {
        const Gateway &gateway = this->gateways[request->gateway];
        this->result.cut += request->counts && !request->wasCut ? 1 : 0;
        this->result.lost += request->readAt - gateway.begunStopAt > excusedMs ? 1 : 0;
        request->wasCut = true;
        const RequestKind &kind = *request->caller->kind;
        if (kind.isStream && !kind.isResumable) {
            // It may have run, so it is not sent again.
            this->conclude(request, Ending::Cut);
            return;
        }
        if (kind.isResumable) {
            request->workMs = std::max(1.0, request->workMs - this->workSince(request->begunAt));
            request->firstMs = std::min(request->firstMs, request->workMs);
        }
        this->comeBack(request, Ending::Cut, reconnectMs);
    }

    void comeBack(const RequestPointer &request, Ending ending, double wait)
    {
        request->begunAt = 0;
        if (request->retriesLeft == 0 || this->events.now() + wait >= request->leavesAt()) {
            this->conclude(request, ending);
            return;
        }
        request->retriesLeft -= 1;
        this->events.at(this->events.now() + wait,
                        this->of(request, [this](const auto &back) { this->connect(back); }));
    }

    void conclude(const RequestPointer &request, Ending ending)
    {
        request->isOver = true;
        const bool isUnservedShort = ending != Ending::Whole && ending != Ending::Late;
        this->result.shortUnserved += isUnservedShort && this->isCountedShort(*request) ? 1 : 0;
        Caller &caller = *request->caller;
        if (request->counts) {
            this->result.served += ending == Ending::Whole ? 1 : 0;
            this->result.servedInTime += ending == Ending::Whole && request->isInTime ? 1 : 0;
            this->result.endedRefused += ending == Ending::Refused ? 1 : 0;
            this->result.endedCut += ending == Ending::Cut ? 1 : 0;
            this->result.endedUnconnected += ending == Ending::Unconnected ? 1 : 0;
            this->result.endedLate += ending == Ending::Late ? 1 : 0;
        }
        caller.idleSince = this->events.now();
        if (caller.habit == Habit::NewConnections) {
            caller.gateway.reset();
        }
        // Drawn in any case, so that a caller's later requests are the same whatever became of this one.
        const double pause = std::exponential_distribution<double>(1 / meanPauseMs)(caller.random);
        // A caller that was not served would have had its answer no sooner, so that no way gets fewer requests by
        // failing.
        const double next = std::max(this->events.now(), request->dueAt);
        this->events.at(next + (caller.habit == Habit::AtOnce ? atOnceMs : pause),
                        [this, &caller] { this->ask(caller); });
    }

    void beginStop(std::size_t index)
    {
        Gateway &gateway = this->gateways[index];
        if (gateway.phase == Phase::Down) {
            return;
        }
        if (gateway.stop) {
            gateway.stop->begin(this->day.times, this->events.clock());
            return;
        }
        gateway.stop = std::make_unique<StopSchedule>(this->policy.limits);
        gateway.stop->begin(this->day.times, this->events.clock());
        gateway.begunStopAt = this->events.now();
        gateway.phase = Phase::Stops;
        this->tickStop(index, gateway.life);
    }

    void tickStop(std::size_t index, int life)
    {
        Gateway &gateway = this->gateways[index];
        if (gateway.phase != Phase::Stops || gateway.life != life) {
            return;
        }
        const Millis now = this->events.clock();
        const StopSchedule &stop = *gateway.stop;
        for (const RequestPointer &request : std::list<RequestPointer>(gateway.inHand)) {
            if (!request->isRead && !this->mayBegin(*request)) {
                this->refuse(request);
            }
        }
        const bool isNeeded
            = this->policy.keepsListener && !gateway.inHand.empty() && now < stop.cutAt() && !this->hasSuccessor(index);
        if (stop.isNoticeOver(now) && (gateway.hasClosedIdle || !isNeeded)) {
            gateway.hasClosedIdle = true;
            gateway.isListening = false;
            gateway.lastCloseAt = this->events.now();
            if (gateway.inHand.empty()) {
                this->endLife(index);
                return;
            }
        }
        if (now >= stop.cutAt() && !std::exchange(gateway.hasEndedRequests, true)) {
            for (const RequestPointer &request : std::list<RequestPointer>(gateway.inHand)) {
                if (request->begunAt > 0) {
                    this->end(request, Ending::Cut);
                } else {
                    this->refuse(request);
                }
            }
        } else if (now >= stop.endAt()) {
            this->endLife(index);
            return;
        }
        this->events.at(this->events.now() + tickMs, [this, index, life] { this->tickStop(index, life); });
    }

    void endLife(std::size_t index)
    {
        Gateway &gateway = this->gateways[index];
        for (const RequestPointer &request : std::list<RequestPointer>(gateway.inHand)) {
            if (request->begunAt > 0) {
                this->end(request, Ending::Cut);
            } else {
                this->refuse(request);
            }
        }
        gateway.phase = Phase::Down;
        const double startedAt = this->events.now() + this->uniform(leastRestartMs, mostRestartMs);
        this->events.at(startedAt, [this, index] { startLife(this->gateways[index]); });
        this->events.at(startedAt + startMs, [this, index, life = gateway.life + 1] {
            Gateway &started = this->gateways[index];
            if (started.phase == Phase::Starts && started.life == life) {
                started.phase = Phase::Serves;
            }
        });
    }

    const StopDay &day;
    const StopPolicy &policy;
    std::mt19937_64 random;
    std::vector<Gateway> gateways;
    std::vector<std::unique_ptr<Caller>> callers;
    std::set<std::size_t> stoppingDataCentres;
    double countsFrom = 0;
    double countsUntil = 0;
    EventQueue events;
    StopResult result;
};

} // namespace

StopResult playStops(const StopDay &day, const StopPolicy &policy)
{
    return Play(day, policy).run();
}

} // namespace Sequoiausher
