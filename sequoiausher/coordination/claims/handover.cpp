#include "sequoiausher/coordination/claims/handover.h"

#include <algorithm>
#include <map>

namespace Sequoiausher {

namespace {

/** A list that was replaced. The empty list stands for the time before the start. */
struct Gap
{
    InstanceList list;
    Millis since;
    /** Whether this instance was on that list. */
    bool includedSelf = false;
    /** Hashes of the instances that were on that list and are not on the present one. */
    std::vector<std::uint64_t> departedHashes;
};

/** The progress of the hand-over from one other instance. */
struct Giver
{
    ClaimKey next;
    Millis lastPullAt;
    bool pullSent = false;
    /** Pulls since the last useful page. Each one doubles the delay before the next pull, within bounds. */
    int pullsWithoutProgress = 0;
    bool handedOver = false;
    /** It sent its last page while it had no gaps itself. */
    bool handedOverWithoutGaps = false;
    /** Its latest page stated that it has gaps itself. */
    bool hasGaps = false;
};

bool isSubset(const InstanceList &part, const InstanceList &whole)
{
    return std::includes(whole.names.begin(), whole.names.end(), part.names.begin(), part.names.end());
}

} // namespace

class Handover::Private
{
public:
    bool isUnexpired(const Gap &gap, Millis now) const
    {
        return now < gap.since + this->parameters.claimRetention();
    }

    bool isHandoverComplete(const InstanceId &instance, bool fresh) const
    {
        const auto giver = this->givers.find(instance);
        return giver != this->givers.end() && (fresh ? giver->second.handedOverWithoutGaps : giver->second.handedOver);
    }

    /** Whether all of witnesses but maxMissing have handed over; fresh: the gap is that of the start. */
    bool hasEnoughGivers(const std::vector<InstanceId> &witnesses, const WitnessQuorum &quorum, bool fresh) const
    {
        const WitnessQuorum::HandoverLimit limit = quorum.handoverLimit();
        // A quorum of 1 rules out a hand-over at a start only. In a list under which this instance was no witness, the
        // whole quorum consists of other instances, so that a hand-over is possible with any quorum.
        if (fresh && !limit.possible) {
            return false;
        }
        const auto isMissing = [&](const InstanceId &witness) {
            return witness != this->self && !this->isHandoverComplete(witness, fresh);
        };
        const auto missing = std::count_if(witnesses.begin(), witnesses.end(), isMissing);
        return static_cast<std::size_t>(missing) <= limit.maxMissing;
    }

    /**
     * Whether this instance, a witness of key by the present list, certainly was one by the gap's list, since each
     * instance that has left the list has a smaller weight. Avoids sorting a whole list for each gap and vote.
     */
    bool wasProvablyWitness(const Gap &gap, const ClaimKey &key) const
    {
        const std::uint64_t keyHash = rendezvousHash(key);
        const std::uint64_t own = rendezvousWeight(hash64(this->self.value), keyHash);
        return gap.includedSelf
            && std::all_of(gap.departedHashes.begin(), gap.departedHashes.end(), [&](std::uint64_t member) {
                   return rendezvousWeight(member, keyHash) < own;
               });
    }

    /** Whether the gap is closed for key. This instance has to be a witness of key by the present list. */
    bool isClosedFor(const Gap &gap, const ClaimKey &key) const
    {
        if (this->wasProvablyWitness(gap, key)) {
            return true;
        }
        const bool fresh = gap.list.names.empty();
        const InstanceList &base = fresh ? this->list : gap.list;
        const WitnessQuorum quorum = this->parameters.quorumFor(base.names.size());
        const std::vector<InstanceId> witnesses = base.selectInstances(key, quorum.witnesses);
        const bool wasWitness = std::find(witnesses.begin(), witnesses.end(), this->self) != witnesses.end();
        return (!fresh && wasWitness) || this->hasEnoughGivers(witnesses, quorum, fresh);
    }

