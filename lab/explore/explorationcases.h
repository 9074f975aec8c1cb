#pragma once

// The explorations that the test and the bench run, each with what it must show.
//
//     for (const ExplorationCase &one : explorationCases()) {
//         const Exploration found = explore(one.setup, one.bounds);
//     }

#include "lab/explore/explorer.h"

namespace Sequoiausher {

/** What an exploration must show. */
enum class Expectation {
    /** Within the assumptions: every schedule within the bounds keeps every promise. */
    Holds,
    /** Beyond the assumptions: a schedule that breaks one is found. Shows that the exploration would see it. */
    Breaks,
    /** Within the assumptions, but larger than the bench can complete: holds as far as it was seen. */
    HoldsPartly,
};

template<>
inline constexpr auto nameTable<Expectation> = std::to_array<NameEntry<Expectation>>({
    {Expectation::Holds, "holds"},
    {Expectation::Breaks, "breaks"},
    {Expectation::HoldsPartly, "holds-partly"},
});

/** One exploration. */
struct ExplorationCase
{
    std::string name;
    FleetSetup setup;
    Bounds bounds;
    Expectation expectation = Expectation::Holds;
    /** Takes longer than a test may. */
    bool isDeep = false;
};

/** A fleet of two entries whose witnesses are all on one list. */
FleetSetup fleetOf(std::size_t witnesses, std::size_t quorum);
/** Two entries and four witnesses, of which each list has three; the lists differ by one member. */
FleetSetup fleetOfTwoLists(std::size_t quorum);

/** All of them, those within the assumptions first. */
std::vector<ExplorationCase> explorationCases();

} // namespace Sequoiausher
