#include "sequoiausher/coordination/claims/claimant.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/coordination/claims/claimattempt.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

using namespace Internal;

namespace {

/** Bound on the rounds of an attempt that backs off for attempts with smaller ids. */
constexpr std::uint32_t maxRounds = 4;
/** How often the attempt with the smallest id repeats its requests while an attempt with a larger id holds votes. */
constexpr int maxContentionRetries = 8;
/** How often a withdrawal is repeated, since withdrawals are not acknowledged. */
constexpr int maxWithdrawalRepeats = 3;
/** Renewals of a dispatched attempt's claim per lifetime. */
constexpr std::int64_t renewalsPerLifetime = 4;

} // namespace

class Claimant::Private
{
public:
    Private(const InstanceId &ownName, const ClaimParameters &settings) : self(ownName), parameters(settings)
    {
    }

    void setTimer(Attempt &attempt, Millis at)
    {
        this->timers.erase(Timer{attempt.timer, attempt.claim.attempt});
        attempt.timer = at;
        this->timers.insert(Timer{at, attempt.claim.attempt});
    }

    void setPhase(Attempt &attempt, Phase phase)
    {
        if (isActive(attempt.phase) && !isActive(phase)) {
            this->removeActiveAttempt(attempt.claim.key);
        }
        attempt.phase = phase;
    }

    void removeActiveAttempt(const ClaimKey &key)
    {
        const auto found = this->activeAttempts.find(key);
        if (found != this->activeAttempts.end() && --found->second == 0) {
            this->activeAttempts.erase(found);
        }
    }

    void sendRequests(const Attempt &attempt, const std::vector<InstanceId> &witnesses, Outbox &outbox) const
    {
        const Claim &claim = attempt.claim;
        for (const InstanceId &witness : witnesses) {
            outbox.push_back(
                Outgoing{witness, ClaimRequest{claim.key, claim.attempt, attempt.round, claim.bodyDigest}});
        }
    }

    void sendWithdrawal(const Attempt &attempt, const std::vector<InstanceId> &witnesses, Outbox &outbox) const
    {
        for (const InstanceId &witness : witnesses) {
            outbox.push_back(Outgoing{witness, ClaimWithdraw{attempt.claim.key, attempt.claim.attempt, attempt.round}});
        }
    }

    void startRound(Millis now, Attempt &attempt, Outbox &outbox)
    {
        this->setPhase(attempt, Phase::Asking);
        attempt.ballot.clear();
        attempt.contentionRetries = 0;
        // The window starts before the requests are sent, so that every vote of this round is younger than the window.
        attempt.dispatchBy = now + this->parameters.dispatchWindow;
        this->sendRequests(attempt, attempt.ballot.witnesses(), outbox);
        this->setTimer(attempt, std::min(now + this->parameters.retryDelay, attempt.giveUpAt));
    }

    void evaluate(Millis now, Attempt &attempt, Outbox &outbox)
    {
        const VoteCount count = attempt.ballot.countVotes();
        if (count.granted >= attempt.ballot.quorum()) {
            this->acquire(now, attempt, outbox);
        } else if (now >= attempt.giveUpAt) {
            this->conclude(now, attempt, count, outbox);
        } else if (count.granted + count.unanswered < attempt.ballot.quorum()) {
            this->resolve(now, attempt, count, outbox);
        }
    }

    void acquire(Millis now, Attempt &attempt, Outbox &outbox)
    {
        // A process that was paused while the votes arrived must not use them, since the witnesses may forget the claim
        // before the dispatch. The symptom would be two runs of one key, minutes apart.
        if (now >= attempt.dispatchBy) {
            this->withdrawAttempt(now, attempt, attempt.ballot.witnesses(), outbox);
            this->reportNoQuorum(attempt);
            return;
        }
        this->setPhase(attempt, Phase::Acquired);
        this->setTimer(attempt, attempt.dispatchBy);
        ClaimOutcome outcome = this->makeOutcome(attempt, ClaimOutcomeKind::Acquired);
        outcome.dispatchBy = attempt.dispatchBy;
        this->outcomes.push_back(std::move(outcome));
    }

