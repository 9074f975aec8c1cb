#include "sequoiausher/coordination/gateway/targetboard.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/gateway/targetselector.h"
#include "sequoiausher/coordination/gateway/trafficshare.h"
#include "sequoiausher/coordination/policies/loadbound.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <unordered_set>
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
/** The weight of one answer in the moving average of a target's answer times, which covers about ten answers. */
constexpr double answerTimeWeight = 0.1;
/** The weight of one round in the moving average of a target's load, which covers about five rounds. */
constexpr double roundLoadWeight = 0.2;
/**
 * How long an announcement is kept. A leaving target is gone long before, but a restored older store may list it again.
 */
constexpr Millis announcementTtl{600000};
constexpr Millis maxTargetBackoff{3600000};
constexpr Millis maxColdTime{600000};
/**
 * How long a target at whose address another one answered gets no requests. By then the store has removed the entry of
 * an incarnation that has ended, or the target answers again.
 */
constexpr Millis misdirectedMemory{3000};
/** How long rejections are remembered, a little longer than a target counts them. */
constexpr Millis rejectionMemory{1500};
/** The span within which the sends to a target are counted. */
constexpr Millis sendWindow{1000};
/** The mean age of loads when they arrive: one report, one relay by a hub, half of an interval. */
constexpr Millis reportDelay{450};

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
    std::unordered_set<TargetId> suspected;
    std::unordered_set<TargetId> misdirected;
    Millis at;
    /** The link to the peer has broken since. */
    bool isLost = false;
};

} // namespace

class TargetBoard::Private
{
public:
    /** Adds the peer's reported loads to the sums. */
    void add(const PeerLoads &loads)
    {
        for (const auto &[id, inFlight] : loads.inFlight) {
            if (TargetState *target = this->find(id)) {
                target->peersInFlight += inFlight;
                target->lostPeersInFlight += loads.isLost ? inFlight : 0;
            }
        }
        for (const TargetId &id : loads.suspected) {
            if (TargetState *target = this->find(id)) {
                target->peersSuspecting += 1;
            }
        }
        for (const TargetId &id : loads.misdirected) {
            if (TargetState *target = this->find(id)) {
                target->peersMisdirected += 1;
            }
        }
    }

    /** Subtracts the peer's reported loads from the sums. */
    void forget(const PeerLoads &loads)
    {
        for (const auto &[id, inFlight] : loads.inFlight) {
            if (TargetState *target = this->find(id)) {
                target->peersInFlight -= std::min(target->peersInFlight, inFlight);
                target->lostPeersInFlight -= loads.isLost ? std::min(target->lostPeersInFlight, inFlight) : 0;
            }
        }
        for (const TargetId &id : loads.suspected) {
            if (TargetState *target = this->find(id)) {
                target->peersSuspecting -= std::min<std::uint32_t>(target->peersSuspecting, 1);
            }
        }
        for (const TargetId &id : loads.misdirected) {
            if (TargetState *target = this->find(id)) {
                target->peersMisdirected -= std::min<std::uint32_t>(target->peersMisdirected, 1);
            }
        }
    }

