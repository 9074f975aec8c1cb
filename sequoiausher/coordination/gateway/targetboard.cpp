#include "sequoiausher/coordination/gateway/targetboard.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/gateway/holderchoice.h"
#include "sequoiausher/coordination/policies/loadbound.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

/** A peer's loads count until so long after its report: some reports may be lost, and a dead peer holds nothing. */
constexpr Millis peerLoadLife{1500};
/** After a target said that it is full it is passed over for so long: about the time in which it ends some requests. */
constexpr Millis fullPause{150};
/** A gateway sends so many requests to one target between two reports by chance. */
constexpr std::uint32_t unremarkable = 1;
/**
 * So many requests above the bound in percent are let through. At a mean of two or three requests a target, chance
 * alone brings twice the mean, and each request that a bound turns away is read anew by a target that has nothing of it
 * cached.
 */
constexpr std::uint64_t boundSlack = 1;
/** How old what peers said is on the average when it is used: a report, a hub's, and half of the time to the next. */
constexpr double reportAgeMs = 450;
/** What one more answer weighs in the usual time of a target's answers: some ten are remembered. */
constexpr double answerTimeWeight = 0.1;
/** Expectations are no better than to about a request. */
constexpr double asGoodAsEqual = 0.7;
/** What one more round weighs in what a target usually holds: some five rounds are remembered. */
constexpr double usualLoadWeight = 0.2;
/** How much of the load by which a target is judged is its usual one. */
constexpr double usualLoadPart = 0.7;
/** Chance and failures give a part a second target. */
constexpr std::size_t holdersOfHeavyUse = 3;
/** Independent requests deviate from their mean by its square root; one count in fifty is twice that above it. */
constexpr double chanceDeviations = 2;
/** A target that says that it leaves is gone long before; its entry may come back until then with an older store. */
constexpr Millis wordLife{600000};
constexpr Millis longestRest{3600000};

struct BoardTarget
{
    GatewayTarget target;
    std::uint64_t hash = 0;
    std::uint32_t own = 0;
    /** What the peers said, added up. */
    std::uint32_t peers = 0;
    /** Sent there by this gateway since its peers last heard of its loads, and so it of theirs. */
    std::uint32_t sinceReports = 0;
    /** The number of the request that was last sent there; 0 for none. */
    std::uint64_t sentOrder = 0;
    /** How long its answers take; 0 before the first. */
    double answerMs = 0;
    /** What it held in the last rounds, on the average; absent before the first. */
    std::optional<double> usualLoad;
    TargetHealthScore health;
    Millis fullUntil;
    /** It wants no request until then. */
    Millis restUntil;
    Millis heardAt;
    bool isListed = true;
};

/** How many of the holders may be chosen. Those that failed lately or left say nothing of a part's use. */
std::size_t usableAmong(const std::vector<TargetId> &holders, const PoolLoad &load)
{
    return static_cast<std::size_t>(
        std::count_if(load.targets.begin(), load.targets.end(), [&holders](const TargetLoad &target) {
            return target.usable && std::find(holders.begin(), holders.end(), target.target) != holders.end();
        }));
}

/** What a target said of itself in its answers. */
struct TargetWord
{
    bool leaves = false;
    Millis restUntil;
    Millis saidAt;
};

struct PeerLoads
{
    std::unordered_map<TargetId, std::uint32_t> inFlight;
    Millis at;
};

} // namespace

class TargetBoard::Private
{
public:
    static std::uint32_t inFlight(const BoardTarget &target)
    {
        return target.own + target.peers;
    }

    /** Takes what the peer said out of the sums. */
    void forget(const PeerLoads &loads)
    {
        for (const auto &[id, inFlight] : loads.inFlight) {
            if (BoardTarget *target = this->find(id)) {
                target->peers -= std::min(target->peers, inFlight);
            }
        }
    }

    void expire(Millis now)
    {
        std::erase_if(this->peers, [this, now](const auto &entry) {
            const bool isOld = now - entry.second.at > peerLoadLife;
            if (isOld) {
                this->forget(entry.second);
            }
            return isOld;
        });
    }

