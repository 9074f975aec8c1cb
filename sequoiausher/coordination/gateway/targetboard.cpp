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

/**
 * How long a peer's loads count after its report: some reports may be lost, and a dead peer has no requests in flight.
 */
constexpr Millis peerLoadTtl{1500};
/** How long a target that reported itself full is skipped: about the time in which it finishes some requests. */
constexpr Millis fullTargetBackoff{150};
/** The number of requests that a gateway sends to one target between two reports by chance. */
constexpr std::uint32_t chanceRequestsPerReport = 1;
/**
 * How many requests are let through above the bound that is given in percent. At a mean of two or three requests per
 * target, chance alone brings twice the mean, and each request that a bound turns away is read again by a target that
 * has none of its prompt cached.
 */
constexpr std::uint64_t boundSlackRequests = 1;
/** The mean age of peers' loads when they are used: one report, one relay by a hub, and half of the report interval. */
constexpr double reportAgeMs = 450;
/** The weight of one answer in the moving average of a target's answer times, which covers about ten answers. */
constexpr double answerTimeWeight = 0.1;
/** Expected loads are accurate to about one request, so smaller differences count as equal. */
constexpr double equalLoadTolerance = 0.7;
/** The weight of one round in the moving average of a target's load, which covers about five rounds. */
constexpr double roundLoadWeight = 0.2;
/** The share of the moving average in the smoothed load of a target. */
constexpr double averageShareOfSmoothedLoad = 0.7;
/** A part with fewer holders need not be hot: chance and failures also give a part a second target. */
constexpr std::size_t minHoldersOfHotPart = 3;
/**
 * A count of independent requests deviates from its mean by about the square root of the mean; one count in fifty is
 * more than two such deviations above it.
 */
constexpr double chanceLoadDeviations = 2;
/**
 * How long an announcement is kept. A leaving target is gone long before, but a restored older store may list it again.
 */
constexpr Millis announcementTtl{600000};
constexpr Millis maxTargetBackoff{3600000};

struct TargetState
{
    GatewayTarget target;
    std::uint64_t hash = 0;
    std::uint32_t ownInFlight = 0;
    /** The sum of the peers' reported requests. */
    std::uint32_t peersInFlight = 0;
    /** Requests sent by this gateway since the last round of reports, in which gateways got each other's loads. */
    std::uint32_t sentSinceReport = 0;
    /** The sequence number of the last request sent to the target, among all requests of this gateway; 0 for none. */
    std::uint64_t lastSentNumber = 0;
    /** The moving average of the answer time; 0 before the first answer. */
    double averageAnswerMs = 0;
    /** The moving average of the load in the last rounds; absent before the first round. */
    std::optional<double> averageLoad;
    TargetHealthScore health;
    Millis fullUntil;
    /** No request is sent to the target before this time. */
    Millis backoffUntil;
    Millis lastActivityAt;
    bool isListed = true;
};

/**
 * The number of holders that may be chosen. Holders that failed lately or left do not indicate how much a part is used.
 */
std::size_t countUsableHolders(const std::vector<TargetId> &holders, const PoolLoad &load)
{
    return static_cast<std::size_t>(
        std::count_if(load.targets.begin(), load.targets.end(), [&holders](const TargetLoad &target) {
            return target.usable && std::find(holders.begin(), holders.end(), target.target) != holders.end();
        }));
}

/** What a target announced about itself in its answers. */
struct TargetAnnouncement
{
    bool hasAnnouncedLeaving = false;
    Millis backoffUntil;
    Millis announcedAt;
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
    static std::uint32_t inFlight(const TargetState &target)
    {
        return target.ownInFlight + target.peersInFlight;
    }

    /** Subtracts the peer's reported loads from the sums. */
    void forget(const PeerLoads &loads)
    {
        for (const auto &[id, inFlight] : loads.inFlight) {
            if (TargetState *target = this->find(id)) {
                target->peersInFlight -= std::min(target->peersInFlight, inFlight);
            }
        }
    }

    void expire(Millis now)
    {
        std::erase_if(this->peers, [this, now](const auto &entry) {
            const bool isOld = now - entry.second.at > peerLoadTtl;
            if (isOld) {
                this->forget(entry.second);
            }
            return isOld;
        });
    }