    LoadKnowledge knowledgeOf(const TargetState &target, Millis now) const
    {
        LoadKnowledge knowledge{target.ownInFlight, this->peers.size(), Millis{0}};
        for (const auto &[peer, loads] : this->peers) {
            knowledge.oldestReport = std::max(knowledge.oldestReport, now - loads.at);
        }
        return knowledge;
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

    /** The age of the loads that this gateway goes by, as the mean over the peers. */
    double averageReportAgeMs(Millis now) const
    {
        if (this->peers.empty()) {
            return static_cast<double>(peerLoadTtl.count);
        }
        double total = 0;
        for (const auto &[peer, loads] : this->peers) {
            total += static_cast<double>((now - loads.at).count);
        }
        return static_cast<double>(reportDelay.count) + total / static_cast<double>(this->peers.size());
    }

    /**
     * Estimates the requests that the peers send to these targets while no gateway knows of the others'. It takes the
     * sends to all of them together: in a large fleet a gateway's own sends to one target are too few to go by.
     */
    double estimateUnreportedAt(const std::vector<TargetId> &holders, Millis now)
    {
        double own = 0;
        for (const TargetId &holder : holders) {
            const TargetState *target = this->find(holder);
            own += target != nullptr ? static_cast<double>(target->sentWithin(sendWindow, now)) : 0;
        }
        const double unlikelyByChance = std::max(own - chanceRequestsPerReport, 0.0);
        const double perMs = unlikelyByChance / static_cast<double>(sendWindow.count);
        return perMs * static_cast<double>(this->otherGateways) * this->averageReportAgeMs(now);
    }

    /** Rebuilds the lists of eligible targets by service. */
    void groupByService()
    {
        this->byService.clear();
        this->lastingCounts.clear();
        for (auto &[id, state] : this->targets) {
            state.isEvacuated = this->evacuated.contains(state.target.dataCentre);
            const auto region = this->regions.find(state.target.dataCentre);
            state.region = region != this->regions.end() ? region->second : RegionId();
            if (const std::optional<Ineligibility> reason = findLastingIneligibility(state)) {
                this->lastingCounts[state.target.service].add(*reason);
            } else {
                this->byService[state.target.service].push_back(&state);
            }
        }
    }

    void presumeCold(TargetState &target, Millis now) const
    {
        const auto time = this->coldTimes.find(target.target.service);
        if (time != this->coldTimes.end()) {
            target.presumedColdUntil = now + time->second;
        }
    }

    void setCold(const TargetId &target, Millis until)
    {
        this->coldUntil[target] = until;
        if (TargetState *state = this->find(target)) {
            state->coldUntil = until;
        }
    }

    TargetState *find(const TargetId &id)
    {
        const auto found = this->targets.find(id);
        return found != this->targets.end() ? &found->second : nullptr;
    }

    TargetSelector &selector(PolicyKind kind)
    {
        std::unique_ptr<TargetSelector> &created = this->selectors[kind];
        if (!created) {
            created = makeTargetSelector(kind, this->seed);
        }
        return *created;
    }

    EligibilityCriteria eligibilityOf(const TargetCriteria &criteria) const
    {
        return {
            criteria.excluded, criteria.allowedRegions, this->coldLimit, this->brittleLimit, criteria.softwareVersion};
    }

    using Reasons = std::vector<std::optional<Ineligibility>>;
    /**
     * Whether most of the targets that accept requests fail or are full. Then the cause is not in the targets alone,
     * and passing them over would overload the rest. For a request that only one software version can serve, only the
     * targets that it could still go to count, since it has no others.
     */
    static bool
    isMajorityDoubtful(const std::vector<TargetState *> &candidates, const Reasons &reasons, bool isBound, Millis now);
    /** Takes cold targets out of the choice if any other target is usable. */
    static void passOverCold(const std::vector<TargetState *> &candidates,
                             PoolLoad &load,
                             IneligibilityCounts &passedOver,
                             Millis now);
    PoolLoad loadOf(const std::vector<TargetState *> &candidates,
                    const TargetCriteria &criteria,
                    const TargetSelector &selector,
                    IneligibilityCounts &passedOver,
                    Millis now) const;

    std::uint64_t seed = 0;
    std::map<TargetId, TargetState> targets;
    /** The targets of each service without a lasting reason to pass them over. */
    std::map<PoolId, std::vector<TargetState *>> byService;
    /** The other targets of each service, by reason. */
    std::map<PoolId, IneligibilityCounts> lastingCounts;
    std::set<DataCentreId> evacuated;
    std::map<DataCentreId, RegionId> regions;
    std::map<PoolId, Millis> coldTimes;
    ColdTargetLimit *coldLimit = nullptr;
    BrittleTargetLimit *brittleLimit = nullptr;
    /** Until when targets are cold; kept apart from their states, because this may be known before they are listed. */
    std::map<TargetId, Millis> coldUntil;
    /** Targets were set before: one that is new now has just started. */
    bool hasTargets = false;
    /** The current incarnation of each listed target, by the target's listed name. */
    std::unordered_map<TargetId, TargetId> currentIncarnations;
    /** Kept longer than the list's entries, because an entry may come back. */
    std::map<TargetId, TargetAnnouncement> announcements;
    std::map<InstanceId, PeerLoads> peers;
    std::size_t otherGateways = 0;
    OverdueRequests overdue;
    std::map<PoolId, TrafficShare> trafficShares;
    TrafficShare allTraffic;
    /** The number of requests sent so far. */
    std::uint64_t sentCount = 0;
    std::map<PolicyKind, std::unique_ptr<TargetSelector>> selectors;
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
        const auto [found, isNew] = this->d->targets.try_emplace(target.id);
        TargetState &state = found->second;
        state.target = target;
        const auto cold = this->d->coldUntil.find(target.id);
        if (cold != this->d->coldUntil.end()) {
            state.coldUntil = cold->second;
        } else if (isNew && this->d->hasTargets) {
            // A peer's list may arrive a moment before the report that states which targets are cold.
            this->d->presumeCold(state, now);
        }
        state.hash = hash64(target.id.value);
        state.isListed = true;
        const auto announcement = this->d->announcements.find(target.id);
        const bool hasAnnounced = announcement != this->d->announcements.end();
        state.backoffUntil = hasAnnounced ? announcement->second.backoffUntil : Millis{0};
        state.hasAnnouncedLeaving = hasAnnounced && announcement->second.hasAnnouncedLeaving;
    }
    this->d->hasTargets = this->d->hasTargets || !targets.empty();
    std::erase_if(this->d->coldUntil, [this, now](const auto &entry) {
        return now >= entry.second && !this->d->targets.contains(entry.first);
    });
    std::erase_if(this->d->targets,
                  [](const auto &entry) { return !entry.second.isListed && entry.second.ownInFlight == 0; });
    for (auto &[id, state] : this->d->targets) {
        state.peersInFlight = 0;
        state.lostPeersInFlight = 0;
        state.peersSuspecting = 0;
        state.peersMisdirected = 0;
    }
    this->d->groupByService();
    for (const auto &[peer, loads] : this->d->peers) {
        this->d->add(loads);
    }
}