    /**
     * What the peers have most likely sent to the target since their reports. They choose as this gateway does: where
     * it has sent several requests for one part in a moment, so have they. Without this a part that suddenly gets much
     * of the traffic overloads its target for as long as reports take, by as many times as there are gateways.
     */
    std::uint32_t unheard(const BoardTarget &target) const
    {
        if (target.sinceReports <= unremarkable) {
            return 0;
        }
        return static_cast<std::uint32_t>((target.sinceReports - unremarkable) * this->otherGateways);
    }

    /**
     * What is in flight by late reports, evened out. They are as old as requests last, so a count above the usual one
     * says mostly what was there by chance and has left since. Taken as it is, all gateways move away from a target
     * together, and back together: each move takes parts of prompts to where they must be read again, and heaps up
     * requests there before anybody hears of it.
     */
    static std::uint32_t evenedOut(const BoardTarget &target)
    {
        const double counted = inFlight(target);
        const double usual = target.usualLoad.value_or(counted);
        // More than chance brings: a part has come into heavy use, and waiting would overload its target.
        if (counted - usual > chanceDeviations * std::sqrt(std::max(usual, 1.0))) {
            return inFlight(target);
        }
        return static_cast<std::uint32_t>(std::lround(counted + (usual - counted) * usualLoadPart));
    }

    /**
     * What is in flight now, where peers' loads are older than the requests that they counted: of those as good as none
     * is left, and as many others were sent since, to any target. What a target had above the mean falls away with its
     * answers. Without this all gateways send to the target that was least loaded at the last reports, and the next
     * reports find it overloaded: with three targets of 30 ms and reports of 300, a queue of 20 there while others
     * idle.
     */
    static double expectedNow(const BoardTarget &target, double meanOfPeers)
    {
        const double left = target.answerMs > 0 ? std::exp(-reportAgeMs / target.answerMs) : 1;
        return target.own + meanOfPeers + (static_cast<double>(target.peers) - meanOfPeers) * left;
    }

    /**
     * The usable target where the fewest are expected; among those that are as good as equal the one that this gateway
     * has sent nothing to for longest. Were the last hundredth to decide, all gateways would decide alike.
     */
    static std::optional<std::size_t> leastExpected(const std::vector<BoardTarget *> &candidates, const PoolLoad &load)
    {
        const double mean = meanOfPeers(candidates);
        std::optional<std::size_t> best;
        double least = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (!load.targets[i].usable) {
                continue;
            }
            const double expected = expectedNow(*candidates[i], mean);
            const bool isEqual = best && std::abs(expected - least) < asGoodAsEqual;
            const bool isLonger = isEqual && candidates[i]->sentOrder < candidates[*best]->sentOrder;
            if (!best || isLonger || (!isEqual && expected < least)) {
                best = i;
                least = expected;
            }
        }
        return best;
    }

    static double meanOfPeers(const std::vector<BoardTarget *> &candidates)
    {
        double sum = 0;
        for (const BoardTarget *held : candidates) {
            sum += held->peers;
        }
        return candidates.empty() ? 0 : sum / static_cast<double>(candidates.size());
    }

    /** The targets that may be chosen, by service. */
    void sortByService()
    {
        this->byService.clear();
        for (auto &[id, held] : this->targets) {
            if (this->isOffered(held)) {
                this->byService[held.target.service].push_back(&held);
            }
        }
    }

    bool isOffered(const BoardTarget &held) const
    {
        const auto word = this->words.find(held.target.id);
        return held.isListed && !held.target.isLeaving && (word == this->words.end() || !word->second.leaves);
    }

    BoardTarget *find(const TargetId &id)
    {
        const auto found = this->targets.find(id);
        return found != this->targets.end() ? &found->second : nullptr;
    }

    Policy &policy(PolicyKind kind)
    {
        std::unique_ptr<Policy> &held = this->policies[kind];
        if (!held) {
            held = makePolicy(kind, this->seed);
        }
        return *held;
    }

    std::uint64_t seed = 0;
    std::map<TargetId, BoardTarget> targets;
    /** The targets of each service, listed and not leaving. */
    std::map<PoolId, std::vector<BoardTarget *>> byService;
    /** The present life of each listed target, by its name. */
    std::unordered_map<TargetId, TargetId> lives;
    /** They outlive the list's entries, which may come back. */
    std::map<TargetId, TargetWord> words;
    std::map<InstanceId, PeerLoads> peers;
    std::size_t otherGateways = 0;
    /** Requests sent so far. */
    std::uint64_t sent = 0;
    std::map<PolicyKind, std::unique_ptr<Policy>> policies;
};

