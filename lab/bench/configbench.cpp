// Measures how a change of configuration spreads, in discrete time over the state machines: time until it is in force
// on a router (99th percentile over routers and changes), with the service up and down, reads of the service, and
// bytes on the wire; against the baseline in which every router watches the service, and for several fan-outs.
//
//     configbench            # 7, 100 and 1,300 routers
//     configbench 100        # one size

#include "lab/bench/wiresize.h"
#include "sequoiausher/coordination/spread/testfleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <string>

using namespace Sequoiausher;

namespace {

constexpr Millis second{1000};
constexpr std::size_t bodyBytes = 1500;
constexpr std::size_t documentCount = 60;
/** 98,000 changes a day. */
constexpr double changesPerSecond = 98000.0 / 86400.0;
constexpr int measuredSeconds = 10;
/** For the whole fleet, started at once, to learn the first documents. */
constexpr Millis startLimit{60000};
/** After the last change, for stragglers. */
constexpr Millis settle{5000};

/** Figures of this size carry no suffix. */
constexpr std::size_t routersOfToday = 7;

/** Over all scenarios. */
std::uint64_t reversions = 0;

struct Scenario
{
    std::size_t routers = 7;
    std::size_t fanOut = 8;
    bool serviceDown = false;
    bool everyoneReads = false;
    /** Of the routers, killed just before the measured changes, so that nobody knows yet. */
    std::size_t killedPercent = 0;
};

struct Result
{
    std::vector<std::int64_t> delays;
    std::size_t missing = 0;
    std::int64_t allReady = 0;
    std::size_t expected = 0;
    std::uint64_t reversions = 0;
    double readsPerSecond = 0;
    double bodyCopies = 0;
    double documentBytesPerSecond = 0;
};

std::int64_t percentile(std::vector<std::int64_t> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
}

TestFleetSettings settingsOf(const Scenario &scenario)
{
    constexpr std::size_t manyRouters = 100;
    TestFleetSettings settings;
    settings.routers = scenario.routers;
    settings.dataCentres = scenario.routers >= manyRouters ? 11 : 4;
    settings.regions = scenario.routers >= manyRouters ? 4 : 1;
    settings.spread.fanOut = scenario.fanOut;
    settings.everyoneReads = scenario.everyoneReads;
    settings.jitter = Millis{2};
    return settings;
}

std::string nameOfDocument(std::size_t number)
{
    return "rules/organisation/" + std::to_string(number);
}

/** Tells when each router learns each revision, and what the documents cost. */
class Meter
{
public:
    explicit Meter(TestFleet &measured) : fleet(measured)
    {
        this->fleet.onNewRevision = [this](std::size_t, const Document &document) {
            const auto published = this->publishedAt.find(document.revision);
            if (published != this->publishedAt.end()) {
                this->delays.push_back((this->fleet.now() - published->second).count);
            }
        };
        this->fleet.onSent = [this](std::size_t, const PeerMessage &message) { this->count(message); };
    }

    void published(Revision revision)
    {
        this->publishedAt[revision] = this->fleet.now();
    }

    std::vector<std::int64_t> delays;
    std::uint64_t bodies = 0;
    std::uint64_t documentBytes = 0;

private:
    TestFleet &fleet;
    std::map<Revision, Millis> publishedAt;

    void count(const PeerMessage &message)
    {
        if (const auto *push = std::get_if<DocumentPush>(&message)) {
            this->bodies += push->documents.size();
        } else if (!std::holds_alternative<DocumentDigest>(message) && !std::holds_alternative<DocumentPull>(message)) {
            return;
        }
        this->documentBytes += wireSize(message);
    }
};

void publishChanges(TestFleet &fleet, Meter &meter, const Scenario &scenario, std::size_t &changes)
{
    std::mt19937_64 random(7);
    double due = 0;
    for (int tenth = 0; tenth < measuredSeconds * 10; ++tenth) {
        for (due += changesPerSecond / 10; due >= 1; due -= 1) {
            // A name of its own for each change, so that none is overtaken by the next before it is counted.
            const std::string name = nameOfDocument(changes % documentCount);
            const Document document{name, fleet.publish(name, std::string(bodyBytes, 'x')), "y", false};
            meter.published(document.revision);
            ++changes;
            if (scenario.serviceDown) {
                // One router read it just before the service went down.
                std::size_t knows = random() % fleet.size();
                while (!fleet.isAlive(knows)) {
                    knows = random() % fleet.size();
                }
                fleet.addServiceDocument(knows, {name, document.revision, std::string(bodyBytes, 'x'), false});
            }
        }
        fleet.run(second / 10);
    }
}

/** How long until every router is ready, all started at once; startLimit where some are not by then. */
std::int64_t runUntilReady(TestFleet &fleet, const Scenario &scenario)
{
    bool allReady = false;
    while (!allReady && fleet.now() < startLimit) {
        fleet.run(second / 10);
        allReady = true;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const bool knows = fleet.spread(i).documents().digest() == fleet.serviceDigest();
            allReady = allReady && knows && (scenario.everyoneReads || fleet.spread(i).isReady(fleet.now()));
        }
    }
    return fleet.now().count;
}

