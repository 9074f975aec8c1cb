#pragma once

// Messages by which an entry claims an idempotency key at the key's witnesses before it dispatches a request.
//
//     ClaimRequest{key, attempt, 1, bodyDigest}  ->  ClaimVote{key, attempt, 1, ClaimVerdict::Granted}

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <vector>

namespace Sequoiausher {

/** What a witness answers to a claim. */
enum class ClaimVerdict {
    /** The key is now this attempt's, or was already. */
    Granted,
    /** The key is another attempt's: holder and heldBy say whose. */
    Held,
    /** The key was used before for a different request body. */
    BodyDiffers,
    /** The witness may have forgotten claims and does not vote yet. */
    Abstains,
};

template<>
inline constexpr auto nameTable<ClaimVerdict> = std::to_array<NameEntry<ClaimVerdict>>({
    {ClaimVerdict::Granted, "granted"},
    {ClaimVerdict::Held, "held"},
    {ClaimVerdict::BodyDiffers, "body-differs"},
    {ClaimVerdict::Abstains, "abstains"},
});

/** Entry to witness: remember that attempt claims key. */
struct ClaimRequest
{
    ClaimKey key;
    /** The request that claims; unique for each client call. */
    RequestId attempt;
    /** Counts the tries of one attempt, so that a late vote or withdrawal of an earlier try is told apart. */
    std::uint32_t round = 0;
    std::uint64_t bodyDigest = 0;

    bool operator==(const ClaimRequest &) const = default;
};

/** Witness to entry. */
struct ClaimVote
{
    ClaimKey key;
    RequestId attempt;
    std::uint32_t round = 0;
    ClaimVerdict verdict = ClaimVerdict::Abstains;
    /** With Held and BodyDiffers: the instance and the attempt that hold the key. */
    InstanceId holder;
    RequestId heldBy;
    /** With Abstains: when the witness expects to vote for this key; zero where it does not know. */
    Millis retryAfter;

    bool operator==(const ClaimVote &) const = default;
};

/** Entry to witness: this attempt was not and will not be dispatched under this or an earlier round. */
struct ClaimWithdraw
{
    ClaimKey key;
    RequestId attempt;
    std::uint32_t round = 0;

    bool operator==(const ClaimWithdraw &) const = default;
};

/** One remembered claim, as witnesses hand it to each other. */
struct ClaimRecord
{
    ClaimKey key;
    RequestId attempt;
    std::uint32_t round = 0;
    std::uint64_t bodyDigest = 0;
    InstanceId holder;
    /** How long ago the giver first recorded it. */
    Millis age;

    bool operator==(const ClaimRecord &) const = default;
};

/** A fresh witness asks another for the claims that both witness, or all of them at or after a key, page by page. */
struct ClaimPull
{
    /** Identifies the pull; answers to an earlier one are dropped. */
    std::uint64_t pull = 0;
    /** The first key wanted; the zero key starts. */
    ClaimKey from;

    bool operator==(const ClaimPull &) const = default;
};

/** One page of claims: the answer to ClaimPull, or unasked from a witness that leaves (pull is 0). */
struct ClaimPage
{
    std::uint64_t pull = 0;
    /** The giver may itself have forgotten claims, so its pages do not count towards a hand-over. */
    bool giverAbstains = false;
    /** The giver still learns keys that a change of the list made it a witness of; a fresh witness asks it again. */
    bool giverLearns = false;
    /** No page follows. */
    bool last = false;
    /** Where not last: the key from which the next page starts. */
    ClaimKey next;
    std::vector<ClaimRecord> records;

    bool operator==(const ClaimPage &) const = default;
};

} // namespace Sequoiausher