TargetBoard::TargetBoard(std::uint64_t seed) : d(std::make_unique<Private>())
{
    this->d->seed = seed;
}

TargetBoard::~TargetBoard() = default;

void TargetBoard::setTargets(const std::vector<GatewayTarget> &targets, Millis now)
{
    std::erase_if(this->d->words, [now](const auto &entry) {
        return now - entry.second.saidAt > wordLife && now >= entry.second.restUntil;
    });
    for (auto &[id, held] : this->d->targets) {
        held.isListed = false;
    }
    this->d->lives.clear();
    for (const GatewayTarget &target : targets) {
        this->d->lives.emplace(listedName(target), target.id);
        BoardTarget &held = this->d->targets[target.id];
        held.target = target;
        held.hash = hash64(target.id.value);
        held.isListed = true;
        const auto word = this->d->words.find(target.id);
        held.restUntil = word != this->d->words.end() ? word->second.restUntil : Millis{0};
    }
    std::erase_if(this->d->targets, [](const auto &entry) { return !entry.second.isListed && entry.second.own == 0; });
    for (auto &[id, held] : this->d->targets) {
        held.peers = 0;
    }
    this->d->sortByService();
    for (const auto &[peer, loads] : this->d->peers) {
        for (const auto &[id, inFlight] : loads.inFlight) {
            if (BoardTarget *held = this->d->find(id)) {
                held->peers += inFlight;
            }
        }
    }
}

void TargetBoard::peerReported(const InstanceId &peer, const std::vector<GatewayLoad> &loads, Millis now)
{
    this->d->expire(now);
    PeerLoads &held = this->d->peers[peer];
    this->d->forget(held);
    held.at = now;
    held.inFlight.clear();
    for (const GatewayLoad &load : loads) {
        BoardTarget *target = this->d->find(load.target);
        if (load.inFlight > 0) {
            held.inFlight[load.target] = load.inFlight;
            if (target != nullptr) {
                target->peers += load.inFlight;
            }
        }
        if (load.suspected && target != nullptr) {
            target->health.suspectedByPeer(now);
        }
    }
}

void TargetBoard::forgetPeersBut(const InstanceId &peer)
{
    std::erase_if(this->d->peers, [this, &peer](const auto &entry) {
        const bool isOther = entry.first != peer;
        if (isOther) {
            this->d->forget(entry.second);
        }
        return isOther;
    });
}

void TargetBoard::setOtherGateways(std::size_t count)
{
    this->d->otherGateways = count;
}

