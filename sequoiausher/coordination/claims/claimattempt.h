#pragma once

// The state of one attempt in a Claimant. Internal to claimant.cpp.
//
//     Internal::Attempt attempt;
//     attempt.ballot = Ballot(witnesses, quorum);

#include "sequoiausher/coordination/claims/ballot.h"
#include "sequoiausher/coordination/claims/claimant.h"

namespace Sequoiausher::Internal {

/** The state of an attempt. */
enum class Phase {
    Asking,
    /** Withdrawn in favour of an attempt with a smaller id; the next round begins when the timer expires. */
    BackingOff,
    Acquired,
    Dispatched,
    /** Will never be dispatched; kept in order to answer late grants with a withdrawal. */
    Withdrawn,
};

/** A claim in progress, or one that was withdrawn recently. */
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

/** When an attempt has its next action. */
struct Timer
{
    Millis at;
    RequestId attempt;

    auto operator<=>(const Timer &) const = default;
};

/** Whether an attempt in this phase is active, so that retries of its key on this instance join it. */
constexpr bool isActive(Phase phase)
{
    return phase != Phase::Withdrawn;
}

} // namespace Sequoiausher::Internal
