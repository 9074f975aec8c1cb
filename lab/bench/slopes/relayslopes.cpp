#include "lab/bench/slopes/processcost.h"
#include "lab/bench/slopes/slopes.h"
#include "lab/bench/wiresize.h"
#include "sequoiausher/coordination/spread/testfleet.h"
#include "sequoiausher/state/documents/documenttable.h"
#include "sequoiausher/state/targets/targettable.h"

#include <stdexcept>

namespace Sequoiausher {

namespace {

constexpr Millis second{1000};
constexpr int measuredSeconds = 10;
constexpr std::size_t bodyBytes = 1500;
constexpr std::size_t changesPerSecond = 2;
constexpr std::size_t targetsPerShard = 16;

/** What one router spends in a second, the simulated network's own processor time included. */
struct Spent
{
    double bytes = 0;
    double messages = 0;
    double micros = 0;
    double reads = 0;
};

struct FleetLoad
{
    std::size_t routers = 7;
    std::size_t targets = 0;
    std::size_t readers = 3;
    bool changes = false;
};

TestFleetSettings settingsOf(const FleetLoad &load)
{
    constexpr std::size_t manyRouters = 100;
    TestFleetSettings settings;
    settings.routers = load.routers;
    settings.dataCentres = load.routers >= manyRouters ? 11 : 4;
    settings.regions = load.routers >= manyRouters ? 4 : 1;
    settings.spread.readers = load.readers;
    return settings;
}

/** Each shard's owner counts anew each second. */
void count(TestFleet &fleet, std::size_t targets, int step)
{
    const std::size_t shards = (targets + targetsPerShard - 1) / targetsPerShard;
    std::vector<std::vector<ShardSum>> sums(fleet.size());
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const auto counted = static_cast<std::uint32_t>(step);
        sums[shard % fleet.size()].push_back(
            {{"plate-model"}, static_cast<std::uint32_t>(shard), counted, targetsPerShard, {}});
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.membership(i).setSums(fleet.now(), sums[i]);
    }
}

void publish(TestFleet &fleet, int step)
{
    for (std::size_t i = 0; i < changesPerSecond; ++i) {
        const std::size_t number = static_cast<std::size_t>(step) * changesPerSecond + i;
        fleet.publish("rules/organisation/" + std::to_string(number % 60), std::string(bodyBytes, 'x'));
    }
}

Spent run(const FleetLoad &load)
{
    constexpr int warmUpSeconds = 12;
    TestFleet fleet(settingsOf(load));
    publish(fleet, 0);
    int step = 0;
    for (; step < warmUpSeconds; ++step) {
        count(fleet, load.targets, step);
        fleet.run(second);
    }
    double bytes = 0;
    double messages = 0;
    fleet.onSent = [&](std::size_t, const PeerMessage &message) {
        bytes += static_cast<double>(wireSize(message));
        ++messages;
    };
    const double readsBefore = static_cast<double>(fleet.counts().serviceReads);
    for (const int end = step + measuredSeconds; step < end; ++step) {
        count(fleet, load.targets, step);
        if (load.changes) {
            publish(fleet, step);
        }
        fleet.run(second);
    }
    if (messages <= 0) {
        throw std::runtime_error("a fleet sent nothing");
    }
    const double reads = (static_cast<double>(fleet.counts().serviceReads) - readsBefore) / measuredSeconds;
    const double share = 1.0 / (static_cast<double>(load.routers) * measuredSeconds);
    // Time is measured in a run of its own: encoding each message to learn its size would count in it.
    fleet.onSent = nullptr;
    const double before = processorMicros();
    for (const int end = step + measuredSeconds; step < end; ++step) {
        count(fleet, load.targets, step);
        if (load.changes) {
            publish(fleet, step);
        }
        fleet.run(second);
    }
    return {bytes * share, messages * share, (processorMicros() - before) * share, reads};
}

void byRouters()
{
    std::vector<SlopeSample> bytes;
    std::vector<SlopeSample> messages;
    std::vector<SlopeSample> micros;
    std::vector<SlopeSample> changeBytes;
    std::vector<SlopeSample> changeMicros;
    for (const std::size_t routers : {7U, 60U, 300U, 1300U}) {
        const Spent quiet = run({routers, 0, 3, false});
        const Spent changing = run({routers, 0, 3, true});
        const auto size = static_cast<double>(routers);
        bytes.push_back({size, quiet.bytes});
        messages.push_back({size, quiet.messages});
        micros.push_back({size, quiet.micros});
        changeBytes.push_back({size, (changing.bytes - quiet.bytes) / changesPerSecond});
        changeMicros.push_back({size, (changing.micros - quiet.micros) / changesPerSecond});
        const std::string suffix = "_" + std::to_string(routers);
        printFigure("relay_bytes_sent_per_s" + suffix, quiet.bytes, "bytes/s");
        printFigure("relay_messages_sent_per_s" + suffix, quiet.messages, "1/s");
        printFigure("relay_time_per_s" + suffix, quiet.micros, "us/s");
        printFigure("relay_bytes_per_change" + suffix, changeBytes.back().cost, "bytes");
        printFigure("relay_time_per_change" + suffix, changeMicros.back().cost, "us");
    }
    printSlope("relay_bytes_per_s_by_routers", bytes, "bytes/s");
    printSlope("relay_messages_per_s_by_routers", messages, "1/s");
    printSlope("relay_time_per_s_by_routers", micros, "us/s");
    printSlope("relay_bytes_per_change_by_routers", changeBytes, "bytes");
    printSlope("relay_time_per_change_by_routers", changeMicros, "us");
}

void bySums()
{
    std::vector<SlopeSample> bytes;
    std::vector<SlopeSample> micros;
    constexpr std::size_t routers = 300;
    for (const std::size_t targets : {16U, 480U, 2400U, 10000U}) {
        const Spent spent = run({routers, targets, 3, false});
        bytes.push_back({static_cast<double>(targets), spent.bytes});
        micros.push_back({static_cast<double>(targets), spent.micros});
        printFigure("relay_bytes_sent_per_s_300_targets_" + std::to_string(targets), spent.bytes, "bytes/s");
    }
    printSlope("relay_bytes_per_s_by_targets", bytes, "bytes/s");
    printSlope("relay_time_per_s_by_targets", micros, "us/s");
    const Spent target = run({1300, 10000, 3, true});
    printFigure("relay_bytes_sent_per_s_1300_targets_10000", target.bytes, "bytes/s");
    printFigure("relay_messages_sent_per_s_1300_targets_10000", target.messages, "1/s");
    printFigure("relay_time_per_s_1300_targets_10000", target.micros, "us/s");
}

void byReaders()
{
    std::vector<SlopeSample> reads;
    for (const std::size_t readers : {1U, 3U, 6U, 12U, 24U}) {
        reads.push_back({static_cast<double>(readers), run({60, 0, readers, true}).reads / changesPerSecond});
    }
    printSlope("reader_calls_per_change_by_readers", reads, "calls");
    printFigure("reader_calls_per_s_1300_routers", run({1300, 0, 3, true}).reads, "1/s");
}

TargetNews newsOf(std::size_t number)
{
    return {TargetId{"plate-model-" + std::to_string(10000 + number)}, {1700000000000, LifeState::Live}};
}

void memory()
{
    std::vector<SlopeSample> perDocument;
    std::vector<SlopeSample> perInstance;
    std::vector<SlopeSample> perTarget;
    std::vector<SlopeSample> perTableTarget;
    for (const std::size_t count : {100U, 300U, 1000U, 3000U, 10000U}) {
        const auto size = static_cast<double>(count);
        double before = heapBytes();
        DocumentTable table;
        for (std::size_t i = 0; i < count; ++i) {
            table.learn({"rules/organisation/" + std::to_string(i), i + 1, std::string(bodyBytes, 'x'), false});
        }
        perDocument.push_back({size, heapBytes() - before});

        before = heapBytes();
        Membership targets({InstanceId{"r"}, DataCentreId{"brest-1"}, 1}, 1, {});
        for (std::size_t i = 0; i < count; ++i) {
            targets.addTargetNews(newsOf(i));
        }
        perTarget.push_back({size, heapBytes() - before});

        before = heapBytes();
        TargetTable shared;
        PoolDescription pool;
        for (std::size_t i = 0; i < count; ++i) {
            pool.targets.push_back({newsOf(i).target, "10.1.2.3:8000", DataCentreId{"brest-1"}, newsOf(i).life, 64});
        }
        shared.applyPool(Millis{0}, pool);
        pool.targets.clear();
        pool.targets.shrink_to_fit();
        perTableTarget.push_back({size, heapBytes() - before});
    }
    for (const std::size_t count : {7U, 100U, 500U, 1300U}) {
        std::vector<ListedInstance> listed;
        for (std::size_t i = 0; i < count; ++i) {
            listed.push_back({InstanceId{"brest-1-router-" + std::to_string(i)}, DataCentreId{"brest-1"}});
        }
        const double before = heapBytes();
        Membership instances({listed.front().instance, DataCentreId{"brest-1"}, 1}, 1, {});
        instances.setListed(listed);
        perInstance.push_back({static_cast<double>(count), heapBytes() - before});
    }
    printSlope("relay_memory_per_document_of_1500", perDocument, "bytes");
    printSlope("relay_memory_per_target", perTarget, "bytes");
    printSlope("table_memory_per_target", perTableTarget, "bytes");
    printSlope("relay_memory_per_router", perInstance, "bytes");
}

/** What one organisation's demand takes on a probe. */
void demandBytes()
{
    std::vector<SlopeSample> bytes;
    for (const std::size_t demands : {0U, 2U, 4U, 8U}) {
        Probe probe;
        for (std::size_t i = 0; i < demands; ++i) {
            probe.gossip.fleetDemands.push_back({OrganisationId{"organisation-" + std::to_string(100 + i)}, 12.5, {}});
        }
        bytes.push_back({static_cast<double>(demands), static_cast<double>(wireSize(probe))});
    }
    printSlope("relay_bytes_per_demand", bytes, "bytes");
}

} // namespace

void measureRelay()
{
    demandBytes();
    memory();
    byRouters();
    bySums();
    byReaders();
}

} // namespace Sequoiausher
