// Configuration on a fleet of seven real routers: how soon a published rule is in force on all, also with the service
// down once one router has read it, whether anything reverts, and how often the service is read.

#include "lab/scenarios/fleetprobe.h"
#include "lab/support/labcall.h"

#include <QtCore/QCoreApplication>

#include <algorithm>
#include <exception>
#include <iostream>
#include <vector>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

constexpr int changes = 40;
constexpr Millis limit{5000};
constexpr Millis between{100};
constexpr Millis readsSpan{5000};
const std::string rulesName = "rules/fleet";

void pauseFor(Millis span)
{
    LabCaller::waitFor([] { return false; }, span);
}

Revision highest(FleetProbe &probe)
{
    Revision most = 0;
    for (const RouterSight &sight : probe.look()) {
        most = std::max(most, sight.revision);
    }
    return most;
}

/** Publishes changes one after the other; for each router and change, when it was in force. */
std::vector<Millis> measure(Fleet &fleet, FleetProbe &probe, bool serviceDown)
{
    std::vector<Millis> all;
    Revision revision = highest(probe);
    for (int i = 0; i < changes; ++i) {
        const Millis before = Millis::monotonicNow();
        fleet.publish(rulesName, versionedRules((serviceDown ? "down" : "up") + std::to_string(i)));
        ++revision;
        if (serviceDown) {
            while (highest(probe) < revision && Millis::monotonicNow() - before < limit) {
            }
            fleet.setPlatformMode("down");
        }
        const Millis asked = Millis::monotonicNow() - before;
        for (const auto &time :
             probe.times([revision](const RouterSight &sight) { return sight.revision >= revision; }, limit)) {
            all.push_back(time ? asked + *time : limit);
        }
        fleet.setPlatformMode("up");
        // The readers are back before the next change.
        pauseFor(serviceDown ? between * 5 : between);
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::int64_t percentile99(const std::vector<Millis> &sorted)
{
    constexpr std::size_t hundred = 100;
    return sorted[(sorted.size() * (hundred - 1)) / hundred].count;
}

std::int64_t totalReads(const Fleet &fleet)
{
    LabCaller caller(fleet.platformPort());
    return caller.call("GET", "/lab/reads").json().value("total").toInteger();
}

void printFigures()
{
    FleetOptions options;
    options.engines = 0;
    options.services = 0;
    options.firstStart = false;
    options.rules = versionedRules("first");
    Fleet fleet(options);
    fleet.start();
    FleetProbe probe(fleet);
    const std::vector<Millis> up = measure(fleet, probe, false);
    const std::vector<Millis> down = measure(fleet, probe, true);
    // Restarts among stale answers are what would bring an old one back.
    fleet.setPlatformMode("stale");
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.router(i).kill();
        fleet.restartRouter(i);
        fleet.waitUntilReady(i);
        probe.look();
    }
    fleet.setPlatformMode("up");
    pauseFor(Millis{1000});
    const std::int64_t before = totalReads(fleet);
    pauseFor(readsSpan);
    const auto reads = static_cast<double>(totalReads(fleet) - before);
    probe.look();
    std::cout << "figure live_in_force_p99 " << percentile99(up) << " ms\n"
              << "figure live_in_force_p99_service_down " << percentile99(down) << " ms\n"
              << "figure live_reversions " << probe.reversions() << " count\n"
              << "figure live_service_reads_per_s " << reads * 1000 / static_cast<double>(readsSpan.count) << " 1/s\n";
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication app(argc, argv);
    try {
        printFigures();
    } catch (const std::exception &error) {
        std::cerr << "configlivebench: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
