#pragma once

// One attempt as a claimant keeps it; for claimant.cpp alone.
//
//     Internal::Attempt attempt;
//     attempt.ballot = Ballot(witnesses, quorum);

#include "sequoiausher/coordination/claims/ballot.h"
#include "sequoiausher/coordination/claims/claimant.h"

namespace Sequoiausher::Internal {

/** Where an attempt stands. */
enum class Phase {
    Asking,
    /** Withdrawn in favour of a smaller attempt; the next round begins at the timer. */
    BackingOff,
    Acquired,
    Dispatched,
    /** Surely not dispatched, ever; kept to answer late grants. */
    Withdrawn,
};

/** A claim under way, or withdrawn lately. */
struct Attempt
{
    Claim claim;
    Phase phase = Phase::Asking;
    std::uint32_t round = 1;
    Ballot ballot;
    Millis dispatchBy;
    Millis giveUpAt;
    Millis timer;
    Millis withdrawnAt;
    int contentionRetries = 0;
    int repeatsSent = 0;
};

/** When an attempt next has work. */
struct Timer
{
    Millis at;
    RequestId attempt;

    auto operator<=>(const Timer &) const = default;
};

/** Whether the key counts as running here. */
constexpr bool isActive(Phase phase)
{
    return phase != Phase::Withdrawn;
}

} // namespace Sequoiausher::Internal