    /**
     * Estimates how many requests the peers have sent to the target since their reports. They choose as this gateway
     * does: if this gateway sent several requests for one part within a moment, the peers did too. Without this
     * estimate, a part that suddenly gets much of the traffic overloads its target until the next reports, by a factor
     * of the number of gateways.
     */
    std::uint32_t estimateUnreportedRequests(const TargetState &target) const
    {
        if (target.sentSinceReport <= chanceRequestsPerReport) {
            return 0;
        }
        return static_cast<std::uint32_t>((target.sentSinceReport - chanceRequestsPerReport) * this->otherGateways);
    }

    /**
     * Smooths the requests in flight at the target. Reports are as old as requests last, so a count above the average
     * mostly shows requests that were there by chance and have ended since. With unsmoothed counts, all gateways move
     * away from a target together and return together. Each move sends parts of prompts to targets that must read them
     * again, and requests pile up there before any gateway learns of it.
     */
    static std::uint32_t smoothedInFlight(const TargetState &target)
    {
        const double current = inFlight(target);
        const double average = target.averageLoad.value_or(current);
        // The deviation is larger than chance explains: a part has become hot, and waiting would overload its target.
        if (current - average > chanceLoadDeviations * std::sqrt(std::max(average, 1.0))) {
            return inFlight(target);
        }
        return static_cast<std::uint32_t>(std::lround(current + (average - current) * averageShareOfSmoothedLoad));
    }

    /**
     * Estimates the requests in flight now, where peers' loads are older than the duration of the requests they
     * counted. Almost none of those requests is left, and as many others were sent since, to any target. So a target's
     * excess over the mean decays with its answer time. Without this estimate all gateways send to the target with the
     * lowest load in the last reports, and the next reports show it overloaded: with three targets that answer in 30 ms
     * and reports every 300 ms, 20 requests queue there while other targets are idle.
     */
    static double expectedInFlight(const TargetState &target, double meanPeersInFlight)
    {
        const double left = target.averageAnswerMs > 0 ? std::exp(-reportAgeMs / target.averageAnswerMs) : 1;
        return target.ownInFlight + meanPeersInFlight
            + (static_cast<double>(target.peersInFlight) - meanPeersInFlight) * left;
    }

    /**
     * Chooses the usable target with the fewest expected requests. Among targets that count as equal, chooses the one
     * to which this gateway has sent nothing for the longest time. If differences of a hundredth decided, all gateways
     * would choose the same target.
     */
    static std::optional<std::size_t> chooseLeastExpected(const std::vector<TargetState *> &candidates,
                                                          const PoolLoad &load)
    {
        const double mean = meanPeersInFlight(candidates);
        std::optional<std::size_t> best;
        double least = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (!load.targets[i].usable) {
                continue;
            }
            const double expected = expectedInFlight(*candidates[i], mean);
            const bool isTie = best && std::abs(expected - least) < equalLoadTolerance;
            const bool isLongerUnused = isTie && candidates[i]->lastSentNumber < candidates[*best]->lastSentNumber;
            if (!best || isLongerUnused || (!isTie && expected < least)) {
                best = i;
                least = expected;
            }
        }
        return best;
    }

    static double meanPeersInFlight(const std::vector<TargetState *> &candidates)
    {
        double total = 0;
        for (const TargetState *state : candidates) {
            total += state->peersInFlight;
        }
        return candidates.empty() ? 0 : total / static_cast<double>(candidates.size());
    }

    /** Rebuilds the lists of eligible targets by service. */
    void groupByService()
    {
        this->byService.clear();
        for (auto &[id, state] : this->targets) {
            if (this->isEligible(state)) {
                this->byService[state.target.service].push_back(&state);
            }
        }
    }

    bool isEligible(const TargetState &state) const
    {
        const auto announcement = this->announcements.find(state.target.id);
        return state.isListed && !state.target.isLeaving
            && (announcement == this->announcements.end() || !announcement->second.hasAnnouncedLeaving);
    }

    TargetState *find(const TargetId &id)
    {
        const auto found = this->targets.find(id);
        return found != this->targets.end() ? &found->second : nullptr;
    }

    Policy &policy(PolicyKind kind)
    {
        std::unique_ptr<Policy> &created = this->policies[kind];
        if (!created) {
            created = makePolicy(kind, this->seed);
        }
        return *created;
    }

    std::uint64_t seed = 0;
    std::map<TargetId, TargetState> targets;
    /** The eligible targets of each service: listed, and not leaving. */
    std::map<PoolId, std::vector<TargetState *>> byService;
    /** The current incarnation of each listed target, by the target's listed name. */
    std::unordered_map<TargetId, TargetId> currentIncarnations;
    /** Kept longer than the list's entries, because an entry may come back. */
    std::map<TargetId, TargetAnnouncement> announcements;
    std::map<InstanceId, PeerLoads> peers;
    std::size_t otherGateways = 0;
    /** The number of requests sent so far. */
    std::uint64_t sentCount = 0;
    std::map<PolicyKind, std::unique_ptr<Policy>> policies;
};

