// Measures the control traffic of a router: bytes on the wire of membership messages sent per second, at today's size
// and as routers and targets grow. Runs in discrete time over the state machines.
//
//     controlbench

#include "lab/bench/wiresize.h"
#include "sequoiausher/coordination/spread/testfleet.h"

#include <cstdio>
#include <string>

using namespace Sequoiausher;

namespace {

constexpr Millis second{1000};
constexpr int warmUpSeconds = 20;
constexpr int measuredSeconds = 10;
/** Targets that one shard's owner counts. */
constexpr std::size_t targetsPerShard = 32;

struct Load
{
    std::size_t routers = 7;
    std::size_t targets = 24;
};

struct Traffic
{
    double bytesPerSecond = 0;
    double messagesPerSecond = 0;
    /** How old the sums are that routers know, and which share of them they know. */
    double sumAge = 0;
    double sumsKnown = 0;
};

std::size_t shardsOf(const Load &load)
{
    return (load.targets + targetsPerShard - 1) / targetsPerShard;
}

/** Each shard's owner counts anew each second; one target in a thousand comes or goes per minute. */
void layLoad(TestFleet &fleet, const Load &load, int step)
{
    for (std::size_t shard = 0; shard < shardsOf(load); ++shard) {
        ShardSum sum{{"plate-model"}, static_cast<std::uint32_t>(shard), static_cast<std::uint32_t>(step), 32, {}};
        fleet.membership(shard % fleet.size()).setSums(fleet.now(), {sum});
    }
    constexpr std::size_t secondsPerChange = 60000;
    const std::size_t before = static_cast<std::size_t>(step) * load.targets / secondsPerChange;
    const std::size_t after = static_cast<std::size_t>(step + 1) * load.targets / secondsPerChange;
    for (std::size_t change = before; change < after; ++change) {
        const TargetId target{"plate-" + std::to_string(change)};
        fleet.membership(change % fleet.size()).addTargetNews({target, {2, LifeState::Leaving}});
    }
}

/** Fills in what the routers know of the shards' sums; each sum tells the second in which it was counted. */
void measureSums(TestFleet &fleet, const Load &load, int step, Traffic &traffic)
{
    std::size_t known = 0;
    double ages = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (const ShardSum &sum : fleet.membership(i).sums(fleet.now())) {
            ages += static_cast<double>(step) - sum.inFlight;
            ++known;
        }
    }
    traffic.sumAge = known == 0 ? 0 : ages / static_cast<double>(known);
    traffic.sumsKnown = static_cast<double>(known) / static_cast<double>(fleet.size() * shardsOf(load));
}

Traffic measure(const Load &load)
{
    TestFleetSettings settings;
    settings.routers = load.routers;
    TestFleet fleet(settings);
    fleet.publish("rules/fleet", "body");
    int step = 0;
    for (; step < warmUpSeconds; ++step) {
        layLoad(fleet, load, step);
        fleet.run(second);
    }
    std::size_t bytes = 0;
    std::size_t messages = 0;
    fleet.onSent = [&](std::size_t, const PeerMessage &message) {
        bytes += wireSize(message);
        ++messages;
    };
    for (; step < warmUpSeconds + measuredSeconds; ++step) {
        layLoad(fleet, load, step);
        fleet.run(second);
    }
    const double share = 1.0 / (static_cast<double>(load.routers) * measuredSeconds);
    Traffic traffic{static_cast<double>(bytes) * share, static_cast<double>(messages) * share, 0, 0};
    measureSums(fleet, load, step, traffic);
    return traffic;
}

void print(const std::string &name, double value, const char *unit)
{
    std::printf("figure %s %.3f %s\n", name.c_str(), value, unit);
    std::fflush(stdout);
}

} // namespace

int main()
{
    const Traffic today = measure({7, 24});
    const Traffic moreRouters = measure({200, 24});
    const Traffic moreTargets = measure({7, 1000});
    const Traffic many = measure({1300, 10000});
    if (today.messagesPerSecond <= 0 || many.messagesPerSecond <= 0) {
        std::fprintf(stderr, "controlbench: no messages were sent\n");
        return 1;
    }
    const char *unit = "bytes/s";
    print("control_bytes_per_s_per_router", today.bytesPerSecond, unit);
    print("control_messages_per_s_per_router", today.messagesPerSecond, "1/s");
    print("slope_per_router", (moreRouters.bytesPerSecond - today.bytesPerSecond) / (200 - 7), unit);
    print("slope_per_target", (moreTargets.bytesPerSecond - today.bytesPerSecond) / (1000 - 24), unit);
    print("control_bytes_per_s_per_router_200", moreRouters.bytesPerSecond, unit);
    print("control_bytes_per_s_per_router_1300_10000", many.bytesPerSecond, unit);
    print("sum_age", today.sumAge, "s");
    print("sum_age_1300_10000", many.sumAge, "s");
    print("sums_known_1300_10000", many.sumsKnown, "share");
    return 0;
}
