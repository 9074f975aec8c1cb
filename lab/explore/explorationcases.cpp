#include "lab/explore/explorationcases.h"

#include <numeric>

namespace Sequoiausher {

namespace {

/** Just longer than a dispatch may wait; than a fresh witness waits; than a witness remembers. */
constexpr Millis pastDispatchWindow{40};
constexpr Millis pastSettleTime{50};
constexpr Millis pastMemory{440};

FleetSetup votingAtOnce(FleetSetup setup)
{
    setup.restartedVotesAtOnce = true;
    return setup;
}

/** 2 entries, each with one of two lists at the start; the fourth witness has the second. */
FleetSetup startingApart(FleetSetup setup)
{
    setup.listOfProcess = {0, 1, 0, 0, 0, 1};
    return setup;
}

/** A restarted witness asks the others before every attempt that counts its earlier vote has dispatched or died. */
FleetSetup settlingTooSoon(FleetSetup setup)
{
    setup.parameters.settleTime = Millis{5};
    return setup;
}

Bounds dispatchedBy(std::size_t quorum)
{
    Bounds bounds;
    bounds.countedVotes = quorum;
    bounds.startsDispatched = true;
    return bounds;
}

Bounds withWaits(Bounds bounds, std::vector<Millis> lengths)
{
    bounds.waits = 1;
    bounds.waitLengths = std::move(lengths);
    return bounds;
}

Bounds withRestarts(Bounds bounds, std::size_t restarts)
{
    bounds.restarts = restarts;
    return bounds;
}

Bounds withListChanges(Bounds bounds, std::size_t changes)
{
    bounds.listChanges = changes;
    return bounds;
}

Bounds withRefusals(Bounds bounds)
{
    bounds.refusals = 1;
    bounds.secondClaims = 1;
    return bounds;
}

Bounds withDuplicates(Bounds bounds)
{
    bounds.duplicates = 1;
    return bounds;
}

Bounds counted(std::size_t votes)
{
    Bounds bounds;
    bounds.countedVotes = votes;
    return bounds;
}

Bounds seeking(Bounds bounds, ViolationKind kind)
{
    bounds.sought = kind;
    return bounds;
}

void addHolding(std::vector<ExplorationCase> &cases)
{
    const Bounds free;
    const auto add = [&](std::string name, const FleetSetup &setup, const Bounds &bounds) {
        cases.push_back(ExplorationCase{std::move(name), setup, bounds, Expectation::Holds, false});
    };
    add("race_3_of_3", fleetOf(3, 3), free);
    add("race_2_of_3", fleetOf(3, 2), free);
    add("race_3_of_4", fleetOf(4, 3), free);
    add("refusal_and_second_claim", fleetOf(3, 3), withRefusals(free));
    add("duplicate", fleetOf(3, 2), withDuplicates(free));
    add("lists_apart", startingApart(fleetOfTwoLists(3)), free);
    add("lists_apart_and_forgetful_witness",
        votingAtOnce(startingApart(fleetOfTwoLists(3))),
        withRestarts(dispatchedBy(3), 1));
    add("lists_change", fleetOfTwoLists(3), withListChanges(counted(3), 2));
    add("restart", fleetOf(3, 2), withRestarts(free, 1));
    add("restart_after_first_vote", fleetOf(3, 3), withRestarts(counted(1), 1));
    add("paused_entry", fleetOf(3, 3), withWaits(counted(3), {pastDispatchWindow}));
    add("shipped_quorum_two_forgetful_witnesses", votingAtOnce(fleetOf(5, 4)), withRestarts(dispatchedBy(4), 2));
}

void addBreaking(std::vector<ExplorationCase> &cases)
{
    const Bounds free;
    const auto add = [&](std::string name, const FleetSetup &setup, const Bounds &bounds) {
        cases.push_back(ExplorationCase{std::move(name), setup, bounds, Expectation::Breaks, false});
    };
    add("quorum_too_low", fleetOf(3, 1), free);
    add("forgetful_witness", votingAtOnce(fleetOf(3, 2)), withRestarts(free, 1));
    add("lists_too_far_apart", startingApart(fleetOfTwoLists(2)), free);
    add("shipped_quorum_three_forgetful_witnesses", votingAtOnce(fleetOf(5, 4)), withRestarts(dispatchedBy(4), 3));
    add("refused_though_it_ran",
        votingAtOnce(fleetOf(3, 2)),
        seeking(withRefusals(withRestarts(free, 1)), ViolationKind::FalseNotRun));
}

void addDeep(std::vector<ExplorationCase> &cases)
{
    const Bounds free;
    const auto add = [&](std::string name, const FleetSetup &setup, Bounds bounds, Expectation expectation) {
        bounds.states = 12000000;
        cases.push_back(ExplorationCase{std::move(name), setup, bounds, expectation, true});
    };
    add("deep_restart", fleetOf(3, 3), withRestarts(free, 1), Expectation::Holds);
    add("deep_entry_paused_beyond_memory", fleetOf(3, 3), withWaits(counted(3), {pastMemory}), Expectation::Holds);
    add("deep_lists_change", fleetOfTwoLists(3), withListChanges(free, 1), Expectation::Holds);
    add("deep_handover",
        fleetOf(3, 3),
        withWaits(withRestarts(dispatchedBy(3), 1), {pastSettleTime}),
        Expectation::Holds);
    add("deep_handover_2_of_3",
        fleetOf(3, 2),
        withWaits(withRestarts(counted(1), 1), {pastSettleTime}),
        Expectation::HoldsPartly);
    add("deep_settling_too_soon",
        settlingTooSoon(fleetOf(3, 2)),
        withWaits(withRestarts(counted(1), 1), {Millis{5}}),
        Expectation::Breaks);
    add("deep_shipped_quorum", fleetOf(5, 4), free, Expectation::HoldsPartly);
}

} // namespace

FleetSetup fleetOf(std::size_t witnesses, std::size_t quorum)
{
    FleetSetup setup;
    setup.parameters = tinyParameters(witnesses, quorum);
    setup.witnesses = witnesses;
    setup.lists = {std::vector<std::size_t>(witnesses)};
    std::iota(setup.lists[0].begin(), setup.lists[0].end(), 0);
    setup.listOfProcess.assign(setup.processes(), 0);
    return setup;
}

FleetSetup fleetOfTwoLists(std::size_t quorum)
{
    FleetSetup setup;
    setup.parameters = tinyParameters(3, quorum);
    setup.witnesses = 4;
    setup.lists = {{0, 1, 2}, {0, 1, 3}};
    setup.listOfProcess.assign(setup.processes(), 0);
    return setup;
}

std::vector<ExplorationCase> explorationCases()
{
    std::vector<ExplorationCase> cases;
    addHolding(cases);
    addBreaking(cases);
    addDeep(cases);
    return cases;
}

} // namespace Sequoiausher