void TargetBoard::setRegions(std::map<DataCentreId, RegionId> regions)
{
    this->d->regions = std::move(regions);
    this->d->groupByService();
}

void TargetBoard::setEvacuated(std::set<DataCentreId> dataCentres, Millis now)
{
    for (auto &[id, state] : this->d->targets) {
        if (state.isEvacuated && !dataCentres.contains(state.target.dataCentre)) {
            this->d->presumeCold(state, now);
        }
    }
    this->d->evacuated = std::move(dataCentres);
    this->d->groupByService();
}

void TargetBoard::setColdTimes(std::map<PoolId, Millis> times)
{
    this->d->coldTimes = std::move(times);
}

void TargetBoard::setColdLimit(ColdTargetLimit *limit)
{
    this->d->coldLimit = limit;
}

void TargetBoard::setBrittleLimit(BrittleTargetLimit *limit)
{
    this->d->brittleLimit = limit;
}

void TargetBoard::recordCold(const TargetId &target, Millis remaining, Millis now)
{
    this->d->setCold(target, now + std::min(remaining, maxColdTime));
}

void TargetBoard::recordPeerCold(const std::vector<GatewayColdTarget> &coldTargets, Millis now)
{
    for (const GatewayColdTarget &cold : coldTargets) {
        const Millis until = now + std::min(cold.remaining, maxColdTime);
        const auto known = this->d->coldUntil.find(cold.target);
        if (known == this->d->coldUntil.end() || known->second < until) {
            this->d->setCold(cold.target, until);
        }
    }
}

std::vector<GatewayColdTarget> TargetBoard::coldTargets(Millis now) const
{
    std::vector<GatewayColdTarget> all;
    for (const auto &[target, until] : this->d->coldUntil) {
        if (now < until) {
            all.push_back({target, until - now});
        }
    }
    return all;
}

void TargetBoard::updatePeerLoads(const InstanceId &peer, const std::vector<GatewayLoad> &loads, Millis now)
{
    this->d->expire(now);
    PeerLoads &reported = this->d->peers[peer];
    this->d->forget(reported);
    reported.at = now;
    reported.isLost = false;
    reported.inFlight.clear();
    reported.suspected.clear();
    reported.misdirected.clear();
    for (const GatewayLoad &load : loads) {
        if (load.inFlight > 0) {
            reported.inFlight[load.target] = load.inFlight;
        }
        if (load.misdirected) {
            reported.misdirected.insert(load.target);
        }
        if (load.suspected) {
            reported.suspected.insert(load.target);
            if (TargetState *target = this->d->find(load.target)) {
                target->health.recordPeerSuspicion(now);
            }
        }
    }
    this->d->add(reported);
}

