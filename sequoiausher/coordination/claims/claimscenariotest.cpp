// What operators do to a fleet, and what claims make of it.

#include "sequoiausher/coordination/claims/claimnetwork.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace Sequoiausher;

namespace {

constexpr std::uint64_t keyCount = 200;

/** Routers from first to last less one. */
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

// Symptom: refusals while six of seven routers work. Events: one router dies and stays on the platform's list. Cause
// ruled out: a quorum that needs every witness.
TEST_CASE("one of seven dead refuses nothing")
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

// Symptom: after a fleet was replaced, a retry runs again. Events: seven routers are replaced one after another by
// routers of other names. Cause ruled out: the last that remembers a claim leaves before the next has learnt it.
TEST_CASE("a rolling replacement under new names forgets nothing and refuses nothing")
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
        // It drains for as long as a hand-over takes, then stops.
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

// Symptom: after a power cut, retries run again. Events: every router restarts at once. Cause ruled out: witnesses
// that vote from an empty memory.
TEST_CASE("a cold start refuses keyed requests for as long as claims live, and says for how long")
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
    // The wait is counted from the vote, which took a few milliseconds to arrive.
    const Millis comeBack = last.at + last.outcome.retryAfter;
    CHECK(comeBack >= restarted + parameters.claimRetention());
    CHECK(comeBack <= restarted + parameters.claimRetention() + Millis{10});
    network.run(restarted + parameters.claimRetention());
    callKeys(network, range(0, 7), 0, 10);
    CHECK(network.report().dispatched == 20);
    CHECK(network.report().doubleRuns == 0);
}

// Symptom: a restart of one router makes it useless for ten minutes. Cause ruled out: it only waits, and does not ask.
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

// Symptom: a key runs on both sides of a split, or on neither. Events: the fleet splits in 5 and 2. Cause ruled out:
// a minority that counts itself a quorum.
TEST_CASE("in a split the minority refuses, and never runs what the majority runs")
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

TEST_CASE("nine calls of one key at nine routers at once run it once, and all others find it")
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
