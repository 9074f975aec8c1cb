// Operations on a fleet, such as replacements and restarts, and their effect on claims.

#include "sequoiausher/coordination/claims/claimnetwork.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace Sequoiausher;

namespace {

constexpr std::uint64_t keyCount = 200;

/** The routers from first up to, but not including, last. */
std::set<std::size_t> range(std::size_t first, std::size_t last)
{
    std::set<std::size_t> routers;
    for (std::size_t i = first; i < last; ++i) {
        routers.insert(i);
    }
    return routers;
}

/** One call for each of count keys, at the routers in turn, one after another. */
void callKeys(ClaimNetwork &network, const std::set<std::size_t> &routers, std::uint64_t from, std::uint64_t count)
{
    auto router = routers.begin();
    for (std::uint64_t i = from; i < from + count; ++i) {
        network.begin(*router, ClaimKey{i * 0x9e3779b97f4a7c15ULL, i}, 1);
        network.run(network.now() + Millis{5});
        if (++router == routers.end()) {
            router = routers.begin();
        }
    }
    network.run(network.now() + Millis{2500});
}

void setLists(ClaimNetwork &network, const std::set<std::size_t> &listed)
{
    for (const std::size_t router : listed) {
        network.setList(router, listed);
    }
}

} // namespace

// Guards against refusals while six of seven routers work: one router dies and stays on the platform's list, and a
// quorum needs every witness.
TEST_CASE("with one of seven routers dead no request is refused")
{
    for (std::size_t dead = 0; dead < 7; ++dead) {
        CAPTURE(dead);
        ClaimNetwork network(NetworkSettings{});
        network.kill(dead);
        std::set<std::size_t> alive = range(0, 7);
        alive.erase(dead);
        callKeys(network, alive, 0, keyCount);
        CHECK(network.report().refused == 0);
        CHECK(network.report().dispatched == keyCount);
    }
}

// Guards against a retry that runs again after the replacement of a fleet: seven routers are replaced one after another
// by routers of other names, and the last router with a claim stops before another one has received it.
TEST_CASE("a rolling replacement under new names loses no claim and refuses no request")
{
    NetworkSettings settings;
    settings.routers = 14;
    settings.listed = 7;
    ClaimNetwork network(settings);
    callKeys(network, range(0, 7), 0, keyCount);
    CHECK(network.report().dispatched == keyCount);
    for (std::size_t leaving = 0; leaving < 7; ++leaving) {
        const std::set<std::size_t> listed = range(leaving + 1, leaving + 8);
        network.handOverClaims(leaving);
        network.restart(leaving + 7);
        setLists(network, listed);
        // The router drains for as long as a hand-over takes, then stops.
        network.run(network.now() + Millis{4000});
        network.handOverClaims(leaving);
        network.run(network.now() + Millis{100});
        network.kill(leaving);
        callKeys(network, listed, 1000 * (leaving + 1), 20);
    }
    CHECK(network.report().refused == 0);
    callKeys(network, range(7, 14), 0, keyCount);
    CHECK(network.report().held == keyCount);
    CHECK(network.report().doubleRuns == 0);
    CHECK(network.report().falseNotRun == 0);
}

// Guards against retries that run again after a power cut: all routers restart at once, and the witnesses vote without
// their lost claims.
TEST_CASE("after a cold start keyed requests are refused until old claims have expired, with that time as retryAfter")
{
    ClaimNetwork network(NetworkSettings{});
    callKeys(network, range(0, 7), 0, 10);
    for (std::size_t router = 0; router < 7; ++router) {
        network.kill(router);
        network.restart(router);
    }
    const Millis restarted = network.now();
    const ClaimParameters parameters;
    network.run(restarted + parameters.settleTime * 3);
    callKeys(network, range(0, 7), 0, 10);
    CHECK(network.report().refused == 10);
    const AttemptEnd last = network.ends().back();
    // retryAfter is counted from the vote, which took a few milliseconds to arrive.
    const Millis comeBack = last.at + last.outcome.retryAfter;
    CHECK(comeBack >= restarted + parameters.claimRetention());
    CHECK(comeBack <= restarted + parameters.claimRetention() + Millis{10});
    network.run(restarted + parameters.claimRetention());
    callKeys(network, range(0, 7), 0, 10);
    CHECK(network.report().dispatched == 20);
    CHECK(network.report().doubleRuns == 0);
}

// Guards against a restarted router whose witness abstains for ten minutes, because it waits instead of pulling claims.
TEST_CASE("a restarted router votes again after the settle time, also while another is dead")
{
    ClaimNetwork network(NetworkSettings{});
    callKeys(network, range(0, 7), 0, keyCount);
    network.kill(0);
    network.kill(1);
    network.restart(1);
    CHECK(network.witness(1).isFresh(network.now()));
    network.run(network.now() + ClaimParameters{}.settleTime + Millis{50});
    callKeys(network, range(1, 7), 0, keyCount);
    CHECK(network.report().held == keyCount);
    callKeys(network, range(1, 7), 1000, keyCount);
    CHECK(network.report().refused == 0);
    CHECK(network.report().doubleRuns == 0);
}

// Guards against a key that runs on both sides of a network partition, or on neither: the fleet is split into 5 and 2
// routers, and the minority counts itself as a quorum.
TEST_CASE("in a partition the minority refuses requests, and runs no key of the majority")
{
    ClaimNetwork network(NetworkSettings{});
    network.split({0, 0, 0, 0, 0, 1, 1});
    callKeys(network, range(5, 7), 0, keyCount);
    CHECK(network.report().refused == keyCount);
    callKeys(network, range(0, 5), 0, keyCount);
    CHECK(network.report().dispatched > 0);
    callKeys(network, range(5, 7), 0, keyCount);
    CHECK(network.report().doubleRuns == 0);
    CHECK(network.report().falseNotRun == 0);
}

TEST_CASE("of nine concurrent calls of one key at nine routers one runs, and the others find it as the holder")
{
    NetworkSettings settings;
    settings.routers = 9;
    settings.delayMax = Millis{20};
    ClaimNetwork network(settings);
    for (std::uint64_t key = 0; key < 50; ++key) {
        for (std::size_t router = 0; router < 9; ++router) {
            network.begin(router, ClaimKey{key, key}, 1);
        }
        network.run(network.now() + Millis{3000});
    }
    CHECK(network.report().dispatched == 50);
    CHECK(network.report().held == 50 * 8);
    CHECK(network.report().refused == 0);
}