    /** Handles votes that leave the quorum out of reach: backs off, asks again or ends the claim. */
    void resolve(Millis now, Attempt &attempt, const VoteCount &count, Outbox &outbox)
    {
        const std::size_t mostVotes = count.rivals.empty() ? 0 : count.rivals.front().votes;
        const bool rivalHasQuorum = mostVotes >= attempt.ballot.quorum();
        if (!rivalHasQuorum && mostVotes > 0 && mostVotes + count.unanswered >= attempt.ballot.quorum()) {
            return; // The outstanding votes may still show that the rival has a quorum.
        }
        const bool cannotAcquire = rivalHasQuorum || count.rivals.empty() || !attempt.ballot.isQuorumReachable(count);
        const bool mustBackOff = this->hasSmallerRival(attempt, count);
        if (cannotAcquire || (!mustBackOff && attempt.contentionRetries >= maxContentionRetries)) {
            this->conclude(now, attempt, count, outbox);
        } else if (mustBackOff) {
            this->backOff(now, attempt, count, outbox);
        } else {
            const Millis retryAt = now + this->parameters.contentionDelay;
            this->setTimer(attempt, std::min({retryAt, attempt.timer, attempt.giveUpAt}));
        }
    }

    bool hasSmallerRival(const Attempt &attempt, const VoteCount &count) const
    {
        return std::any_of(count.rivals.begin(), count.rivals.end(), [&](const Rival &rival) {
            return rival.attempt < attempt.claim.attempt;
        });
    }

    void backOff(Millis now, Attempt &attempt, const VoteCount &count, Outbox &outbox)
    {
        if (attempt.round >= maxRounds) {
            this->conclude(now, attempt, count, outbox);
            return;
        }
        this->sendWithdrawal(attempt, attempt.ballot.witnessesThatMayHaveRecorded(), outbox);
        this->setPhase(attempt, Phase::BackingOff);
        const std::int64_t delay = this->parameters.contentionDelay.count;
        const auto spread = static_cast<std::int64_t>(attempt.claim.attempt.low % static_cast<std::uint64_t>(delay));
        const Millis wait{delay * (attempt.round + 1) + spread};
        this->setTimer(attempt, std::min(now + wait, attempt.giveUpAt));
    }

    void conclude(Millis now, Attempt &attempt, const VoteCount &count, Outbox &outbox)
    {
        // If a rival has a quorum, at most a few witnesses have recorded this attempt. Without a withdrawal such a
        // witness would name this attempt as the holder to a retry, once the other witnesses have been replaced. A vote
        // that is still outstanding is answered with a withdrawal when it arrives.
        const bool rivalHasQuorum = !count.rivals.empty() && count.rivals.front().votes >= attempt.ballot.quorum();
        this->withdrawAttempt(now,
                              attempt,
                              rivalHasQuorum ? attempt.ballot.witnessesThatRecorded()
                                             : attempt.ballot.witnessesThatMayHaveRecorded(),
                              outbox);
        if (count.rivals.empty()) {
            this->reportNoQuorum(attempt);
            return;
        }
        const Rival &rival = count.rivals.front();
        const auto kind = rival.bodyDiffers ? ClaimOutcomeKind::BodyDiffers : ClaimOutcomeKind::HeldBy;
        ClaimOutcome outcome = this->makeOutcome(attempt, kind);
        outcome.holder = rival.holder;
        outcome.heldBy = rival.attempt;
        this->outcomes.push_back(std::move(outcome));
    }

    void reportNoQuorum(const Attempt &attempt)
    {
        ClaimOutcome outcome = this->makeOutcome(attempt, ClaimOutcomeKind::NoQuorum);
        outcome.retryAfter = std::max(this->parameters.retryAfter, attempt.ballot.retryAfter());
        this->outcomes.push_back(std::move(outcome));
    }

    ClaimOutcome makeOutcome(const Attempt &attempt, ClaimOutcomeKind kind) const
    {
        ClaimOutcome outcome;
        outcome.kind = kind;
        outcome.key = attempt.claim.key;
        outcome.attempt = attempt.claim.attempt;
        return outcome;
    }

    void withdrawAttempt(Millis now, Attempt &attempt, const std::vector<InstanceId> &witnesses, Outbox &outbox)
    {
        this->sendWithdrawal(attempt, witnesses, outbox);
        this->setPhase(attempt, Phase::Withdrawn);
        attempt.withdrawnAt = now;
        attempt.repeatsSent = witnesses.empty() ? maxWithdrawalRepeats : 0;
        this->setTimer(attempt, now + this->parameters.retryDelay);
    }

