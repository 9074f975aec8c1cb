// At most once on seven real processes: 10,000 keyed calls of as many tries under kills and freezes, and what a claim
// costs. Prints `figure NAME VALUE UNIT` lines; not a part of CTest.
//
//     oncelivebench

#include "lab/scenarios/onceload.h"

#include <QtCore/QCoreApplication>

#include <algorithm>
#include <cstdio>
#include <string>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

void figure(const std::string &name, double value, const std::string &unit)
{
    std::printf("figure %s %g %s\n", name.c_str(), value, unit.c_str());
    std::fflush(stdout);
}

double share(std::size_t part, std::size_t whole)
{
    constexpr double percent = 100;
    return whole == 0 ? 0 : percent * static_cast<double>(part) / static_cast<double>(whole);
}

/** What all routers sent to others about claims, and in how many claims; loops to oneself send nothing. */
double claimBytes(const Fleet &fleet)
{
    double bytes = 0;
    for (std::size_t i = 0; i < fleet.routers(); ++i) {
        const QJsonObject kinds = fleet.status(i).value("control").toObject().value("sent_bytes_by_kind").toObject();
        for (const QString &kind : kinds.keys()) {
            bytes += kind.startsWith("claim") ? kinds.value(kind).toDouble() : 0;
        }
    }
    return bytes;
}

/** The middle time of the first calls, in milliseconds. */
double middleTime(const OnceLoad &load)
{
    std::vector<std::int64_t> times;
    for (const auto &call : load.calls()) {
        if (call->order == CallOrder::First && call->answer->whole && call->answer->status == 200) {
            times.push_back((call->endedAt - call->startedAt).count);
        }
    }
    if (times.empty()) {
        return 0;
    }
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2), times.end());
    return static_cast<double>(times[times.size() / 2]);
}

OncePlan planOf(const std::string &prefix, std::size_t keys, Millis span)
{
    OncePlan plan;
    plan.prefix = prefix;
    plan.keys = keys;
    plan.span = span;
    plan.lateAfter = Millis{2500};
    return plan;
}

// One key after the other and no duplicates, once with a claim and once without: the difference is the claim's time.
void measureCost(Fleet &fleet)
{
    OncePlan plan = planOf("cost", 500, Millis{3000});
    plan.concurrent = 0;
    plan.late = 0;
    plan.engineEvery = 0;
    const double before = claimBytes(fleet);
    OnceLoad claimed(fleet, plan);
    claimed.run();
    figure("live_claim_bytes", (claimBytes(fleet) - before) / static_cast<double>(plan.keys), "bytes");
    figure("live_claimed_call_p50", middleTime(claimed), "ms");
    plan.unkeyed = true;
    OnceLoad free(fleet, plan);
    free.run();
    figure("live_unclaimed_call_p50", middleTime(free), "ms");
    figure("live_claim_p50", middleTime(claimed) - middleTime(free), "ms");
}

void measureWell(Fleet &fleet)
{
    OnceLoad load(fleet, planOf("well", 500, Millis{3000}));
    load.run();
    const OnceFigures figures = judge(load.calls(), fleet.runs());
    figure("live_refused_no_fault", share(figures.refusedFirst, figures.keys), "%");
    std::printf("well: %s\n", toText(figures).c_str());
}

void measureOneDead(Fleet &fleet)
{
    fleet.router(6).kill();
    OnceLoad load(fleet, planOf("dead", 500, Millis{3000}));
    load.setChosen(6, false);
    load.run();
    const OnceFigures figures = judge(load.calls(), fleet.runs());
    figure("live_refused_one_dead", share(figures.refusedFirst, figures.keys), "%");
    std::printf("one dead: %s\n", toText(figures).c_str());
    fleet.restartRouter(6);
    fleet.waitUntilReady(6);
    fleet.waitUntilVoting();
}

void planFaults(OnceLoad &load, Fleet &fleet)
{
    load.at(Millis{2000}, [&fleet] { fleet.router(0).freeze(); });
    load.at(Millis{5000}, [&fleet] { fleet.router(0).thaw(); });
    load.at(Millis{6000}, [&fleet] { fleet.router(1).kill(); });
    load.at(Millis{7000}, [&fleet] { fleet.restartRouter(1); });
    load.at(Millis{12000}, [&fleet] { fleet.router(2).kill(); });
    load.at(Millis{12000}, [&fleet] { fleet.router(3).freeze(); });
    load.at(Millis{12500}, [&fleet] { fleet.restartRouter(2); });
    load.at(Millis{15000}, [&fleet] { fleet.router(3).thaw(); });
    const auto links = [&fleet](LinkMode mode) {
        fleet.setLink(4, Link{mode, {}});
        fleet.setLink(5, Link{mode, {}});
    };
    load.at(Millis{19000}, [links] { links(LinkMode::Cut); });
    load.at(Millis{21000}, [links] { links(LinkMode::Pass); });
}

void measureFaults(Fleet &fleet)
{
    OnceLoad load(fleet, planOf("fault", 3400, Millis{24000}));
    planFaults(load, fleet);
    load.run();
    const OnceFigures figures = judge(load.calls(), fleet.runs());
    figure("live_attempts", static_cast<double>(figures.calls), "calls");
    figure("live_keys", static_cast<double>(figures.keys), "keys");
    figure("live_double_runs", static_cast<double>(figures.doubleRuns), "keys");
    figure("live_false_not_run", static_cast<double>(figures.falseNotRun), "answers");
    figure("live_unclear_not_run", static_cast<double>(figures.unclearNotRun), "answers");
    figure("live_incomplete_answers", static_cast<double>(figures.incomplete), "answers");
    figure("live_differing_answers", static_cast<double>(figures.differing), "answers");
    figure("live_refused_under_faults", share(figures.refused, figures.calls), "%");
    std::printf("faults: %s\n", toText(figures).c_str());
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication app(argc, argv);
    FleetOptions options;
    options.relays = true;
    Fleet fleet(options);
    fleet.start();
    measureCost(fleet);
    measureWell(fleet);
    measureOneDead(fleet);
    measureFaults(fleet);
    return 0;
}
