// Every schedule of tiny fleets, within bounds: the promises hold within the assumptions, and break beyond them.

#include "lab/explore/explorationcases.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

/** The schedule in words, one event a line. */
std::string textOf(const Exploration &found)
{
    std::string text;
    if (found.violation) {
        text = std::string(nameOf(found.violation->kind)) + " after\n";
        for (const std::string &step : found.violation->steps) {
            text += "  " + step + "\n";
        }
    }
    return text;
}

/** Whether any schedule of the exploration could have ended in a second dispatch or a wrong refusal. */
bool hasChecked(const ExplorationCase &one, const Exploration &found)
{
    return one.bounds.startsDispatched || found.dispatches > 0;
}

} // namespace

TEST_CASE("within the assumptions every schedule keeps every promise")
{
    for (const ExplorationCase &one : explorationCases()) {
        if (one.isDeep || one.expectation != Expectation::Holds) {
            continue;
        }
        CAPTURE(one.name);
        const Exploration found = explore(one.setup, one.bounds);
        INFO(textOf(found));
        CHECK_FALSE(found.violation.has_value());
        CHECK(found.complete);
        CHECK(hasChecked(one, found));
    }
}

TEST_CASE("beyond the assumptions a schedule that breaks a promise is found")
{
    for (const ExplorationCase &one : explorationCases()) {
        if (one.isDeep || one.expectation != Expectation::Breaks) {
            continue;
        }
        CAPTURE(one.name);
        const Exploration found = explore(one.setup, one.bounds);
        CHECK(found.violation.has_value());
        CHECK_FALSE(found.complete);
        MESSAGE(one.name << ": " << textOf(found));
    }
}

TEST_CASE("the shortest schedule is found, in words")
{
    // Symptom: two entries run one key. Sequence: each asks another witness, and one vote suffices. Cause: quorum 1
    // of 3.
    const Exploration found = explore(fleetOf(3, 1), Bounds{});
    REQUIRE(found.violation.has_value());
    CHECK(found.violation->kind == ViolationKind::DoubleRun);
    const std::vector<std::string> expected{
        "e1 begins a claim",
        "w1 receives from e1: claim of e1, round 1",
        "e1 receives from w1: vote 'granted' of round 1; outcome: acquired",
        "e1 DISPATCHES",
        "e2 begins a claim",
        "w2 receives from e2: claim of e2, round 1",
        "e2 receives from w2: vote 'granted' of round 1; outcome: acquired",
        "e2 DISPATCHES",
    };
    CHECK(found.violation->steps == expected);
}

TEST_CASE("an exploration is the same each time")
{
    const Exploration first = explore(fleetOf(3, 2), Bounds{});
    const Exploration second = explore(fleetOf(3, 2), Bounds{});
    CHECK(first.states == second.states);
    CHECK(first.transitions == second.transitions);
    CHECK(first.schedules == second.schedules);
    CHECK(first.histories == second.histories);
}

TEST_CASE("bounds end an exploration, which then is not complete")
{
    Bounds bounds;
    SUBCASE("depth")
    {
        bounds.depth = 5;
        CHECK(explore(fleetOf(3, 3), bounds).depth == 5);
    }
    SUBCASE("states")
    {
        bounds.states = 100;
        CHECK(explore(fleetOf(3, 3), bounds).states == 100);
    }
    CHECK_FALSE(explore(fleetOf(3, 3), bounds).complete);
}

TEST_CASE("a schedule of two entries at one witness is counted as by hand")
{
    // One witness with quorum 1. Each entry: begin, question, vote, and for the winner a dispatch; events of one entry
    // are in order, and the witness answers whoever comes first.
    Bounds bounds;
    bounds.depth = 2;
    const Exploration found = explore(fleetOf(1, 1), bounds);
    // Begin e1; begin e2; then both begun, or one begun and its question answered: 1 + 2 + 3 states.
    CHECK(found.states == 6);
    CHECK(found.transitions == 6);
}
