#pragma once

// Messages by which an entry claims an idempotency key at the key's witnesses before it dispatches a request. The
// witnesses are the routers that record the claims of the key and vote on them.
//
//     ClaimRequest{key, attempt, 1, bodyDigest}  ->  ClaimVote{key, attempt, 1, ClaimVerdict::Granted}

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <vector>

namespace Sequoiausher {

/** A witness's vote on a claim. */
enum class ClaimVerdict {
    /** This attempt holds the key, by this request or by an earlier one. */
    Granted,
    /** Another attempt holds the key: see holder and heldBy. */
    Held,
    /** The key was used before for a different request body. */
    BodyDiffers,
    /** The witness may lack earlier claims and does not vote yet. */
    Abstains,
};

template<>
inline constexpr auto nameTable<ClaimVerdict> = std::to_array<NameEntry<ClaimVerdict>>({
    {ClaimVerdict::Granted, "granted"},
    {ClaimVerdict::Held, "held"},
    {ClaimVerdict::BodyDiffers, "body-differs"},
    {ClaimVerdict::Abstains, "abstains"},
});

/** Entry to witness: asks the witness to record the attempt's claim of the key. */
struct ClaimRequest
{
    ClaimKey key;
    /** The id of the claiming request; unique for each client call. */
    RequestId attempt;
    /** Number of the attempt's voting round, by which a late vote or withdrawal of an earlier round is recognised. */
    std::uint32_t round = 0;
    std::uint64_t bodyDigest = 0;

    bool operator==(const ClaimRequest &) const = default;
};

/** Witness to entry: the answer to a ClaimRequest. */
struct ClaimVote
{
    ClaimKey key;
    RequestId attempt;
    std::uint32_t round = 0;
    ClaimVerdict verdict = ClaimVerdict::Abstains;
    /** With Held and BodyDiffers: the instance whose attempt heldBy holds the key. */
    InstanceId holder;
    RequestId heldBy;
    /** With Abstains: the time until the witness expects to vote on this key; zero if unknown. */
    Millis retryAfter;

    bool operator==(const ClaimVote &) const = default;
};

/** Entry to witness: the attempt was not and will not be dispatched in this round or an earlier one. */
struct ClaimWithdraw
{
    ClaimKey key;
    RequestId attempt;
    std::uint32_t round = 0;

    bool operator==(const ClaimWithdraw &) const = default;
};

/** A recorded claim, as witnesses pass it to each other. */
struct ClaimRecord
{
    ClaimKey key;
    RequestId attempt;
    std::uint32_t round = 0;
    std::uint64_t bodyDigest = 0;
    InstanceId holder;
    /** Time since the giver first recorded the claim. */
    Millis age;

    bool operator==(const ClaimRecord &) const = default;
};

/**
 * Asks another witness for one page of its claims at or after a key. Sent by a witness that may lack earlier claims.
 * The page holds claims of keys that the asking instance may witness too, or of all keys if the asking instance is not
 * on the giver's list.
 */
struct ClaimPull
{
    /** Identifies the pull; pages of an earlier pull are dropped. */
    std::uint64_t pull = 0;
    /** The first key of the page; the zero key for the first page. */
    ClaimKey from;

    bool operator==(const ClaimPull &) const = default;
};

/** A page of claims: the answer to a ClaimPull, or unrequested from a witness that is leaving (pull is 0). */
struct ClaimPage
{
    std::uint64_t pull = 0;
    /** The giver may lack earlier claims itself, so its pages do not count towards a hand-over. */
    bool giverAbstains = false;
    /**
     * The giver may still lack claims since its start or a change of its list of instances. For a witness that lacks
     * claims since its own start, the giver then has not handed over, and the witness pulls from the giver again; for
     * any other witness the last page completes the hand-over.
     */
    bool giverLearns = false;
    /** No page follows. */
    bool last = false;
    /** If not last: the first key of the next page. */
    ClaimKey next;
    std::vector<ClaimRecord> records;

    bool operator==(const ClaimPage &) const = default;
};

} // namespace Sequoiausher
