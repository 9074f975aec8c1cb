#pragma once

// The numbers by which idempotency keys are claimed: how many witnesses, which quorum, and how long things last.
//
//     ClaimParameters parameters;             // parseRouterSettings() fills it from [claims]
//     checkClaimParameters(parameters);
//     parameters.faultTolerance();                 // 2
//
// Two attempts of one key can both reach a quorum only if no witness that voted for the first and remembers it is
// asked by the second. With witness sets that differ in d members and f voting witnesses that forgot, that is ruled
// out while 2 * quorum > witnesses + d + f. The shipped 5 and 4 allow d + f = 2.

#include "sequoiausher/base/millis.h"

#include <cstddef>

namespace Sequoiausher {

/** How many witnesses a key has, and how many of them must grant. */
struct WitnessQuorum
{
    std::size_t witnesses = 0;
    std::size_t quorum = 0;

    bool operator==(const WitnessQuorum &) const = default;

    /** The largest d + f with 2 * quorum > witnesses + d + f. */
    std::size_t faultTolerance() const;

    /**
     * How many of a key's other witnesses may be missing from a hand-over: quorum - 2 - d, with d = 1 where the
     * quorum leaves room for it. Of the quorum of a dispatched attempt, quorum - 1 members are others than the
     * witness that learns; d of them may be outside its list, and one must remain that it asked. False in possible
     * where the quorum is 1: nobody else knows, and only waiting helps.
     */
    struct Handover
    {
        bool possible = false;
        std::size_t maxMissing = 0;
    };
    Handover handover() const;
};

/** Settings of claims, checked by checkClaimParameters. The times are spans. */
struct ClaimParameters
{
    std::size_t witnesses = 5;
    std::size_t quorum = 4;
    /** A key that was dispatched is not dispatched again within this time. */
    Millis lifetime{600000};
    /** An attempt is dispatched at most this long after it began to ask for the votes that it counts. */
    Millis dispatchWindow{2000};
    /** When a claimant that has no quorum and no hope for it is refused at the latest. */
    Millis claimTimeout{1000};
    /** When unanswered claims are sent again. */
    Millis retryDelay{150};
    /** How long the loser of a contention waits before it asks again, and the winner before it re-asks. */
    Millis contentionDelay{40};
    /** How long a fresh witness waits before it asks the others; longer than dispatchWindow. */
    Millis settleTime{3000};
    /** How long a withdrawal is remembered against a claim that it overtook. */
    Millis tombstoneLifetime{60000};
    /** What a refusal names where no witness knows better. */
    Millis retryAfter{1000};
    /** Claims and withdrawals that a witness holds; beyond them it abstains for new keys. */
    std::size_t maxRecords = 400000;
    /** Records in one page of a hand-over. */
    std::size_t pageRecords = 256;
    /** Where there are more instances to ask, a witness waits for claimRetention() in place of asking. */
    std::size_t maxHandoverInstances = 64;

    bool operator==(const ClaimParameters &) const = default;

    /** How long a witness remembers: a dispatch may come dispatchWindow after the vote. */
    Millis claimRetention() const;

    /** d + f of a fleet that has enough instances. */
    std::size_t faultTolerance() const;

    /**
     * The witnesses and the quorum for a list of instances. With n < witnesses: n witnesses, and
     * quorum = min(n, floor((n + faultTolerance) / 2) + 1), the least that tolerates as much, or all of them. An empty
     * list has quorum 1 of no witnesses, which is never reached.
     */
    WitnessQuorum quorumFor(std::size_t instances) const;
};

/** @throws Error (Step::Settings) where two quorums need not meet, or the times contradict each other. */
void checkClaimParameters(const ClaimParameters &parameters);

} // namespace Sequoiausher
