#include "sequoiausher/coordination/gateway/crashingpartmodel.h"

#include "sequoiausher/coordination/gateway/crashreportnetwork.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sequoiausher {

namespace {

constexpr Millis step{10};
constexpr double stepsPerSecond = 100;
constexpr Millis restartTime{3500};
constexpr Millis contactWindow{3000};
/** Reports pass one hop in a small fleet and three in one with hubs, each within an interval; one may be lost. */
constexpr Millis hopTime = CrashReportNetwork::reportInterval + Millis{60};
constexpr std::int64_t smallFleetHops = 2;
constexpr std::int64_t hubFleetHops = 4;
/** By then after its first event a request did not crash its target. */
constexpr Millis beginningTime{250};

constexpr std::int64_t organisations = 10;
constexpr std::int64_t secondParts = 12;
constexpr std::int64_t sessionParts = 60;
constexpr std::uint64_t crashingPartBase = 900000;

struct Run
{
    SuspectedRequest request;
    std::size_t gateway = 0;
    std::size_t target = 0;
    std::size_t life = 0;
    Millis sentAt;
    Millis beginsAt;
    Millis endsAt;
    std::optional<std::uint64_t> crashingPart;
    bool isPromptRead = false;
    bool isOver = false;
};

struct Target
{
    std::size_t life = 1;
    /** Serves again from this time on. */
    Millis upAt;
};

struct CrashingPart
{
    std::set<TargetId> ended;
    std::optional<Millis> thirdEnd;
    std::optional<Millis> fifthEnd;
};

class Model
{
public:
    explicit Model(const CrashingPartDay &played)
        : day(played)
        , network(played.gateways, played.hubs, played.seed, played.judgement)
        , targets(played.targets)
    {
    }

    CrashingPartFigures play()
    {
        for (Millis now{0}; now < this->day.length; now += step) {
            this->network.pass(now);
            this->advanceRuns(now);
            this->endByChance(now);
            for (std::size_t i = this->drawCount(this->day.restartsPerSecond); i > 0; --i) {
                this->network.restart(this->network.anyGateway(), now);
            }
            for (std::size_t i = this->drawCount(this->day.requestsPerSecond); i > 0; --i) {
                this->send(this->drawRequest(), std::nullopt, now);
            }
            for (std::size_t i = this->drawCount(this->day.crashingPerSecond); i > 0; --i) {
                this->sendCrashing(now);
            }
        }
        this->figures.mostReportEntries = this->network.mostEntries;
        return this->figures;
    }

private:
    std::size_t drawCount(double perSecond)
    {
        constexpr std::int64_t resolution = 1000000;
        const double expected = perSecond / stepsPerSecond;
        const auto whole = static_cast<std::size_t>(expected);
        const auto rest = static_cast<std::int64_t>((expected - static_cast<double>(whole)) * resolution);
        return whole + (this->network.between(1, resolution) <= rest ? 1 : 0);
    }

    /** Draws a number from 0 to count - 1; low ones are likelier. */
    std::uint64_t drawSkewed(std::int64_t count)
    {
        const std::int64_t most = this->network.between(0, count - 1);
        return static_cast<std::uint64_t>(this->network.between(0, most));
    }

    SuspectedRequest drawRequest()
    {
        this->requests += 1;
        SuspectedRequest request;
        request.fingerprint = {this->drawSkewed(organisations), this->requests};
        constexpr std::int64_t otherFirstPercent = 10;
        const std::uint64_t first = this->network.between(1, 100) <= otherFirstPercent ? 2 : 1;
        const std::uint64_t second = 100 + this->drawSkewed(secondParts);
        const std::uint64_t session = 1000 + this->drawSkewed(sessionParts);
        request.sharedParts = {first, second, session};
        return request;
    }

    void sendCrashing(Millis now)
    {
        SuspectedRequest request = this->drawRequest();
        request.fingerprint.caller = 0;
        const auto last = static_cast<std::int64_t>(this->day.crashingParts) - 1;
        const std::uint64_t part = crashingPartBase + static_cast<std::uint64_t>(this->network.between(0, last));
        std::size_t place = request.sharedParts.size() - 1;
        switch (this->day.place) {
        case CrashingPartPlace::First:
            place = 0;
            break;
        case CrashingPartPlace::Middle:
            place = 1;
            break;
        case CrashingPartPlace::LastShared:
            break;
        case CrashingPartPlace::Any:
            place = static_cast<std::size_t>(this->network.between(0, static_cast<std::int64_t>(place)));
            break;
        }
        request.sharedParts[place] = part;
        this->send(request, part, now);
    }