    /** Removes the gaps that are closed for all keys. */
    void dropClosedGaps(Millis now)
    {
        std::erase_if(this->gaps, [&](const Gap &gap) {
            const bool fresh = gap.list.names.empty();
            const InstanceList &base = fresh ? this->list : gap.list;
            return !this->isUnexpired(gap, now)
                || (!base.names.empty()
                    && this->hasEnoughGivers(base.names, this->parameters.quorumFor(base.names.size()), fresh));
        });
        if (this->gaps.empty()) {
            this->givers.clear();
        }
    }

    /** Updates the members of each gap that depend on the present list. */
    void updateGaps()
    {
        for (Gap &gap : this->gaps) {
            gap.includedSelf = gap.list.contains(this->self);
            gap.departedHashes.clear();
            for (std::size_t i = 0; i < gap.list.names.size(); ++i) {
                if (!this->list.contains(gap.list.names[i])) {
                    gap.departedHashes.push_back(gap.list.hashes[i]);
                }
            }
        }
    }

    /** Whether claims are pulled at all: in a large fleet that takes longer than waiting. */
    bool mayPull() const
    {
        return this->givers.size() <= this->parameters.maxHandoverInstances;
    }

    /** Whether most givers have gaps themselves, as after a cold start of the fleet. */
    bool mostGiversHaveGaps() const
    {
        const auto giversWithGaps = std::count_if(
            this->givers.begin(), this->givers.end(), [](const auto &giver) { return giver.second.hasGaps; });
        return 2 * static_cast<std::size_t>(giversWithGaps) > this->givers.size();
    }

    void restartPulls(Millis now)
    {
        this->updateGaps();
        ++this->pull;
        this->firstPullAt = now + this->parameters.settleTime;
        this->givers.clear();
        std::vector<InstanceId> names = this->list.names;
        for (const Gap &gap : this->gaps) {
            names.insert(names.end(), gap.list.names.begin(), gap.list.names.end());
        }
        for (const InstanceId &name : names) {
            if (name != this->self) {
                this->givers[name].next = ClaimKey{};
            }
        }
    }

    /** The delay doubles with each useless pull, so that a fleet without claims is not busy with pulls. */
    Millis nextPullAt(const Giver &giver) const
    {
        constexpr std::int64_t firstRetryFactor = 4;
        constexpr int maxDoublings = 4;
        const std::int64_t factor = firstRetryFactor << std::clamp(giver.pullsWithoutProgress - 1, 0, maxDoublings);
        return giver.pullSent ? giver.lastPullAt + this->parameters.retryDelay * factor : this->firstPullAt;
    }