Result measure(const Scenario &scenario)
{
    TestFleet fleet(settingsOf(scenario));
    // Down until all are published, so that the readers find the whole list as they would in life.
    fleet.setServiceDown(true);
    for (std::size_t i = 0; i < documentCount; ++i) {
        fleet.publish(nameOfDocument(i), std::string(bodyBytes, 'x'));
    }
    fleet.setServiceDown(false);
    Result result;
    result.allReady = runUntilReady(fleet, scenario);
    fleet.run(Millis{2000});
    fleet.setServiceDown(scenario.serviceDown);
    std::size_t alive = fleet.size();
    for (std::size_t i = 0; i < fleet.size() * scenario.killedPercent / 100; ++i) {
        fleet.kill(i * 100 / scenario.killedPercent);
        --alive;
    }
    Meter meter(fleet);
    const std::uint64_t readsBefore = fleet.counts().serviceReads;
    const Millis started = fleet.now();
    std::size_t changes = 0;
    publishChanges(fleet, meter, scenario, changes);
    fleet.run(settle);
    const auto seconds = static_cast<double>((fleet.now() - started).count) / 1000;
    result.delays = meter.delays;
    result.expected = changes * alive;
    result.missing = result.expected - std::min(result.expected, meter.delays.size());
    result.reversions = fleet.counts().reversions;
    result.readsPerSecond = static_cast<double>(fleet.counts().serviceReads - readsBefore) / seconds;
    result.bodyCopies = static_cast<double>(meter.bodies) / static_cast<double>(result.expected);
    result.documentBytesPerSecond = static_cast<double>(meter.documentBytes) / static_cast<double>(alive) / seconds;
    return result;
}

void print(const std::string &name, double value, const char *unit)
{
    std::printf("figure %s %.2f %s\n", name.c_str(), value, unit);
    std::fflush(stdout);
}

/** Measures one scenario, prints its figures and says whether every router learnt every change. */
bool report(const Scenario &scenario, const std::string &suffix, const std::string &latencyName)
{
    const Result result = measure(scenario);
    // The baseline may well fall behind: that is what it is there to show.
    if (result.delays.empty() || (result.missing > 0 && !scenario.everyoneReads)) {
        std::cerr << "configbench: " << latencyName << suffix << ": " << result.missing << " of " << result.expected
                  << " were not in force in time\n";
        return false;
    }
    print(latencyName + suffix, static_cast<double>(percentile(result.delays, 0.99)), "ms");
    if (!scenario.serviceDown) {
        const std::string prefix = scenario.everyoneReads ? "naive_" : "";
        print(prefix + "all_started_ready" + suffix, static_cast<double>(result.allReady), "ms");
    }
    print(latencyName + "_max" + suffix, static_cast<double>(percentile(result.delays, 1)), "ms");
    if (!scenario.serviceDown) {
        const std::string prefix = scenario.everyoneReads ? "naive_" : "";
        print(prefix + "service_reads_per_s" + suffix, result.readsPerSecond, "1/s");
    }
    if (scenario.everyoneReads) {
        print("naive_not_in_force" + suffix, static_cast<double>(result.missing), "of_changes_x_routers");
    }
    if (!scenario.everyoneReads) {
        print(latencyName + "_body_copies" + suffix, result.bodyCopies, "per_router");
        print(latencyName + "_document_bytes" + suffix, result.documentBytesPerSecond, "bytes/s/router");
    }
    reversions += result.reversions;
    return true;
}

bool reportSize(std::size_t routers)
{
    const std::string suffix = routers == routersOfToday ? "" : "_" + std::to_string(routers);
    Scenario scenario;
    scenario.routers = routers;
    bool good = report(scenario, suffix, "in_force_p99");
    scenario.serviceDown = true;
    good = report(scenario, suffix, "in_force_p99_service_down") && good;
    scenario.serviceDown = false;
    scenario.everyoneReads = true;
    good = report(scenario, suffix, "naive_in_force_p99") && good;
    return good;
}

bool reportFanOuts()
{
    bool good = true;
    for (const std::size_t fanOut : {std::size_t{2}, std::size_t{4}, std::size_t{8}, std::size_t{16}}) {
        Scenario scenario;
        scenario.routers = 100;
        scenario.fanOut = fanOut;
        scenario.killedPercent = 10;
        good = report(scenario, "_100_fan_" + std::to_string(fanOut), "in_force_p99_tenth_dead") && good;
    }
    return good;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes{routersOfToday, 100, 1300};
    if (argc > 1) {
        sizes = {static_cast<std::size_t>(std::strtoul(argv[1], nullptr, 10))};
    }
    bool good = true;
    for (const std::size_t routers : sizes) {
        good = reportSize(routers) && good;
    }
    good = (argc > 1 || reportFanOuts()) && good;
    print("reversions", static_cast<double>(reversions), "1");
    return good && reversions == 0 ? 0 : 1;
}