std::optional<ChosenTarget> TargetBoard::choose(const TargetCriteria &criteria, Millis now)
{
    this->d->expire(now);
    const std::vector<BoardTarget *> &candidates = this->d->byService[criteria.service];
    // Only a policy that fills what room there is step by step is served by evened loads: one that moves all of a
    // part's requests at the bound would do so later, and for longer.
    const bool sharesRoom = criteria.policy == PolicyKind::RoomRendezvous;
    PoolLoad load;
    load.targets.reserve(candidates.size());
    std::size_t avoided = 0;
    std::size_t resting = 0;
    for (const BoardTarget *held : candidates) {
        const std::uint32_t inFlight = Private::inFlight(*held);
        load.total += inFlight;
        load.counted += 1;
        const TargetId &id = held->target.id;
        const bool excluded
            = std::find(criteria.excluded.begin(), criteria.excluded.end(), id) != criteria.excluded.end();
        const bool isResting = now < held->restUntil;
        const bool isAvoided = !isResting && (held->health.isAvoided(now) || now < held->fullUntil);
        resting += isResting ? 1 : 0;
        avoided += isAvoided ? 1 : 0;
        const std::uint32_t likely = (sharesRoom ? Private::evenedOut(*held) : inFlight) + this->d->unheard(*held);
        load.targets.push_back({id, held->hash, likely, inFlight, !excluded && !isAvoided && !isResting});
    }
    // Where most targets fail, the fault is not theirs alone, and keeping away would press the rest: use all of them.
    const bool useAvoided = avoided * 2 > candidates.size() - resting;
    std::size_t usable = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        TargetLoad &target = load.targets[i];
        const bool excluded
            = std::find(criteria.excluded.begin(), criteria.excluded.end(), target.target) != criteria.excluded.end();
        target.usable = target.usable || (useAvoided && !excluded && now >= candidates[i]->restUntil);
        usable += target.usable ? 1 : 0;
    }
    load.minimumBound = loadBound(criteria.boundPercent, load.total, load.counted) + boundSlack;
    const std::optional<std::size_t> holder = chooseHolder(criteria.holders, load, criteria.requestHash);
    // A part that several hold and none takes is in heavy use: by its hash all gateways would fill one more target.
    const bool isHeavilyUsed = !holder && sharesRoom && usableAmong(criteria.holders, load) >= holdersOfHeavyUse;
    const std::uint64_t place = isHeavilyUsed ? criteria.requestHash : criteria.partHash;
    const PolicyRequest choice{place, criteria.boundPercent, holder, false, criteria.firstPartHash};
    // A part that nobody holds yet is read by the first one who gets it, and gateways hear of that late: until then
    // they agree on a target only if they go by the hash alone.
    const bool isUnread = sharesRoom && criteria.holders.empty();
    const PolicyKind policy = isUnread ? PolicyKind::BoundedRendezvous : criteria.policy;
    std::optional<std::size_t> index = policy == PolicyKind::LeastExpected
        ? Private::leastExpected(candidates, load)
        : this->d->policy(policy).choose(load, choice);
    if (!index && usable > 0) {
        index = this->d->policy(PolicyKind::LeastLoaded).choose(load, choice);
    }
    if (!index) {
        return std::nullopt;
    }
    return ChosenTarget{candidates[*index]->target, load.targets[*index].inFlight, load.total, usable};
}

std::optional<GatewayTarget> TargetBoard::copySource(const std::vector<TargetId> &holders, Millis now)
{
    this->d->expire(now);
    const BoardTarget *best = nullptr;
    for (const TargetId &holder : holders) {
        const BoardTarget *held = this->d->find(holder);
        const bool isSound
            = held != nullptr && held->isListed && !held->health.isAvoided(now) && now >= held->restUntil;
        if (isSound && (best == nullptr || Private::inFlight(*held) < Private::inFlight(*best))) {
            best = held;
        }
    }
    return best != nullptr ? std::optional(best->target) : std::nullopt;
}

void TargetBoard::started(const TargetId &target)
{
    if (BoardTarget *held = this->d->find(target)) {
        held->own += 1;
        held->sinceReports += 1;
        held->sentOrder = ++this->d->sent;
    }
}

void TargetBoard::heard(const TargetId &target, Millis now)
{
    if (BoardTarget *held = this->d->find(target)) {
        held->heardAt = now;
    }
}

Millis TargetBoard::lastHeard(const TargetId &target) const
{
    const BoardTarget *held = this->d->find(target);
    return held != nullptr ? held->heardAt : Millis{0};
}

bool TargetBoard::saysItLeaves(const TargetId &target, Millis now)
{
    TargetWord &word = this->d->words[target];
    word.saidAt = now;
    const bool isNew = !std::exchange(word.leaves, true);
    if (isNew) {
        this->d->sortByService();
    }
    return isNew;
}

void TargetBoard::asksForRest(const TargetId &target, Millis until, Millis now)
{
    TargetWord &word = this->d->words[target];
    word.saidAt = now;
    word.restUntil = std::max(word.restUntil, std::min(until, now + longestRest));
    if (BoardTarget *held = this->d->find(target)) {
        held->restUntil = word.restUntil;
    }
}

std::optional<Millis> TargetBoard::restLeft(const PoolId &service, Millis now) const
{
    const auto found = this->d->byService.find(service);
    if (found == this->d->byService.end() || found->second.empty()) {
        return std::nullopt;
    }
    const auto first
        = std::min_element(found->second.begin(), found->second.end(), [](const BoardTarget *a, const BoardTarget *b) {
              return a->restUntil < b->restUntil;
          });
    return now < (*first)->restUntil ? std::optional((*first)->restUntil - now) : std::nullopt;
}