TargetBoard::TargetBoard(std::uint64_t seed) : d(std::make_unique<Private>())
{
    this->d->seed = seed;
}

TargetBoard::~TargetBoard() = default;

void TargetBoard::setTargets(const std::vector<GatewayTarget> &targets, Millis now)
{
    std::erase_if(this->d->announcements, [now](const auto &entry) {
        return now - entry.second.announcedAt > announcementTtl && now >= entry.second.backoffUntil;
    });
    for (auto &[id, state] : this->d->targets) {
        state.isListed = false;
    }
    this->d->currentIncarnations.clear();
    for (const GatewayTarget &target : targets) {
        this->d->currentIncarnations.emplace(listedName(target), target.id);
        TargetState &state = this->d->targets[target.id];
        state.target = target;
        state.hash = hash64(target.id.value);
        state.isListed = true;
        const auto announcement = this->d->announcements.find(target.id);
        state.backoffUntil
            = announcement != this->d->announcements.end() ? announcement->second.backoffUntil : Millis{0};
    }
    std::erase_if(this->d->targets,
                  [](const auto &entry) { return !entry.second.isListed && entry.second.ownInFlight == 0; });
    for (auto &[id, state] : this->d->targets) {
        state.peersInFlight = 0;
    }
    this->d->groupByService();
    for (const auto &[peer, loads] : this->d->peers) {
        for (const auto &[id, inFlight] : loads.inFlight) {
            if (TargetState *state = this->d->find(id)) {
                state->peersInFlight += inFlight;
            }
        }
    }
}

void TargetBoard::updatePeerLoads(const InstanceId &peer, const std::vector<GatewayLoad> &loads, Millis now)
{
    this->d->expire(now);
    PeerLoads &reported = this->d->peers[peer];
    this->d->forget(reported);
    reported.at = now;
    reported.inFlight.clear();
    for (const GatewayLoad &load : loads) {
        TargetState *target = this->d->find(load.target);
        if (load.inFlight > 0) {
            reported.inFlight[load.target] = load.inFlight;
            if (target != nullptr) {
                target->peersInFlight += load.inFlight;
            }
        }
        if (load.suspected && target != nullptr) {
            target->health.recordPeerSuspicion(now);
        }
    }
}

