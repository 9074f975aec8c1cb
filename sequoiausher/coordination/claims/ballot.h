#pragma once

// Collects and counts the votes of one round of one claim.
//
//     Ballot ballot(witnesses, 4);
//     ballot.record("r2", vote);
//     if (ballot.countVotes().granted >= ballot.quorum()) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/messages/claimmessages.h"

#include <optional>
#include <vector>

namespace Sequoiausher {

/** Another attempt of the same key that at least one vote named as the holder. */
struct Rival
{
    RequestId attempt;
    InstanceId holder;
    std::size_t votes = 0;
    bool bodyDiffers = false;
};

/** The result of counting the votes of one round. */
struct VoteCount
{
    std::size_t granted = 0;
    std::size_t abstained = 0;
    /** Witnesses that have not answered yet. */
    std::size_t unanswered = 0;
    /** Ordered by votes, most first, then by attempt id. */
    std::vector<Rival> rivals;
};

/** The votes of one round. */
class Ballot
{
public:
    Ballot() = default;
    Ballot(std::vector<InstanceId> witnesses, std::size_t quorum);

    const std::vector<InstanceId> &witnesses() const;
    std::size_t quorum() const;

    /**
     * Records a vote. A grant is never replaced, since a refusal that arrives after it answers an earlier request.
     * @return false if from is not a witness of the key.
     */
    bool record(const InstanceId &from, const ClaimVote &vote);
    /** Forgets every vote. */
    void clear();
    /** Forgets the votes that named another attempt, so that these witnesses are asked again. */
    void clearRivalVotes();
    /** Witnesses that have not granted the claim. */
    std::vector<InstanceId> witnessesWithoutGrant() const;
    /** Witnesses that have not named another attempt, and so may have recorded this one. */
    std::vector<InstanceId> witnessesThatMayHaveRecorded() const;
    /**
     * Witnesses that granted or abstained. An abstaining witness records the claim too, unless its store is full or it
     * has received the withdrawal before.
     */
    std::vector<InstanceId> witnessesThatRecorded() const;

    VoteCount countVotes() const;
    /** Whether a quorum would be reached if every rival withdrew and every unanswered request were granted. */
    bool isQuorumReachable(const VoteCount &count) const;
    /** The delay until enough abstaining witnesses expect to vote; zero if abstentions do not prevent the quorum. */
    Millis retryAfter() const;

private:
    std::vector<InstanceId> members;
    std::vector<std::optional<ClaimVote>> votes;
    std::size_t needed = 1;
};

} // namespace Sequoiausher
