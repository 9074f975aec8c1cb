#include "sequoiausher/coordination/claims/witness.h"

#include "sequoiausher/coordination/claims/claimstore.h"
#include "sequoiausher/coordination/claims/handover.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace Sequoiausher {

class Witness::Private
{
public:
    Private(const InstanceId &ownName, const ClaimParameters &settings, Millis startedAt)
        : self(ownName)
        , parameters(settings)
        , store(settings.maxRecords, settings.claimRetention(), settings.tombstoneLifetime)
        , handover(ownName, settings, startedAt)
    {
    }

    void abstain(Millis now, ClaimVote &vote) const
    {
        vote.verdict = ClaimVerdict::Abstains;
        vote.retryAfter = this->handover.retryAfter(now, vote.key);
    }

    /** Fills in the vote if another attempt holds the key. @return whether one does. */
    static bool fillVoteIfHeld(const std::vector<ClaimRecord> &claims, const ClaimRequest &request, ClaimVote &vote)
    {
        const auto isOther = [&](const ClaimRecord &claim) { return claim.attempt != request.attempt; };
        const auto other = std::find_if(claims.begin(), claims.end(), isOther);
        if (other == claims.end()) {
            return false;
        }
        vote.verdict = other->bodyDigest == request.bodyDigest ? ClaimVerdict::Held : ClaimVerdict::BodyDiffers;
        vote.holder = other->holder;
        vote.heldBy = other->attempt;
        return true;
    }

    void decideVote(Millis now, const InstanceId &from, const ClaimRequest &request, ClaimVote &vote)
    {
        const std::vector<ClaimRecord> claims = this->store.findClaims(now, request.key);
        if (fillVoteIfHeld(claims, request, vote)) {
            return;
        }
        // Stored even if the witness abstains, so that a new witness receives the claims that their holders renew.
        const ClaimRecord record{request.key, request.attempt, request.round, request.bodyDigest, from, Millis{0}};
        const bool stored = this->store.add(now, record) == StoreResult::Stored;
        if (stored && this->handover.mayVote(now, request.key)) {
            vote.verdict = ClaimVerdict::Granted;
        } else {
            this->abstain(now, vote);
        }
    }

    void sendDuePulls(Millis now, Outbox &outbox)
    {
        for (const DuePull &due : this->handover.takeDuePulls(now)) {
            outbox.push_back(Outgoing{due.to, due.pull});
        }
    }

    /** The instance that becomes a witness of key once this one leaves the list; none if all others are witnesses. */
    std::optional<InstanceId> nextWitness(const ClaimKey &key) const
    {
        const std::size_t count = this->parameters.quorumFor(this->listWithoutSelf.names.size()).witnesses;
        std::vector<InstanceId> witnesses = this->listWithoutSelf.selectInstances(key, count);
        return witnesses.size() < this->parameters.witnesses ? std::nullopt : std::optional(witnesses.back());
    }

    /**
     * Instances that may have received a claim of key from this one: those that pulled claims within the last
     * 2 * dispatchWindow, since older claims are past their dispatch window and no longer expected to be withdrawn,
     * and, after handOverClaims(), the next witness of the key.
     */
    std::set<InstanceId> claimRecipients(Millis now, const ClaimKey &key)
    {
        const auto isPast
            = [&](const auto &entry) { return now >= entry.second + this->parameters.dispatchWindow * 2; };
        std::erase_if(this->pulledAt, isPast);
        std::set<InstanceId> recipients;
        for (const auto &entry : this->pulledAt) {
            recipients.insert(entry.first);
        }
        if (const std::optional<InstanceId> next = this->nextWitness(key)) {
            recipients.insert(*next);
        }
        return recipients;
    }

    /**
     * Forwards a withdrawal to the instances that received the claim by a hand-over, since the attempt may not count
     * them as witnesses. Otherwise they would keep the claim of an attempt that never ran until it expires, and hand it
     * over in turn. A retry would be sent to that attempt's router and, once that router is gone, be answered with
     * 'unknown' although another attempt's answer is kept. A withdrawal is forwarded only while the claim is stored
     * here, so that two instances do not forward it to each other forever.
     */
    void forwardWithdrawal(Millis now, const InstanceId &from, const ClaimWithdraw &withdrawal, Outbox &outbox)
    {
        const std::vector<ClaimRecord> claims = this->store.findClaims(now, withdrawal.key);
        const bool held = std::any_of(claims.begin(), claims.end(), [&](const ClaimRecord &claim) {
            return claim.attempt == withdrawal.attempt && claim.round <= withdrawal.round;
        });
        if (!held) {
            return;
        }
        for (const InstanceId &recipient : this->claimRecipients(now, withdrawal.key)) {
            if (recipient != from) {
                outbox.push_back(Outgoing{recipient, withdrawal});
            }
        }
    }