    void onTimer(Millis now, Attempt &attempt, Outbox &outbox)
    {
        switch (attempt.phase) {
        case Phase::Asking:
            this->retryRequests(now, attempt, outbox);
            break;
        case Phase::BackingOff:
            this->startNextRound(now, attempt, outbox);
            break;
        case Phase::Acquired:
            // Not dispatched in time. mayDispatch returns false from now on, so the key can be freed.
            this->withdrawAttempt(now, attempt, attempt.ballot.witnesses(), outbox);
            break;
        case Phase::Dispatched:
            this->renew(now, attempt, outbox);
            break;
        case Phase::Withdrawn:
            this->repeatWithdrawalOrForget(now, attempt, outbox);
            break;
        }
    }

    void retryRequests(Millis now, Attempt &attempt, Outbox &outbox)
    {
        const VoteCount count = attempt.ballot.countVotes();
        if (now >= attempt.giveUpAt) {
            this->evaluate(now, attempt, outbox);
            return;
        }
        // A witness that has not answered within the retry delay is treated as dead. Otherwise two attempts that each
        // wait for a dead witness would block each other until both time out.
        if (this->hasSmallerRival(attempt, count)) {
            this->backOff(now, attempt, count, outbox);
            return;
        }
        Millis next = now + this->parameters.retryDelay;
        if (!count.rivals.empty()) {
            ++attempt.contentionRetries;
            next = now + this->parameters.contentionDelay;
            if (attempt.contentionRetries <= maxContentionRetries) {
                attempt.ballot.clearRivalVotes();
            }
        }
        this->sendRequests(attempt, attempt.ballot.witnessesWithoutGrant(), outbox);
        this->setTimer(attempt, std::min(next, attempt.giveUpAt));
    }

    void startNextRound(Millis now, Attempt &attempt, Outbox &outbox)
    {
        if (now >= attempt.giveUpAt) {
            this->conclude(now, attempt, attempt.ballot.countVotes(), outbox);
            return;
        }
        ++attempt.round;
        this->startRound(now, attempt, outbox);
    }

    void renew(Millis now, Attempt &attempt, Outbox &outbox)
    {
        const std::size_t witnesses = this->parameters.quorumFor(this->list.names.size()).witnesses;
        this->sendRequests(attempt, this->list.selectInstances(attempt.claim.key, witnesses), outbox);
        this->setTimer(attempt, now + this->parameters.lifetime / renewalsPerLifetime);
    }

    void repeatWithdrawalOrForget(Millis now, Attempt &attempt, Outbox &outbox)
    {
        if (attempt.repeatsSent < maxWithdrawalRepeats) {
            ++attempt.repeatsSent;
            this->sendWithdrawal(attempt, attempt.ballot.witnesses(), outbox);
            const std::int64_t factor = std::int64_t{1} << (2 * attempt.repeatsSent);
            this->setTimer(attempt, now + this->parameters.retryDelay * factor);
            return;
        }
        const Millis forgetAt = attempt.withdrawnAt + this->parameters.tombstoneLifetime;
        if (now < forgetAt) {
            this->setTimer(attempt, forgetAt);
            return;
        }
        this->forget(attempt);
    }

    void forget(const Attempt &attempt)
    {
        const RequestId id = attempt.claim.attempt;
        this->timers.erase(Timer{attempt.timer, id});
        this->attempts.erase(id);
    }

    Attempt *find(const RequestId &id)
    {
        const auto found = this->attempts.find(id);
        return found == this->attempts.end() ? nullptr : &found->second;
    }

    InstanceId self;
    ClaimParameters parameters;
    InstanceList list;
    std::unordered_map<RequestId, Attempt> attempts;
    std::unordered_map<ClaimKey, int> activeAttempts;
    std::set<Timer> timers;
    std::vector<ClaimOutcome> outcomes;
};

Claimant::Claimant(const InstanceId &self, const ClaimParameters &parameters)
    : d(std::make_unique<Private>(self, parameters))
{
}

Claimant::~Claimant() = default;

void Claimant::setInstances(const InstanceList &list)
{
    this->d->list = list;
}

