#pragma once

// The votes of one round of one claim, counted.
//
//     Ballot ballot(witnesses, 4);
//     ballot.record("r2", vote);
//     if (ballot.countVotes().granted >= ballot.quorum()) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/messages/claimmessages.h"

#include <optional>
#include <vector>

namespace Sequoiausher {

/** Another attempt of the key, as votes named it. */
struct Rival
{
    RequestId attempt;
    InstanceId holder;
    std::size_t votes = 0;
    bool bodyDiffers = false;
};

/** What the votes of a round come to. */
struct VoteCount
{
    std::size_t granted = 0;
    std::size_t abstained = 0;
    /** Asked and not yet answered. */
    std::size_t unanswered = 0;
    /** Most votes first. */
    std::vector<Rival> rivals;
};

/** One round's votes. */
class Ballot
{
public:
    Ballot() = default;
    Ballot(std::vector<InstanceId> witnesses, std::size_t quorum);

    const std::vector<InstanceId> &witnesses() const;
    std::size_t quorum() const;

    /** Records a vote; false where from is no witness. A grant stays: a late refusal of an earlier question is old. */
    bool record(const InstanceId &from, const ClaimVote &vote);
    /** Forgets every vote. */
    void clear();
    /** Forgets the refusals for another attempt's sake, to ask those witnesses again. */
    void clearRivalVotes();
    /** Witnesses that have not granted. */
    std::vector<InstanceId> witnessesWithoutGrant() const;
    /** Witnesses that did not name another attempt: they may have recorded this one. */
    std::vector<InstanceId> witnessesThatMayHaveRecorded() const;
    /** Those of them that have voted: they granted, or withheld their vote and remember the claim all the same. */
    std::vector<InstanceId> witnessesThatRecorded() const;

    VoteCount countVotes() const;
    /** Whether the quorum could be reached if every rival withdrew and every open witness granted. */
    bool isQuorumReachable(const VoteCount &count) const;
    /** When enough of those that abstained expect to vote; zero where they are not what is missing. */
    Millis retryAfter() const;

private:
    std::vector<InstanceId> members;
    std::vector<std::optional<ClaimVote>> votes;
    std::size_t needed = 1;
};

} // namespace Sequoiausher