void TargetBoard::markPeerLost(const InstanceId &peer, Millis now)
{
    this->d->expire(now);
    const auto reported = this->d->peers.find(peer);
    if (reported != this->d->peers.end()) {
        this->d->forget(reported->second);
        reported->second.isLost = true;
        this->d->add(reported->second);
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

void TargetBoard::setOverdueRequests(const OverdueRequests &overdue)
{
    this->d->overdue = overdue;
}

void TargetBoard::setOtherGateways(std::size_t count)
{
    this->d->otherGateways = count;
}

bool TargetBoard::Private::isMajorityDoubtful(const std::vector<TargetState *> &candidates,
                                              const Reasons &reasons,
                                              bool isBound,
                                              Millis now)
{
    std::size_t accepting = 0;
    std::size_t doubtful = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool isCounted = !isBound || !reasons[i] || isDisregardable(*reasons[i]);
        const bool isAccepting = now >= candidates[i]->backoffUntil && isCounted;
        accepting += isAccepting ? 1 : 0;
        doubtful += isAccepting && isDoubtful(*candidates[i], now) ? 1 : 0;
    }
    return doubtful * 2 > accepting;
}

void TargetBoard::Private::passOverCold(const std::vector<TargetState *> &candidates,
                                        PoolLoad &load,
                                        IneligibilityCounts &passedOver,
                                        Millis now)
{
    std::vector<TargetLoad *> cold;
    bool isOtherUsable = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (load.targets[i].usable) {
            const bool isCold = candidates[i]->isCold(now);
            isOtherUsable = isOtherUsable || !isCold;
            if (isCold) {
                cold.push_back(&load.targets[i]);
            }
        }
    }
    for (TargetLoad *target : cold) {
        target->usable = !isOtherUsable;
        if (isOtherUsable) {
            passedOver.add(Ineligibility::Cold);
        }
    }
}

PoolLoad TargetBoard::Private::loadOf(const std::vector<TargetState *> &candidates,
                                      const TargetCriteria &criteria,
                                      const TargetSelector &selector,
                                      IneligibilityCounts &passedOver,
                                      Millis now) const
{
    const EligibilityCriteria asked = this->eligibilityOf(criteria);
    PoolLoad load;
    load.targets.reserve(candidates.size());
    Reasons reasons;
    reasons.reserve(candidates.size());
    for (TargetState *state : candidates) {
        state->updateOwnLoad(this->overdue, now);
        const std::optional<Ineligibility> &reason = reasons.emplace_back(findIneligibility(*state, asked, now));
        if (reason) {
            passedOver.add(*reason);
        }
        load.total += state->inFlight() - state->lostPeersInFlight;
        load.counted += 1;
        const std::uint32_t estimated = selector.estimateInFlight(*state) + this->estimateUnreportedRequests(*state);
        load.targets.push_back({state->target.id, state->hash, estimated, state->inFlight(), !reason});
    }
    if (isMajorityDoubtful(candidates, reasons, criteria.softwareVersion.has_value(), now)) {
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            load.targets[i].usable = !reasons[i] || isDisregardable(*reasons[i]);
        }
    }
    if (this->coldLimit != nullptr && this->coldLimit->isLastResort()) {
        passOverCold(candidates, load, passedOver, now);
    }
    load.minimumBound = loadBound(criteria.boundPercent, load.total, load.counted) + boundSlackRequests;
    return load;
}