void Claimant::begin(Millis now, const Claim &claim, Outbox &outbox)
{
    const Attempt *known = this->d->find(claim.attempt);
    if (known != nullptr && (known->phase != Phase::Withdrawn || known->claim.key != claim.key)) {
        throw Error(Step::Claim,
                    this->d->self.value,
                    "attempt " + claim.attempt.toHex() + " already has an active claim or belongs to another key");
    }
    // A later round, so that a withdrawal of the earlier round that is still in flight does not free the key.
    const std::uint32_t round = known == nullptr ? 1 : known->round + 1;
    const WitnessQuorum quorum = this->d->parameters.quorumFor(this->d->list.names.size());
    Attempt &attempt = this->d->attempts[claim.attempt];
    attempt.claim = claim;
    attempt.round = round;
    attempt.ballot = Ballot(this->d->list.selectInstances(claim.key, quorum.witnesses), quorum.quorum);
    attempt.giveUpAt = now + this->d->parameters.claimTimeout;
    ++this->d->activeAttempts[claim.key];
    this->d->startRound(now, attempt, outbox);
    this->d->evaluate(now, attempt, outbox);
}

void Claimant::receive(Millis now, const InstanceId &from, const ClaimVote &vote, Outbox &outbox)
{
    Attempt *attempt = this->d->find(vote.attempt);
    if (attempt == nullptr || attempt->claim.key != vote.key) {
        return;
    }
    const bool isOldRound = vote.round < attempt->round || attempt->phase == Phase::BackingOff;
    if (attempt->phase == Phase::Withdrawn || (isOldRound && vote.round <= attempt->round)) {
        // The withdrawal was lost, or has not arrived yet. Without another one the key would stay blocked until the
        // claim expires. A witness that abstains records the claim too, and would later name this attempt as holder.
        if (vote.verdict == ClaimVerdict::Granted || vote.verdict == ClaimVerdict::Abstains) {
            outbox.push_back(Outgoing{from, ClaimWithdraw{vote.key, vote.attempt, vote.round}});
        }
        return;
    }
    if (attempt->phase == Phase::Asking && vote.round == attempt->round && attempt->ballot.record(from, vote)) {
        this->d->evaluate(now, *attempt, outbox);
    }
}

void Claimant::tick(Millis now, Outbox &outbox)
{
    while (!this->d->timers.empty() && this->d->timers.begin()->at <= now) {
        this->d->onTimer(now, *this->d->find(this->d->timers.begin()->attempt), outbox);
    }
}

Millis Claimant::nextDeadline() const
{
    return this->d->timers.empty() ? Millis::never() : this->d->timers.begin()->at;
}

std::vector<ClaimOutcome> Claimant::takeOutcomes()
{
    return std::exchange(this->d->outcomes, {});
}

bool Claimant::mayDispatch(const RequestId &id, Millis now)
{
    if (!this->isKeyUnrun(id, now)) {
        return false;
    }
    Attempt *attempt = this->d->find(id);
    this->d->setPhase(*attempt, Phase::Dispatched);
    this->d->setTimer(*attempt, now + this->d->parameters.lifetime / renewalsPerLifetime);
    return true;
}

bool Claimant::mayRedispatch(const RequestId &id, Millis now) const
{
    const Attempt *attempt = this->d->find(id);
    return attempt != nullptr && attempt->phase == Phase::Dispatched && now < attempt->dispatchBy;
}

bool Claimant::isKeyUnrun(const RequestId &id, Millis now) const
{
    const Attempt *attempt = this->d->find(id);
    return attempt != nullptr && attempt->phase == Phase::Acquired && now < attempt->dispatchBy;
}

void Claimant::withdraw(Millis now, const RequestId &id, Outbox &outbox)
{
    Attempt *attempt = this->d->find(id);
    if (attempt != nullptr && isActive(attempt->phase)) {
        this->d->withdrawAttempt(now, *attempt, attempt->ballot.witnesses(), outbox);
    }
}

bool Claimant::repeatWithdrawal([[maybe_unused]] Millis now, const RequestId &id, Outbox &outbox)
{
    const Attempt *attempt = this->d->find(id);
    if (attempt == nullptr || attempt->phase != Phase::Withdrawn) {
        return false;
    }
    this->d->sendWithdrawal(*attempt, attempt->ballot.witnesses(), outbox);
    return true;
}

void Claimant::finishAttempt(const RequestId &id)
{
    Attempt *attempt = this->d->find(id);
    if (attempt == nullptr || attempt->phase != Phase::Dispatched) {
        return;
    }
    this->d->removeActiveAttempt(attempt->claim.key);
    this->d->forget(*attempt);
}

bool Claimant::hasActiveAttempt(const ClaimKey &key) const
{
    return this->d->activeAttempts.contains(key);
}

std::size_t Claimant::size() const
{
    return this->d->attempts.size();
}

} // namespace Sequoiausher
