#pragma once

// The tiny fleet whose schedules are explored, and the bounds of the exploration.
//
//     FleetSetup setup;          // 2 entries, 3 witnesses, quorum 3
//     setup.restartedVotesAtOnce = true;
//     Bounds bounds;
//     bounds.restarts = 1;

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/claims/claimparameters.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Sequoiausher {

/**
 * Parameters with the proportions of the shipped ones, but few different times, so that few waits reach every timer.
 */
ClaimParameters tinyParameters(std::size_t witnesses, std::size_t quorum);

/** Who takes part. Processes are numbered: the entries first, then the witnesses. */
struct FleetSetup
{
    ClaimParameters parameters = tinyParameters(3, 3);
    std::size_t entries = 2;
    std::size_t witnesses = 3;
    /** Lists of witnesses, by their number from 0. */
    std::vector<std::vector<std::size_t>> lists{{0, 1, 2}};
    /** The list that each process has read at the start. */
    std::vector<std::size_t> listOfProcess{0, 0, 0, 0, 0};
    /** The fault to be caught: a restarted witness votes as if it remembered. */
    bool restartedVotesAtOnce = false;

    std::size_t processes() const
    {
        return this->entries + this->witnesses;
    }
    bool isEntry(std::size_t process) const
    {
        return process < this->entries;
    }
};

/** A promise that was broken. */
enum class ViolationKind {
    /** The key was dispatched twice within its lifetime. */
    DoubleRun,
    /** A call was dispatched and told that it was not, or a key was said not to have run that had. */
    FalseNotRun,
};

template<>
inline constexpr auto nameTable<ViolationKind> = std::to_array<NameEntry<ViolationKind>>({
    {ViolationKind::DoubleRun, "double-run"},
    {ViolationKind::FalseNotRun, "false-not-run"},
});

/** How many of each event a schedule may have. Messages may be late, lost and out of order in every schedule. */
struct Bounds
{
    /**
     * Schedules start where the first entry has counted so many votes, those of the first witnesses of its list, with
     * its questions to the others on their way; 0: where it has not begun.
     */
    std::size_t countedVotes = 0;
    /** They start after it dispatched; it must have counted a quorum. */
    bool startsDispatched = false;
    /** Events in one schedule. */
    std::size_t depth = 64;
    /** States after which the exploration stops without being complete. */
    std::size_t states = 2000000;
    /** Times at which the clock moves on, and by how much it may each time. */
    std::size_t waits = 0;
    std::vector<Millis> waitLengths;
    std::size_t duplicates = 0;
    std::size_t restarts = 0;
    std::size_t listChanges = 0;
    /** Acquired claims that admission refuses. */
    std::size_t refusals = 0;
    /** Claims that begin again after they found the key held. */
    std::size_t secondClaims = 0;
    /** Where set, a violation of the other kind ends its own schedule alone. */
    std::optional<ViolationKind> sought;
};

} // namespace Sequoiausher