std::optional<ChosenTarget> TargetBoard::choose(const TargetCriteria &criteria, Millis now)
{
    this->d->expire(now);
    const std::vector<TargetState *> &candidates = this->d->byService[criteria.service];
    TargetSelector &selector = this->d->selector(criteria.policy);
    IneligibilityCounts passedOver = this->d->lastingCounts[criteria.service];
    const PoolLoad load = this->d->loadOf(candidates, criteria, selector, passedOver, now);
    const auto usable = std::count_if(
        load.targets.begin(), load.targets.end(), [](const TargetLoad &target) { return target.usable; });
    const SelectionRequest request{criteria.boundPercent,
                                   criteria.partHash,
                                   criteria.firstPartHash,
                                   criteria.holders,
                                   this->d->estimateUnreportedAt(criteria.holders, now),
                                   criteria.requestHash};
    const SelectionInput input{candidates, load, request};
    std::optional<std::size_t> index = selector.select(input);
    if (!index && usable > 0) {
        index = this->d->selector(PolicyKind::LeastLoaded).select(input);
    }
    if (!index) {
        return std::nullopt;
    }
    return ChosenTarget{candidates[*index]->target,
                        load.targets[*index].inFlight,
                        load.total,
                        static_cast<std::size_t>(usable),
                        passedOver,
                        this->d->knowledgeOf(*candidates[*index], now)};
}

std::optional<ChosenTarget> TargetBoard::findUsable(const TargetCriteria &criteria, const TargetId &target, Millis now)
{
    this->d->expire(now);
    const std::vector<TargetState *> &candidates = this->d->byService[criteria.service];
    IneligibilityCounts passedOver = this->d->lastingCounts[criteria.service];
    const PoolLoad load = this->d->loadOf(candidates, criteria, this->d->selector(criteria.policy), passedOver, now);
    std::optional<ChosenTarget> found;
    std::size_t usable = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        usable += load.targets[i].usable ? 1 : 0;
        if (load.targets[i].usable && candidates[i]->target.id == target) {
            found = ChosenTarget{candidates[i]->target,
                                 load.targets[i].inFlight,
                                 load.total,
                                 0,
                                 passedOver,
                                 this->d->knowledgeOf(*candidates[i], now)};
        }
    }
    if (found) {
        found->usableTargetCount = usable;
    }
    return found;
}

std::vector<ServiceTarget> TargetBoard::serviceTargets(const TargetCriteria &criteria, Millis now)
{
    this->d->expire(now);
    const std::vector<TargetState *> &candidates = this->d->byService[criteria.service];
    IneligibilityCounts passedOver;
    const PoolLoad load = this->d->loadOf(candidates, criteria, this->d->selector(criteria.policy), passedOver, now);
    std::vector<ServiceTarget> all;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const TargetState &state = *candidates[i];
        all.push_back(
            {state.target.id, state.target.slots, state.inFlight(), load.targets[i].usable, state.lostPeersInFlight});
    }
    return all;
}

std::vector<ServiceTarget> TargetBoard::targetsWithoutNewRequests(const PoolId &service)
{
    std::vector<ServiceTarget> all;
    for (const auto &[id, state] : this->d->targets) {
        if (state.isListed && state.target.service == service && findLastingIneligibility(state)) {
            all.push_back({id, state.target.slots, state.inFlight(), false, state.lostPeersInFlight});
        }
    }
    return all;
}

IneligibilityCounts TargetBoard::countIneligible(const TargetCriteria &criteria, Millis now) const
{
    const EligibilityCriteria asked = this->d->eligibilityOf(criteria);
    IneligibilityCounts counts;
    for (const auto &[id, state] : this->d->targets) {
        if (state.target.service == criteria.service) {
            if (const auto reason = findIneligibility(state, asked, now)) {
                counts.add(*reason);
            }
        }
    }
    return counts;
}

std::optional<GatewayTarget>
TargetBoard::findCopySource(const std::vector<TargetId> &holders, const AllowedRegions &allowedRegions, Millis now)
{
    this->d->expire(now);
    const TargetState *best = nullptr;
    for (const TargetId &holder : holders) {
        const TargetState *state = this->d->find(holder);
        const bool isSound = state != nullptr && state->isListed && !state->health.isEjected(now)
            && now >= state->backoffUntil && isAllowed(allowedRegions, state->region);
        if (isSound && (best == nullptr || state->inFlight() < best->inFlight())) {
            best = state;
        }
    }
    return best != nullptr ? std::optional(best->target) : std::nullopt;
}