    InstanceId self;
    ClaimParameters parameters;
    InstanceList list;
    std::vector<Gap> gaps;
    std::map<InstanceId, Giver> givers;
    std::uint64_t pull = 0;
    Millis firstPullAt;
};

Handover::Handover(const InstanceId &self, const ClaimParameters &parameters, Millis startedAt)
    : d(std::make_unique<Private>())
{
    this->d->self = self;
    this->d->parameters = parameters;
    this->d->gaps.push_back(Gap{InstanceList{}, startedAt, false, {}});
    // Pull numbers of an earlier process are smaller, so that late pages for that process are recognised.
    constexpr int pullNumberBitsPerMilli = 10;
    this->d->pull = static_cast<std::uint64_t>(startedAt.count) << pullNumberBitsPerMilli;
    this->d->firstPullAt = startedAt + parameters.settleTime;
}

Handover::~Handover() = default;

void Handover::setInstances(Millis now, const InstanceList &list)
{
    if (list == this->d->list) {
        return;
    }
    this->d->dropClosedGaps(now);
    const InstanceList old = this->d->list;
    this->d->list = list;
    // If instances were only added, an instance of the old list that is a witness of a key now was one before.
    const bool onlyAdded = old.contains(this->d->self) && isSubset(old, list);
    if (!old.names.empty() && !onlyAdded) {
        this->d->gaps.push_back(Gap{old, now, false, {}});
    }
    if (!this->d->gaps.empty()) {
        this->d->restartPulls(now);
    }
}

const InstanceList &Handover::instances() const
{
    return this->d->list;
}

bool Handover::mayVote(Millis now, const ClaimKey &key) const
{
    const std::size_t witnesses = this->d->parameters.quorumFor(this->d->list.names.size()).witnesses;
    if (!this->d->list.isSelected(this->d->self, key, witnesses)) {
        return false;
    }
    return std::all_of(this->d->gaps.begin(), this->d->gaps.end(), [&](const Gap &gap) {
        return !this->d->isUnexpired(gap, now) || this->d->isClosedFor(gap, key);
    });
}

Millis Handover::retryAfter(Millis now, const ClaimKey &key) const
{
    Millis wait = this->d->parameters.retryAfter;
    const Millis handoverBy = this->d->firstPullAt + this->d->parameters.settleTime;
    const bool canPull = this->d->list.names.size() > 1 && this->d->mayPull();
    for (const Gap &gap : this->d->gaps) {
        if (this->d->isUnexpired(gap, now) && !this->d->isClosedFor(gap, key)) {
            const Millis gapExpiresAt = gap.since + this->d->parameters.claimRetention();
            const bool mayStillPull = now < handoverBy && canPull && !this->d->mostGiversHaveGaps();
            wait = std::max(wait, (mayStillPull ? handoverBy : gapExpiresAt) - now);
        }
    }
    return wait;
}

bool Handover::isFresh(Millis now) const
{
    return std::any_of(this->d->gaps.begin(), this->d->gaps.end(), [&](const Gap &gap) {
        return gap.list.names.empty() && this->d->isUnexpired(gap, now);
    });
}

bool Handover::hasOpenGap(Millis now) const
{
    return std::any_of(
        this->d->gaps.begin(), this->d->gaps.end(), [&](const Gap &gap) { return this->d->isUnexpired(gap, now); });
}

void Handover::closeStartGap()
{
    std::erase_if(this->d->gaps, [](const Gap &gap) { return gap.list.names.empty(); });
}

std::vector<DuePull> Handover::takeDuePulls(Millis now)
{
    this->d->dropClosedGaps(now);
    std::vector<DuePull> pulls;
    if (now < this->d->firstPullAt || !this->d->mayPull()) {
        return pulls;
    }
    const bool fresh = this->isFresh(now);
    for (auto &[instance, giver] : this->d->givers) {
        if (!this->d->isHandoverComplete(instance, fresh) && now >= this->d->nextPullAt(giver)) {
            giver.pullSent = true;
            ++giver.pullsWithoutProgress;
            giver.lastPullAt = now;
            pulls.push_back(DuePull{instance, ClaimPull{this->d->pull, giver.next}});
        }
    }
    return pulls;
}

Millis Handover::nextDeadline(Millis now) const
{
    Millis deadline = Millis::never();
    const bool fresh = this->isFresh(now);
    for (const auto &[instance, giver] : this->d->givers) {
        if (this->d->mayPull() && !this->d->isHandoverComplete(instance, fresh)) {
            deadline = std::min(deadline, std::max(this->d->firstPullAt, this->d->nextPullAt(giver)));
        }
    }
    for (const Gap &gap : this->d->gaps) {
        deadline = std::min(deadline, gap.since + this->d->parameters.claimRetention());
    }
    return deadline;
}

bool Handover::receivePage(Millis now, const InstanceId &from, const ClaimPage &page, bool allStored)
{
    const auto found = this->d->givers.find(from);
    if (page.pull != this->d->pull || found == this->d->givers.end() || !found->second.pullSent) {
        return false;
    }
    Giver &giver = found->second;
    giver.hasGaps = page.giverAbstains || page.giverLearns;
    if (!allStored || page.giverAbstains) {
        return true;
    }
    if (!page.last) {
        giver.next = std::max(giver.next, page.next);
        giver.pullSent = false;
        giver.pullsWithoutProgress = 0;
        return true;
    }
    giver.handedOver = true;
    giver.handedOverWithoutGaps = giver.handedOverWithoutGaps || !page.giverLearns;
    giver.next = ClaimKey{};
    this->d->dropClosedGaps(now);
    return true;
}

} // namespace Sequoiausher