void TargetBoard::forgetOtherPeers(const InstanceId &peer)
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
    const std::vector<TargetState *> &candidates = this->d->byService[criteria.service];
    // Smoothed loads help only a policy that fills the free room gradually. A policy that moves all requests of a part
    // once the bound is reached would move them later and for longer.
    const bool spreadsByRoom = criteria.policy == PolicyKind::RoomRendezvous;
    PoolLoad load;
    load.targets.reserve(candidates.size());
    std::size_t skipped = 0;
    std::size_t backingOff = 0;
    for (const TargetState *state : candidates) {
        const std::uint32_t inFlight = Private::inFlight(*state);
        load.total += inFlight;
        load.counted += 1;
        const TargetId &id = state->target.id;
        const bool excluded
            = std::find(criteria.excluded.begin(), criteria.excluded.end(), id) != criteria.excluded.end();
        const bool isBackingOff = now < state->backoffUntil;
        const bool isSkipped = !isBackingOff && (state->health.isEjected(now) || now < state->fullUntil);
        backingOff += isBackingOff ? 1 : 0;
        skipped += isSkipped ? 1 : 0;
        const std::uint32_t estimatedInFlight = (spreadsByRoom ? Private::smoothedInFlight(*state) : inFlight)
            + this->d->estimateUnreportedRequests(*state);
        load.targets.push_back(
            {id, state->hash, estimatedInFlight, inFlight, !excluded && !isSkipped && !isBackingOff});
    }
    // If most targets are ejected or full, the cause is not in the targets alone, and skipping them would overload the
    // rest: use all.
    const bool useSkipped = skipped * 2 > candidates.size() - backingOff;
    std::size_t usable = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        TargetLoad &target = load.targets[i];
        const bool excluded
            = std::find(criteria.excluded.begin(), criteria.excluded.end(), target.target) != criteria.excluded.end();
        target.usable = target.usable || (useSkipped && !excluded && now >= candidates[i]->backoffUntil);
        usable += target.usable ? 1 : 0;
    }
    load.minimumBound = loadBound(criteria.boundPercent, load.total, load.counted) + boundSlackRequests;
    const std::optional<std::size_t> holder = chooseHolder(criteria.holders, load, criteria.requestHash);
    // A part with several holders of which none accepts the request is hot. If the part's hash decided, all gateways
    // would fill the same additional target.
    const bool isHotPart
        = !holder && spreadsByRoom && countUsableHolders(criteria.holders, load) >= minHoldersOfHotPart;
    const std::uint64_t placementHash = isHotPart ? criteria.requestHash : criteria.partHash;
    const PolicyRequest choice{placementHash, criteria.boundPercent, holder, false, criteria.firstPartHash};
    // A part without holders is read by the first target that gets it, and gateways learn of that late. Until then they
    // agree on a target only if the hash alone decides.
    const bool isUnread = spreadsByRoom && criteria.holders.empty();
    const PolicyKind policy = isUnread ? PolicyKind::BoundedRendezvous : criteria.policy;
    std::optional<std::size_t> index = policy == PolicyKind::LeastExpected
        ? Private::chooseLeastExpected(candidates, load)
        : this->d->policy(policy).choose(load, choice);
    if (!index && usable > 0) {
        index = this->d->policy(PolicyKind::LeastLoaded).choose(load, choice);
    }
    if (!index) {
        return std::nullopt;
    }
    return ChosenTarget{candidates[*index]->target, load.targets[*index].inFlight, load.total, usable};
}

std::optional<GatewayTarget> TargetBoard::findCopySource(const std::vector<TargetId> &holders, Millis now)
{
    this->d->expire(now);
    const TargetState *best = nullptr;
    for (const TargetId &holder : holders) {
        const TargetState *state = this->d->find(holder);
        const bool isSound
            = state != nullptr && state->isListed && !state->health.isEjected(now) && now >= state->backoffUntil;
        if (isSound && (best == nullptr || Private::inFlight(*state) < Private::inFlight(*best))) {
            best = state;
        }
    }
    return best != nullptr ? std::optional(best->target) : std::nullopt;
}

void TargetBoard::recordStart(const TargetId &target)
{
    if (TargetState *state = this->d->find(target)) {
        state->ownInFlight += 1;
        state->sentSinceReport += 1;
        state->lastSentNumber = ++this->d->sentCount;
    }
}

void TargetBoard::recordActivity(const TargetId &target, Millis now)
{
    if (TargetState *state = this->d->find(target)) {
        state->lastActivityAt = now;
    }
}

Millis TargetBoard::lastActivity(const TargetId &target) const
{
    const TargetState *state = this->d->find(target);
    return state != nullptr ? state->lastActivityAt : Millis{0};
}

bool TargetBoard::markLeaving(const TargetId &target, Millis now)
{
    TargetAnnouncement &announcement = this->d->announcements[target];
    announcement.announcedAt = now;
    const bool isNew = !std::exchange(announcement.hasAnnouncedLeaving, true);
    if (isNew) {
        this->d->groupByService();
    }
    return isNew;
}

void TargetBoard::setBackoff(const TargetId &target, Millis until, Millis now)
{
    TargetAnnouncement &announcement = this->d->announcements[target];
    announcement.announcedAt = now;
    announcement.backoffUntil = std::max(announcement.backoffUntil, std::min(until, now + maxTargetBackoff));
    if (TargetState *state = this->d->find(target)) {
        state->backoffUntil = announcement.backoffUntil;
    }
}

std::optional<Millis> TargetBoard::remainingBackoff(const PoolId &service, Millis now) const
{
    const auto found = this->d->byService.find(service);
    if (found == this->d->byService.end() || found->second.empty()) {
        return std::nullopt;
    }
    const auto first
        = std::min_element(found->second.begin(), found->second.end(), [](const TargetState *a, const TargetState *b) {
              return a->backoffUntil < b->backoffUntil;
          });
    return now < (*first)->backoffUntil ? std::optional((*first)->backoffUntil - now) : std::nullopt;
}

