#pragma once

// Parameters of claims on idempotency keys: the number of witnesses, the quorum, time limits and bounds on memory.
//
//     ClaimParameters parameters;             // parseRouterSettings() fills it from [claims]
//     checkClaimParameters(parameters);
//     parameters.overlapMargin();                 // 2
//
// Two attempts of one key can both reach a quorum only if no witness that granted the first attempt, and still
// remembers it, belongs to the quorum of the second one. If the two witness sets differ in d members, and f of the
// voting witnesses have forgotten their vote, both quorums share a witness that remembers while
// 2 * quorum > witnesses + d + f. The defaults of 5 witnesses and a quorum of 4 allow d + f = 2.

#include "sequoiausher/base/millis.h"

#include <cstddef>

namespace Sequoiausher {

/** The number of witnesses of a key, and how many of them must grant a claim. */
struct WitnessQuorum
{
    std::size_t witnesses = 0;
    std::size_t quorum = 0;

    bool operator==(const WitnessQuorum &) const = default;

    /**
     * How many members two quorums may lose from their overlap, by differing lists (d) or forgotten votes (f), and
     * still share a witness: the largest d + f with 2 * quorum > witnesses + d + f.
     */
    std::size_t overlapMargin() const;

    /**
     * How many of a key's other witnesses may be missing from a hand-over: quorum - 2 - d, with d = 1 if the quorum
     * is large enough. Apart from the witness that pulls the claims, the quorum of a dispatched attempt has
     * quorum - 1 members. Up to d of these may be absent from the witness's list, and the witness must have asked at
     * least one of the others. With a quorum of 1, possible is false: no other witness has the claim, and the witness
     * has to wait until it has expired.
     */
    struct HandoverLimit
    {
        bool possible = false;
        std::size_t maxMissing = 0;
    };
    HandoverLimit handoverLimit() const;
};

/** Settings of claims, checked by checkClaimParameters. All times are durations. */
struct ClaimParameters
{
    std::size_t witnesses = 5;
    std::size_t quorum = 4;
    /** A key is not dispatched again within this time after a dispatch. */
    Millis lifetime{600000};
    /** Time limit for the dispatch, counted from the start of the round whose votes the attempt counts. */
    Millis dispatchWindow{2000};
    /** Time limit for a claim: an attempt without a quorum is refused after this time at the latest. */
    Millis claimTimeout{1000};
    /** Delay before unanswered claim requests are sent again. */
    Millis retryDelay{150};
    /**
     * Delay before contending attempts ask again. The attempt that backs off waits at least twice as long, the other
     * one at most this long.
     */
    Millis contentionDelay{40};
    /**
     * How long a witness waits after a restart or a change of the list before it pulls claims. Must be longer than
     * dispatchWindow.
     */
    Millis settleTime{3000};
    /** How long a withdrawal is remembered, in case its claim request arrives later. */
    Millis tombstoneLifetime{60000};
    /** Retry delay named in a refusal, unless the witnesses name a longer one. */
    Millis retryAfter{1000};
    /** Bound on the claims and withdrawals that a witness holds; a full witness abstains for new keys. */
    std::size_t maxRecords = 400000;
    /** Records in one page of a hand-over. */
    std::size_t pageRecords = 256;
    /** With more instances to pull from, a witness waits for claimRetention() instead of pulling claims. */
    std::size_t maxHandoverInstances = 64;

    bool operator==(const ClaimParameters &) const = default;

    /** How long a witness remembers a claim: lifetime, plus dispatchWindow between a vote and the dispatch. */
    Millis claimRetention() const;

    /** The largest d + f that is safe in a fleet with at least as many instances as witnesses. */
    std::size_t overlapMargin() const;

    /**
     * The witnesses and the quorum for a list of instances. With n < witnesses, there are n witnesses, and
     * quorum = min(n, floor((n + overlapMargin()) / 2) + 1): the smallest quorum with the same overlap margin, or
     * all n. An empty list has no witnesses and a quorum of 1, which is never reached.
     */
    WitnessQuorum quorumFor(std::size_t instances) const;
};

/** @throws Error (Step::Settings) if two quorums need not share a witness, or if the times contradict each other. */
void checkClaimParameters(const ClaimParameters &parameters);

} // namespace Sequoiausher
