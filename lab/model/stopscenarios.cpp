#include "lab/model/stopscenarios.h"

#include <cmath>

namespace Sequoiausher {

namespace {

constexpr Millis firstStopAt{20000};
constexpr std::size_t gatewaysOfSeven = 7;
/** The only gateway of its data centre. */
constexpr std::size_t loneGateway = 6;

PlannedStop stopOf(std::size_t gateway, Millis after = {})
{
    return {firstStopAt + after, gateway};
}

std::vector<PlannedStop> series(std::size_t gateways, Millis gap)
{
    std::vector<PlannedStop> stops;
    for (std::size_t i = 0; i < gateways; ++i) {
        stops.push_back(stopOf(i, gap * static_cast<std::int64_t>(i)));
    }
    return stops;
}

StopScenario of(const std::string &name, const std::vector<PlannedStop> &stops)
{
    StopScenario scenario;
    scenario.name = name;
    scenario.day.stops = stops;
    return scenario;
}

StopScenario slower(StopScenario scenario, double slowness)
{
    scenario.name += "-slow" + std::to_string(std::lround(slowness));
    scenario.day.slowness = slowness;
    return scenario;
}

/** Becomes slower soon after the first stop has begun. */
StopScenario slowingDown(StopScenario scenario, double slowness)
{
    scenario.name += "-slowing" + std::to_string(std::lround(slowness));
    scenario.day.slownessAfter = slowness;
    scenario.day.slowerFrom = firstStopAt + Millis{1500};
    return scenario;
}

StopScenario retrying(StopScenario scenario, int retries)
{
    scenario.name += "-retries" + std::to_string(retries);
    scenario.day.retries = retries;
    return scenario;
}

/** With more or fewer callers. */
StopScenario loaded(StopScenario scenario, std::size_t callersPerGateway)
{
    scenario.name += "-callers" + std::to_string(callersPerGateway);
    scenario.day.callersPerGateway = callersPerGateway;
    return scenario;
}

StopScenario inFleet(StopScenario scenario, const std::vector<std::size_t> &dataCentres)
{
    scenario.day.dataCentres = dataCentres;
    return scenario;
}

/** Refused callers may come back soon wherever they go, and at most a tenth lasts longer than what is left. */
StopPolicy returningSoon()
{
    StopPolicy policy;
    policy.limits.maxShareWithoutNeighbour = policy.limits.maxShareInNotice;
    policy.returnsAfterRestart = false;
    policy.returnsAfterNotice = false;
    return policy;
}

void setShare(StopPolicy &policy, double share)
{
    policy.limits.maxShareInNotice = share;
    policy.limits.maxShareWithoutNeighbour = share;
}

NamedStopPolicy byShare(const std::string &name, double share)
{
    NamedStopPolicy way{name, returningSoon()};
    setShare(way.policy, share);
    return way;
}

NamedStopPolicy returning(const std::string &name, Millis elsewhere)
{
    NamedStopPolicy way{name, returningSoon()};
    way.policy.retryElsewhere = elsewhere;
    return way;
}

} // namespace

StopDay StopScenario::withSeed(std::uint64_t seed) const
{
    StopDay seeded = this->day;
    seeded.seed = seed;
    return seeded;
}

bool StopScenario::slowsDown() const
{
    return this->day.slowerFrom != Millis::never();
}

std::vector<StopScenario> stopScenarios()
{
    std::vector<StopScenario> all;
    const StopScenario one = of("one", {stopOf(0)});
    const StopScenario lone = of("lone", {stopOf(loneGateway)});
    const StopScenario every = of("all", series(gatewaysOfSeven, Millis{0}));
    for (const StopScenario &each : {one, lone, every}) {
        all.push_back(each);
        all.push_back(slower(each, 3));
        all.push_back(slower(each, 6));
        all.push_back(slowingDown(each, 6));
        all.push_back(retrying(each, 0));
        all.push_back(retrying(each, 3));
        all.push_back(loaded(each, 8));
        all.push_back(loaded(each, 192));
    }
    for (const Millis gap : {Millis{300}, Millis{1000}, Millis{1500}, Millis{2500}, Millis{4000}, Millis{12000}}) {
        const StopScenario each = of("series" + std::to_string(gap.count), series(gatewaysOfSeven, gap));
        all.push_back(each);
        all.push_back(slower(each, 3));
    }
    all.push_back(retrying(of("series1500", series(gatewaysOfSeven, Millis{1500})), 0));
    all.push_back(retrying(of("series1500", series(gatewaysOfSeven, Millis{1500})), 3));
    all.push_back(of("two", {stopOf(0), stopOf(2)}));
    all.push_back(of("data-centre", {stopOf(0), stopOf(1)}));
    all.push_back(of("three", {stopOf(0), stopOf(2), stopOf(loneGateway)}));
    all.push_back(slower(all.back(), 3));
    // Again while its new process starts, or soon after.
    all.push_back(of("starting", {stopOf(loneGateway), stopOf(loneGateway, Millis{8500})}));
    all.push_back(of("fresh", {stopOf(loneGateway), stopOf(loneGateway, Millis{11000})}));
    all.push_back(of("twice", {stopOf(loneGateway), stopOf(loneGateway, Millis{2000})}));
    all.push_back(inFleet(of("fleet1", series(1, Millis{0})), {1}));
    all.push_back(inFleet(slower(of("fleet1", series(1, Millis{0})), 3), {1}));
    all.push_back(inFleet(of("fleet2-one", series(1, Millis{0})), {2}));
    all.push_back(inFleet(of("fleet2-series4000", series(2, Millis{4000})), {2}));
    all.push_back(inFleet(of("fleet2-both", series(2, Millis{0})), {2}));
    constexpr std::size_t large = 40;
    const std::vector<std::size_t> ofLarge{10, 10, 10, 10};
    all.push_back(inFleet(of("fleet40-three", series(3, Millis{0})), ofLarge));
    all.push_back(inFleet(of("fleet40-series300", series(large, Millis{300})), ofLarge));
    all.push_back(inFleet(of("fleet40-all", series(large, Millis{0})), ofLarge));
    return all;
}

NamedStopPolicy shippedWay()
{
    return {"shipped", {}};
}

std::vector<NamedStopPolicy> otherWays()
{
    std::vector<NamedStopPolicy> all;
    const StopPolicy soon = returningSoon();
    all.push_back({"return-soon", soon});
    all.push_back({"serve-all", soon});
    all.back().policy.way = StopWay::ServeAll;
    all.back().policy.keepsListener = false;
    all.push_back({"refuse-all", soon});
    all.back().policy.way = StopWay::RefuseAll;
    all.push_back({"by-deadline", soon});
    all.back().policy.way = StopWay::ByDeadline;
    all.push_back(byShare("share-2", 0.02));
    all.push_back(byShare("share-5", 0.05));
    all.push_back(byShare("share-20", 0.2));
    all.push_back(byShare("share-50", 0.5));
    all.push_back(byShare("longest-twice", 0));
    all.back().policy.limits.marginInNotice = 2;
    all.push_back({"closed-listener", soon});
    all.back().policy.keepsListener = false;
    all.push_back(returning("return-200", Millis{200}));
    all.push_back(returning("return-500", Millis{500}));
    all.push_back({"return-restarted", soon});
    all.back().policy.returnsAfterRestart = true;
    all.push_back({"return-after-notice", soon});
    all.back().policy.returnsAfterNotice = true;
    all.push_back({"resumable", soon});
    all.back().policy.beginsResumable = true;
    StopPolicy told = soon;
    told.returnsAfterRestart = true;
    told.returnsAfterNotice = true;
    all.push_back({"told", told});
    all.push_back({"told-by-deadline", told});
    all.back().policy.way = StopWay::ByDeadline;
    all.push_back({"told-share-50", told});
    setShare(all.back().policy, 0.5);
    all.push_back({"told-resumable", told});
    all.back().policy.beginsResumable = true;
    all.push_back({"shipped-resumable", {}});
    all.back().policy.beginsResumable = true;
    return all;
}

} // namespace Sequoiausher
