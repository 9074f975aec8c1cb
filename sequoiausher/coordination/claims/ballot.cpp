#include "sequoiausher/coordination/claims/ballot.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

bool namesRival(const ClaimVote &vote)
{
    return vote.verdict == ClaimVerdict::Held || vote.verdict == ClaimVerdict::BodyDiffers;
}

void addRival(std::vector<Rival> &rivals, const ClaimVote &vote)
{
    const auto same = [&](const Rival &rival) { return rival.attempt == vote.heldBy; };
    auto found = std::find_if(rivals.begin(), rivals.end(), same);
    if (found == rivals.end()) {
        rivals.push_back(Rival{vote.heldBy, vote.holder, 0, vote.verdict == ClaimVerdict::BodyDiffers});
        found = rivals.end() - 1;
    }
    ++found->votes;
}

} // namespace

Ballot::Ballot(std::vector<InstanceId> witnesses, std::size_t quorum)
    : members(std::move(witnesses))
    , votes(this->members.size())
    , needed(quorum)
{
}

const std::vector<InstanceId> &Ballot::witnesses() const
{
    return this->members;
}

std::size_t Ballot::quorum() const
{
    return this->needed;
}

bool Ballot::record(const InstanceId &from, const ClaimVote &vote)
{
    const auto found = std::find(this->members.begin(), this->members.end(), from);
    if (found == this->members.end()) {
        return false;
    }
    std::optional<ClaimVote> &known = this->votes[static_cast<std::size_t>(found - this->members.begin())];
    if (!known || known->verdict != ClaimVerdict::Granted) {
        known = vote;
    }
    return true;
}

void Ballot::clear()
{
    std::fill(this->votes.begin(), this->votes.end(), std::nullopt);
}

void Ballot::clearRivalVotes()
{
    for (std::optional<ClaimVote> &vote : this->votes) {
        if (vote && namesRival(*vote)) {
            vote.reset();
        }
    }
}

std::vector<InstanceId> Ballot::witnessesWithoutGrant() const
{
    std::vector<InstanceId> names;
    for (std::size_t i = 0; i < this->members.size(); ++i) {
        if (!this->votes[i] || this->votes[i]->verdict != ClaimVerdict::Granted) {
            names.push_back(this->members[i]);
        }
    }
    return names;
}

std::vector<InstanceId> Ballot::witnessesThatMayHaveRecorded() const
{
    std::vector<InstanceId> names;
    for (std::size_t i = 0; i < this->members.size(); ++i) {
        if (!this->votes[i] || !namesRival(*this->votes[i])) {
            names.push_back(this->members[i]);
        }
    }
    return names;
}

std::vector<InstanceId> Ballot::witnessesThatRecorded() const
{
    std::vector<InstanceId> names;
    for (std::size_t i = 0; i < this->members.size(); ++i) {
        if (this->votes[i] && !namesRival(*this->votes[i])) {
            names.push_back(this->members[i]);
        }
    }
    return names;
}

VoteCount Ballot::countVotes() const
{
    VoteCount count;
    for (const std::optional<ClaimVote> &vote : this->votes) {
        if (!vote) {
            ++count.unanswered;
        } else if (vote->verdict == ClaimVerdict::Granted) {
            ++count.granted;
        } else if (vote->verdict == ClaimVerdict::Abstains) {
            ++count.abstained;
        } else {
            addRival(count.rivals, *vote);
        }
    }
    const auto more
        = [](const Rival &a, const Rival &b) { return a.votes != b.votes ? a.votes > b.votes : a.attempt < b.attempt; };
    std::sort(count.rivals.begin(), count.rivals.end(), more);
    return count;
}

bool Ballot::isQuorumReachable(const VoteCount &count) const
{
    return this->members.size() - count.abstained >= this->needed;
}

Millis Ballot::retryAfter() const
{
    std::vector<Millis> waits;
    for (const std::optional<ClaimVote> &vote : this->votes) {
        if (vote && vote->verdict == ClaimVerdict::Abstains) {
            waits.push_back(vote->retryAfter);
        }
    }
    std::sort(waits.begin(), waits.end());
    const std::size_t others = this->members.size() - waits.size();
    if (others >= this->needed || waits.empty()) {
        return Millis{0};
    }
    return waits[std::min(this->needed - others, waits.size()) - 1];
}

} // namespace Sequoiausher
