// Claims of a router that is frozen for longer than its dispatch window, in a fleet of real processes.

#include "lab/scenarios/fleetprobe.h"
#include "lab/support/labcall.h"

#include <QtCore/QCoreApplication>
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

bool isEnded(const PendingAnswer &answer)
{
    return answer->whole || answer->error.has_value();
}

bool allEnded(const std::vector<PendingAnswer> &answers, Millis limit)
{
    return LabCaller::waitFor([&] { return std::all_of(answers.begin(), answers.end(), isEnded); }, limit);
}

/** Runs of each key at all targets. */
std::map<std::string, int> runsByKey(const Fleet &fleet)
{
    std::map<std::string, int> runs;
    for (const TargetRun &run : fleet.runs()) {
        ++runs[run.idempotencyKey];
    }
    return runs;
}

} // namespace

TEST_CASE("a claim acquired before a pause is not acted on after it, and no key runs twice")
{
    // Symptom to be noticed: two runs of one key. Sequence: a router asks for votes and is frozen before it sends the
    // request; the client tries again elsewhere while the router sleeps for longer than its dispatch window; it wakes
    // with the votes in its buffers. Cause it guards against: acting on what was true before the pause.
    FleetOptions options;
    options.routers = 5;
    options.engines = 0;
    options.relays = true;
    options.dispatchWindow = Millis{1000};
    Fleet fleet(options);
    fleet.start();
    constexpr int keys = 30;
    LabCaller frozen(fleet.routerPort(0));
    LabCaller other(fleet.routerPort(1));
    std::vector<PendingAnswer> first;
    std::vector<PendingAnswer> second;
    std::vector<std::string> names;
    for (int round = 0; round < 2; ++round) {
        // Votes to the frozen router take longer than the time until it freezes.
        fleet.setLink(0, Link{LinkMode::Delay, Millis{200}});
        const std::size_t begin = names.size();
        for (int i = 0; i < keys; ++i) {
            names.push_back("pause-" + std::to_string(round) + "-" + std::to_string(i));
            first.push_back(
                frozen.start("POST", "/orders", "{}", headersWithDeadline(Millis{9000}, names.back()), Millis{12000}));
        }
        LabCaller::waitFor([] { return false; }, Millis{round == 0 ? 120 : 230});
        fleet.router(0).freeze();
        LabCaller::waitFor([] { return false; }, Millis{2500});
        for (std::size_t i = begin; i < names.size(); ++i) {
            second.push_back(
                other.start("POST", "/orders", "{}", headersWithDeadline(Millis{2000}, names[i]), Millis{4000}));
        }
        LabCaller::waitFor([] { return false; }, Millis{500});
        fleet.router(0).thaw();
        fleet.setLink(0, Link{});
        CHECK(allEnded(second, Millis{4000}));
        CHECK(fleet.waitUntilReady(0));
    }
    CHECK(allEnded(first, Millis{12000}));
    const std::map<std::string, int> runs = runsByKey(fleet);
    std::set<std::string> ranRequests;
    for (const TargetRun &run : fleet.runs()) {
        ranRequests.insert(run.requestId);
    }
    int doubled = 0;
    int falseNotRun = 0;
    std::map<int, int> statuses;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto found = runs.find(names[i]);
        const int count = found == runs.end() ? 0 : found->second;
        doubled += count > 1 ? 1 : 0;
        for (const PendingAnswer &answer : {first[i], second[i]}) {
            const std::string request(answer->headers.value("X-Request-Id"));
            falseNotRun += ranRequests.count(request) > 0 && answer->headers.value("X-Ran") == "no" ? 1 : 0;
            ++statuses[answer->status];
        }
        CHECK(first[i]->whole);
    }
    std::string text;
    for (const auto &[status, count] : statuses) {
        text += " " + std::to_string(status) + "x" + std::to_string(count);
    }
    MESSAGE("keys: " << names.size() << ", doubled: " << doubled << ", false not-run: " << falseNotRun
                     << ", answers:" << text);
    CHECK(doubled == 0);
    CHECK(falseNotRun == 0);
}