    InstanceId self;
    ClaimParameters parameters;
    ClaimStore store;
    Handover handover;
    /** The list without this instance, set by handOverClaims; empty before. */
    InstanceList listWithoutSelf;
    /** When each instance last pulled claims. */
    std::map<InstanceId, Millis> pulledAt;
};

Witness::Witness(const InstanceId &self, const ClaimParameters &parameters, Millis startedAt)
    : d(std::make_unique<Private>(self, parameters, startedAt))
{
}

Witness::~Witness() = default;

void Witness::setInstances(Millis now, const InstanceList &list)
{
    this->d->handover.setInstances(now, list);
}

void Witness::receive(Millis now, const InstanceId &from, const ClaimRequest &request, Outbox &outbox)
{
    ClaimVote vote;
    vote.key = request.key;
    vote.attempt = request.attempt;
    vote.round = request.round;
    this->d->decideVote(now, from, request, vote);
    outbox.push_back(Outgoing{from, vote});
}

void Witness::receive(Millis now, const InstanceId &from, const ClaimWithdraw &withdrawal, Outbox &outbox)
{
    this->d->forwardWithdrawal(now, from, withdrawal, outbox);
    this->d->store.withdraw(now, withdrawal.key, withdrawal.attempt, withdrawal.round);
}

void Witness::receive(Millis now, const InstanceId &from, const ClaimPull &pull, Outbox &outbox)
{
    const InstanceList &list = this->d->handover.instances();
    const std::size_t ranks = this->d->parameters.witnesses + this->d->parameters.overlapMargin();
    const bool known = list.contains(from);
    // More ranks than there are witnesses, since the list of the other instance may lack instances of this one.
    const auto wanted = [&](const ClaimKey &key) { return !known || list.isSelected(from, key, ranks); };
    this->d->pulledAt[from] = now;
    ClaimStore::Page found = this->d->store.page(now, pull.from, this->d->parameters.pageRecords, wanted);
    ClaimPage page;
    page.pull = pull.pull;
    page.giverAbstains = this->d->handover.isFresh(now);
    page.giverLearns = this->d->handover.hasOpenGap(now);
    page.last = found.last;
    page.next = found.next;
    page.records = std::move(found.records);
    outbox.push_back(Outgoing{from, std::move(page)});
}

void Witness::receive(Millis now, const InstanceId &from, const ClaimPage &page, Outbox &outbox)
{
    bool allStored = true;
    for (const ClaimRecord &record : page.records) {
        allStored = this->d->store.add(now, record) != StoreResult::Full && allStored;
    }
    if (this->d->handover.receivePage(now, from, page, allStored)) {
        this->d->sendDuePulls(now, outbox);
    }
}

void Witness::tick(Millis now, Outbox &outbox)
{
    this->d->store.expire(now);
    this->d->sendDuePulls(now, outbox);
}

Millis Witness::nextDeadline(Millis now) const
{
    return std::min(this->d->store.nextExpiry(), this->d->handover.nextDeadline(now));
}

void Witness::handOverClaims(Millis now, Outbox &outbox)
{
    std::vector<InstanceId> names = this->d->handover.instances().names;
    std::erase(names, this->d->self);
    this->d->listWithoutSelf = makeInstanceList(std::move(names));
    const std::size_t everything = this->d->store.size();
    const auto all = [](const ClaimKey &) { return true; };
    std::map<InstanceId, ClaimPage> pages;
    for (const ClaimRecord &record : this->d->store.page(now, ClaimKey{}, everything, all).records) {
        const std::optional<InstanceId> next = this->d->nextWitness(record.key);
        if (!next) {
            continue;
        }
        ClaimPage &page = pages[*next];
        page.records.push_back(record);
        if (page.records.size() >= this->d->parameters.pageRecords) {
            outbox.push_back(Outgoing{*next, std::move(page)});
            page = ClaimPage{};
        }
    }
    for (auto &[instance, page] : pages) {
        if (!page.records.empty()) {
            page.last = true;
            outbox.push_back(Outgoing{instance, std::move(page)});
        }
    }
}

void Witness::assumeNoPriorClaims()
{
    this->d->handover.closeStartGap();
}

bool Witness::mayVote(Millis now, const ClaimKey &key) const
{
    return this->d->handover.mayVote(now, key);
}

bool Witness::isFresh(Millis now) const
{
    return this->d->handover.isFresh(now);
}

std::size_t Witness::size() const
{
    return this->d->store.size();
}

} // namespace Sequoiausher