void TargetBoard::recordStart(const TargetId &target, Millis now)
{
    if (TargetState *state = this->d->find(target)) {
        std::erase_if(state->recentSends, [now](Millis at) { return at <= now - sendWindow; });
        state->recentSends.push_back(now);
        state->ownInFlight += 1;
        state->ownSends.push_back(now);
        state->updateOwnLoad(this->d->overdue, now);
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
    if (TargetState *state = this->d->find(target); state != nullptr && isNew) {
        state->hasAnnouncedLeaving = true;
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
    if (state->ownInFlight > 0) {
        state->ownInFlight -= 1;
        state->ownSends.pop_front();
    }
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
    case TargetOutcome::Misdirected:
        state->misdirectedUntil = now + misdirectedMemory;
        state->health.recordFailure(now, FailureWeight::Heavy);
        break;
    case TargetOutcome::Full:
        state->fullUntil = now + fullTargetBackoff;
        std::erase_if(state->recentRejections, [now](Millis at) { return at <= now - rejectionMemory; });
        state->recentRejections.push_back(now);
        break;
    case TargetOutcome::Neutral:
        break;
    }
    state->updateOwnLoad(this->d->overdue, now);
    if (!state->isListed && state->ownInFlight == 0) {
        this->d->targets.erase(target);
    }
}

double TargetBoard::shareOfTraffic(const PoolId &service, std::size_t gateways) const
{
    const auto found = this->d->trafficShares.find(service);
    return found != this->d->trafficShares.end() ? found->second.of(gateways) : TrafficShare().of(gateways);
}

double TargetBoard::shareOfAllTraffic(std::size_t gateways) const
{
    return this->d->allTraffic.of(gateways);
}

void TargetBoard::beginRound()
{
    double allOwn = 0;
    double allOthers = 0;
    for (const auto &[service, states] : this->d->byService) {
        double own = 0;
        double others = 0;
        for (const TargetState *state : states) {
            own += state->ownLoad;
            others += state->peersInFlight;
        }
        this->d->trafficShares[service].recordRound(own, others);
        allOwn += own;
        allOthers += others;
    }
    this->d->allTraffic.recordRound(allOwn, allOthers);
    for (auto &[id, state] : this->d->targets) {
        state.sentSinceReport = 0;
        const double current = state.inFlight();
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
    for (auto &[id, state] : this->d->targets) {
        state.updateOwnLoad(this->d->overdue, now);
        std::uint32_t total = state.inFlight();
        std::uint32_t suspecting = state.peersSuspecting;
        std::uint32_t misdirecting = state.peersMisdirected;
        for (const PeerLoads *loads : leftOut) {
            const auto found = loads->inFlight.find(id);
            total -= found != loads->inFlight.end() ? std::min(total, found->second) : 0;
            suspecting -= loads->suspected.contains(id) ? std::min<std::uint32_t>(suspecting, 1) : 0;
            misdirecting -= loads->misdirected.contains(id) ? std::min<std::uint32_t>(misdirecting, 1) : 0;
        }
        const bool suspected = suspecting > 0 || state.health.isEjectedByOwnRequests(now);
        const bool misdirected = misdirecting > 0 || now < state.misdirectedUntil;
        if (total > 0 || suspected || misdirected) {
            all.push_back({id, total, suspected, misdirected});
        }
    }
    return all;
}

std::vector<GatewayLoad> TargetBoard::ownLoads(Millis now) const
{
    std::vector<GatewayLoad> all;
    for (const auto &[id, state] : this->d->targets) {
        const bool suspected = state.health.isEjectedByOwnRequests(now);
        const bool misdirected = now < state.misdirectedUntil;
        if (state.ownInFlight > 0 || suspected || misdirected) {
            all.push_back({id, state.estimateOwnLoad(this->d->overdue, now), suspected, misdirected});
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

bool TargetBoard::isStaying(const TargetId &target) const
{
    const TargetState *state = this->d->find(target);
    return state != nullptr && state->isListed && !state->target.isLeaving && !state->hasAnnouncedLeaving;
}

std::optional<GatewayTarget> TargetBoard::stayingTarget(const TargetId &target) const
{
    return this->isStaying(target) ? std::optional(this->d->find(target)->target) : std::nullopt;
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
        for (TargetState *state : found->second) {
            state->updateOwnLoad(this->d->overdue, now);
            total += state->inFlight();
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
