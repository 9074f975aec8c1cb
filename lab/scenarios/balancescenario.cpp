#include "lab/scenarios/balancescenario.h"

#include "lab/scenarios/livecalls.h"
#include "lab/support/labcall.h"

#include <QtCore/QJsonArray>

#include <algorithm>
#include <cmath>
#include <random>

namespace Sequoiausher::Lab {

namespace {

constexpr std::size_t engineCount = 12;
constexpr std::size_t chatCount = 120;
/** 50 a second of 1 to 7 s, one in five of them long: about ten on each engine. */
constexpr Millis between{20};
constexpr int shortTokens = 24;
constexpr int longTokens = 130;
constexpr std::uint64_t longEvery = 5;
constexpr double leastMean = 4;
constexpr std::size_t churned = 3;
constexpr std::size_t killed = 2;
constexpr double bound = 1.25;

/** A run begins or ends on an engine, or an engine joins or leaves the list. */
struct Change
{
    Millis at;
    std::size_t engine = 0;
    int delta = 0;
};

std::vector<Change> changesOf(const Fleet &fleet)
{
    std::vector<Change> changes;
    const std::vector<std::uint16_t> ports = fleet.enginePorts();
    for (std::size_t engine = 0; engine < ports.size(); ++engine) {
        LabCaller caller(ports[engine]);
        const QJsonArray runs = caller.call("GET", "/lab/runs").json().value("runs").toArray();
        for (const auto &run : runs) {
            const Millis at{run.toObject().value("at_ms").toInteger()};
            const Millis ended{run.toObject().value("ended_ms").toInteger()};
            changes.push_back(Change{at, engine, 1});
            changes.push_back(Change{ended > Millis{0} ? ended : Millis::never(), engine, -1});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const Change &a, const Change &b) {
        return a.at < b.at || (a.at == b.at && a.delta < b.delta);
    });
    return changes;
}

/** When the faults were, by the clock of the machine. */
struct Times
{
    Millis off = Millis::never();
    Millis on = Millis::never();
    Millis kill = Millis::never();
};

void measure(const std::vector<Change> &changes, const Times &times, BalanceFigures &figures)
{
    std::vector<int> counts(engineCount, 0);
    std::size_t above = 0;
    for (const Change &change : changes) {
        if (change.delta > 0) {
            const bool without = change.at >= times.off && change.at < times.on;
            int total = 0;
            for (std::size_t i = 0; i < engineCount; ++i) {
                total += without && i == churned ? 0 : counts[i];
            }
            const double mean = total / static_cast<double>(without ? engineCount - 1 : engineCount);
            const double ratio = mean > 0 ? counts[change.engine] / mean : 0;
            const bool afterKill = change.at >= times.kill && change.at < times.kill + killWindow;
            if (afterKill) {
                figures.maxOverMeanAfterKill = std::max(figures.maxOverMeanAfterKill, ratio);
            } else if (mean >= leastMean) {
                figures.admissions += 1;
                figures.maxOverMean = std::max(figures.maxOverMean, ratio);
                above += counts[change.engine] + 1 > std::ceil(bound * mean) + 1 ? 1 : 0;
            }
        }
        counts[change.engine] += change.delta;
    }
    figures.aboveBound = static_cast<double>(above) / static_cast<double>(std::max<std::size_t>(figures.admissions, 1));
}

void countAnswers(const LiveCalls &calls, BalanceFigures &figures)
{
    std::size_t prompt = 0;
    std::size_t cached = 0;
    for (const auto &answer : calls.made()) {
        prompt += answer->promptTokens;
        cached += answer->cachedTokens;
        if (answer->whole) {
            figures.answered += 1;
        } else if (answer->status >= 400) {
            figures.refused += 1;
            figures.refusedWithoutRetryAfter += answer->hasRetryAfter ? 0 : 1;
        } else {
            figures.broken += 1;
        }
    }
    figures.reuse = static_cast<double>(cached) / static_cast<double>(std::max<std::size_t>(prompt, 1));
}

std::string rulesOf(const BalancePlan &plan)
{
    return "[rule plates]\nwhen.model = plate-model\nthen.pool = plate-model\nthen.policy = " + plan.policy
        + "\nthen.bound_percent = " + std::to_string(plan.boundPercent) + "\n";
}

} // namespace

BalanceFigures runBalance(const BalancePlan &plan)
{
    FleetOptions options;
    options.engines = engineCount;
    options.services = 0;
    options.engineStepMs = "50";
    options.firstStart = false;
    options.rules = rulesOf(plan);
    Fleet fleet(options);
    fleet.start();
    LiveCalls calls(fleet, plan.seed);
    std::mt19937_64 random(plan.seed);
    for (Millis at{0}; at < plan.span; at = at + between) {
        LiveCall call;
        call.at = at;
        call.chat = "chat-" + std::to_string(random() % chatCount);
        call.promptWords = 64;
        call.tokens = random() % longEvery == 0 ? longTokens : shortTokens;
        calls.add(call);
    }
    Times times;
    if (plan.faults) {
        const Millis eighth{plan.span.count / 8};
        const std::vector<std::uint16_t> all = fleet.enginePorts();
        const std::string whole = engineDocument(all);
        const std::string name = "[target plate-" + std::to_string(churned + 1) + "]";
        const std::string next = "[target plate-" + std::to_string(churned + 2) + "]";
        std::string without = whole;
        without.erase(without.find(name), without.find(next) - without.find(name));
        calls.at(eighth * 2, [&fleet, &times, without] {
            times.off = Millis::monotonicNow();
            fleet.publish(std::string("targets/") + enginePool, without);
        });
        calls.at(eighth * 4, [&fleet, &times, whole] {
            fleet.publish(std::string("targets/") + enginePool, whole);
            times.on = Millis::monotonicNow();
        });
        calls.at(eighth * 5, [&fleet, &times, &calls] {
            calls.avoid(killed);
            times.kill = Millis::monotonicNow();
            fleet.router(killed).kill();
        });
    }
    calls.run(Millis{6000});
    BalanceFigures figures;
    measure(changesOf(fleet), times, figures);
    countAnswers(calls, figures);
    return figures;
}

} // namespace Sequoiausher::Lab