    void send(const SuspectedRequest &request, std::optional<std::uint64_t> crashingPart, Millis now)
    {
        std::size_t gateway = this->network.anyGateway();
        while (!this->network.isReady(gateway, now)) {
            gateway = this->network.anyGateway();
        }
        const bool isRefused = this->network.gateways[gateway]->refuses(request, now);
        if (!crashingPart) {
            const bool isBeside = request.fingerprint.caller == 0 && this->hasEnded;
            (isBeside ? this->figures.besideAsked : this->figures.othersAsked) += 1;
            (isBeside ? this->figures.besideRefused : this->figures.othersRefused) += isRefused ? 1 : 0;
        }
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < this->targets.size(); ++i) {
            if (now >= this->targets[i].upAt) {
                up.push_back(i);
            }
        }
        if (isRefused || up.empty()) {
            return;
        }
        if (crashingPart) {
            this->countLate(this->crashing[*crashingPart], now);
        }
        const auto chosen
            = static_cast<std::size_t>(this->network.between(0, static_cast<std::int64_t>(up.size()) - 1));
        constexpr std::int64_t maxWaitMs = 150;
        constexpr std::int64_t maxRunMs = 1500;
        const Millis beginsAt = now + Millis{this->network.between(step.count, maxWaitMs)};
        const Millis endsAt = beginsAt + Millis{this->network.between(step.count, maxRunMs)};
        this->runs.push_back(
            {request, gateway, up[chosen], this->targets[up[chosen]].life, now, beginsAt, endsAt, crashingPart});
    }

    void countLate(const CrashingPart &part, Millis now)
    {
        const Millis reports = hopTime * (this->day.hubs == 0 ? smallFleetHops : hubFleetHops);
        if (part.thirdEnd && now > *part.thirdEnd + reports) {
            this->figures.sentAfterReports += 1;
        }
        if (part.fifthEnd && now > *part.fifthEnd + contactWindow) {
            this->figures.sentAfterContact += 1;
        }
    }

    void advanceRuns(Millis now)
    {
        for (std::size_t i = 0; i < this->runs.size(); ++i) {
            const Run run = this->runs[i];
            if (run.isOver) {
                continue;
            }
            if (run.crashingPart && now >= run.beginsAt && now >= this->day.soundUntil) {
                this->endTarget(run.target, now);
            } else if (now >= run.endsAt) {
                this->runs[i].isOver = true;
                this->network.gateways[run.gateway]->recordAnswer(run.request, now);
            } else if (!run.isPromptRead && now > run.beginsAt + beginningTime) {
                this->runs[i].isPromptRead = true;
                this->network.gateways[run.gateway]->recordPromptRead(run.request, now);
            }
        }
        std::erase_if(this->runs, [](const Run &run) { return run.isOver; });
    }

    void endByChance(Millis now)
    {
        for (std::size_t i = this->drawCount(this->day.chanceEndsPerSecond); i > 0; --i) {
            this->endTarget(this->anyTarget(), now);
        }
        constexpr Millis seriesGap{50};
        for (const Millis begin : {Millis{5000}, Millis{15000}}) {
            const Millis since = now - begin;
            const bool isDue = since >= Millis{0} && since.count % seriesGap.count == 0
                && static_cast<std::size_t>(since.count / seriesGap.count) < this->day.seriesOfEnds;
            if (isDue) {
                this->endTarget(this->anyTarget(), now);
            }
        }
    }

    std::size_t anyTarget()
    {
        return static_cast<std::size_t>(this->network.between(0, static_cast<std::int64_t>(this->targets.size()) - 1));
    }

    void endTarget(std::size_t number, Millis now)
    {
        Target &target = this->targets[number];
        if (now < target.upAt) {
            return;
        }
        const TargetId id{"t" + std::to_string(number) + "-" + std::to_string(target.life)};
        std::set<std::size_t> observers;
        for (Run &run : this->runs) {
            if (run.isOver || run.target != number || run.life != target.life) {
                continue;
            }
            run.isOver = true;
            const bool hasBegun = now > run.beginsAt + beginningTime;
            this->network.gateways[run.gateway]->recordLostConnection(run.request, {id, run.sentAt, hasBegun}, now);
            observers.insert(run.gateway);
            if (run.crashingPart && now >= this->day.soundUntil) {
                this->countEnd(this->crashing[*run.crashingPart], id, now);
            }
        }
        for (const std::size_t gateway : observers) {
            this->network.gateways[gateway]->recordTargetEnded(id, now);
        }
        target.life += 1;
        target.upAt = now + restartTime;
    }

    void countEnd(CrashingPart &part, const TargetId &target, Millis now)
    {
        constexpr std::size_t thirdCount = 3;
        constexpr std::size_t fifthCount = 5;
        if (!part.ended.insert(target).second) {
            return;
        }
        this->hasEnded = true;
        if (part.ended.size() == thirdCount) {
            part.thirdEnd = now;
        } else if (part.ended.size() == fifthCount) {
            part.fifthEnd = now;
        }
        this->figures.endedUnderPart = std::max(this->figures.endedUnderPart, part.ended.size());
    }

    CrashingPartDay day;
    CrashReportNetwork network;
    std::vector<Target> targets;
    std::vector<Run> runs;
    std::map<std::uint64_t, CrashingPart> crashing;
    bool hasEnded = false;
    std::uint64_t requests = 0;
    CrashingPartFigures figures;
};

} // namespace

CrashingPartFigures playDay(const CrashingPartDay &day)
{
    return Model(day).play();
}

} // namespace Sequoiausher