void TargetBoard::answerTook(const TargetId &target, Millis took)
{
    if (BoardTarget *held = this->d->find(target)) {
        const auto given = static_cast<double>(took.count);
        held->answerMs += held->answerMs > 0 ? (given - held->answerMs) * answerTimeWeight : given;
    }
}

void TargetBoard::ended(const TargetId &target, AttemptMark mark, Millis now)
{
    BoardTarget *held = this->d->find(target);
    if (held == nullptr) {
        return;
    }
    held->own -= std::min<std::uint32_t>(held->own, 1);
    switch (mark) {
    case AttemptMark::Answered:
        held->health.succeeded(now);
        break;
    case AttemptMark::Failed:
        held->health.failed(now, FailureWeight::Light);
        break;
    case AttemptMark::Lost:
        held->health.failed(now, FailureWeight::Heavy);
        break;
    case AttemptMark::Full:
        held->fullUntil = now + fullPause;
        break;
    case AttemptMark::Neutral:
        break;
    }
    if (!held->isListed && held->own == 0) {
        this->d->targets.erase(target);
    }
}

void TargetBoard::beginRound()
{
    for (auto &[id, held] : this->d->targets) {
        held.sinceReports = 0;
        const double counted = Private::inFlight(held);
        const double before = held.usualLoad.value_or(counted);
        held.usualLoad = before + (counted - before) * usualLoadWeight;
    }
}

std::vector<GatewayLoad> TargetBoard::loads(const std::vector<InstanceId> &without, Millis now)
{
    this->d->expire(now);
    std::vector<const PeerLoads *> leftOut;
    for (const InstanceId &peer : without) {
        const auto found = this->d->peers.find(peer);
        if (found != this->d->peers.end()) {
            leftOut.push_back(&found->second);
        }
    }
    std::vector<GatewayLoad> all;
    for (const auto &[id, held] : this->d->targets) {
        std::uint32_t sum = Private::inFlight(held);
        for (const PeerLoads *loads : leftOut) {
            const auto found = loads->inFlight.find(id);
            sum -= found != loads->inFlight.end() ? std::min(sum, found->second) : 0;
        }
        const bool suspected = held.health.isAvoided(now);
        if (sum > 0 || suspected) {
            all.push_back({id, sum, suspected});
        }
    }
    return all;
}

std::vector<GatewayLoad> TargetBoard::ownLoads(Millis now) const
{
    std::vector<GatewayLoad> all;
    for (const auto &[id, held] : this->d->targets) {
        const bool suspected = held.health.isAvoided(now);
        if (held.own > 0 || suspected) {
            all.push_back({id, held.own, suspected});
        }
    }
    return all;
}

bool TargetBoard::isLifeOver(const GatewayTarget &target) const
{
    const auto present = this->d->lives.find(listedName(target));
    return present != this->d->lives.end() && present->second != target.id;
}

bool TargetBoard::isListed(const TargetId &target) const
{
    const BoardTarget *held = this->d->find(target);
    return held != nullptr && held->isListed;
}

bool TargetBoard::isOffered(const TargetId &target) const
{
    const BoardTarget *held = this->d->find(target);
    return held != nullptr && this->d->isOffered(*held);
}

std::size_t TargetBoard::targetCount(const PoolId &service) const
{
    const auto found = this->d->byService.find(service);
    return found != this->d->byService.end() ? found->second.size() : 0;
}

std::uint64_t TargetBoard::inFlight(const PoolId &service, Millis now) const
{
    this->d->expire(now);
    std::uint64_t sum = 0;
    const auto found = this->d->byService.find(service);
    if (found != this->d->byService.end()) {
        for (const BoardTarget *held : found->second) {
            sum += Private::inFlight(*held);
        }
    }
    return sum;
}

std::uint64_t TargetBoard::places(const PoolId &service) const
{
    std::uint64_t sum = 0;
    const auto found = this->d->byService.find(service);
    if (found != this->d->byService.end()) {
        for (const BoardTarget *held : found->second) {
            sum += held->target.slots;
        }
    }
    return sum;
}

} // namespace Sequoiausher