void TargetBoard::recordAnswerTime(const TargetId &target, Millis elapsed)
{
    if (TargetState *state = this->d->find(target)) {
        const auto elapsedMs = static_cast<double>(elapsed.count);
        state->averageAnswerMs
            += state->averageAnswerMs > 0 ? (elapsedMs - state->averageAnswerMs) * answerTimeWeight : elapsedMs;
    }
}

void TargetBoard::recordEnd(const TargetId &target, TargetOutcome outcome, Millis now)
{
    TargetState *state = this->d->find(target);
    if (state == nullptr) {
        return;
    }
    state->ownInFlight -= std::min<std::uint32_t>(state->ownInFlight, 1);
    switch (outcome) {
    case TargetOutcome::Answered:
        state->health.recordSuccess(now);
        break;
    case TargetOutcome::Failed:
        state->health.recordFailure(now, FailureWeight::Light);
        break;
    case TargetOutcome::Lost:
        state->health.recordFailure(now, FailureWeight::Heavy);
        break;
    case TargetOutcome::Full:
        state->fullUntil = now + fullTargetBackoff;
        break;
    case TargetOutcome::Neutral:
        break;
    }
    if (!state->isListed && state->ownInFlight == 0) {
        this->d->targets.erase(target);
    }
}

void TargetBoard::beginRound()
{
    for (auto &[id, state] : this->d->targets) {
        state.sentSinceReport = 0;
        const double current = Private::inFlight(state);
        const double before = state.averageLoad.value_or(current);
        state.averageLoad = before + (current - before) * roundLoadWeight;
    }
}

std::vector<GatewayLoad> TargetBoard::loads(const std::vector<InstanceId> &excludedPeers, Millis now)
{
    this->d->expire(now);
    std::vector<const PeerLoads *> leftOut;
    for (const InstanceId &peer : excludedPeers) {
        const auto found = this->d->peers.find(peer);
        if (found != this->d->peers.end()) {
            leftOut.push_back(&found->second);
        }
    }
    std::vector<GatewayLoad> all;
    for (const auto &[id, state] : this->d->targets) {
        std::uint32_t total = Private::inFlight(state);
        for (const PeerLoads *loads : leftOut) {
            const auto found = loads->inFlight.find(id);
            total -= found != loads->inFlight.end() ? std::min(total, found->second) : 0;
        }
        const bool suspected = state.health.isEjected(now);
        if (total > 0 || suspected) {
            all.push_back({id, total, suspected});
        }
    }
    return all;
}

std::vector<GatewayLoad> TargetBoard::ownLoads(Millis now) const
{
    std::vector<GatewayLoad> all;
    for (const auto &[id, state] : this->d->targets) {
        const bool suspected = state.health.isEjected(now);
        if (state.ownInFlight > 0 || suspected) {
            all.push_back({id, state.ownInFlight, suspected});
        }
    }
    return all;
}

bool TargetBoard::isReplaced(const GatewayTarget &target) const
{
    const auto present = this->d->currentIncarnations.find(listedName(target));
    return present != this->d->currentIncarnations.end() && present->second != target.id;
}

bool TargetBoard::isListed(const TargetId &target) const
{
    const TargetState *state = this->d->find(target);
    return state != nullptr && state->isListed;
}

bool TargetBoard::isEligible(const TargetId &target) const
{
    const TargetState *state = this->d->find(target);
    return state != nullptr && this->d->isEligible(*state);
}

std::size_t TargetBoard::targetCount(const PoolId &service) const
{
    const auto found = this->d->byService.find(service);
    return found != this->d->byService.end() ? found->second.size() : 0;
}

std::uint64_t TargetBoard::inFlight(const PoolId &service, Millis now) const
{
    this->d->expire(now);
    std::uint64_t total = 0;
    const auto found = this->d->byService.find(service);
    if (found != this->d->byService.end()) {
        for (const TargetState *state : found->second) {
            total += Private::inFlight(*state);
        }
    }
    return total;
}

std::uint64_t TargetBoard::totalSlots(const PoolId &service) const
{
    std::uint64_t total = 0;
    const auto found = this->d->byService.find(service);
    if (found != this->d->byService.end()) {
        for (const TargetState *state : found->second) {
            total += state->target.slots;
        }
    }
    return total;
}

} // namespace Sequoiausher
