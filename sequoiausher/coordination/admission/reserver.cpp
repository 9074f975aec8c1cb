#include "sequoiausher/coordination/admission/reserver.h"

#include "sequoiausher/coordination/admission/holdingset.h"
#include "sequoiausher/coordination/admission/localplacement.h"
#include "sequoiausher/coordination/admission/localshare.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

// The lower bits of a sequence number count the reports and digests of one start of the router; the upper bits are its
// incarnation.
constexpr int sequenceBitsPerIncarnation = 20;
// A router that is preceded by at least this many routers in a target's rendezvous order has no local share while the
// target has this many free places or fewer, so it does not query the target's load.
constexpr std::size_t loadQueryRanks = 16;
// Retry delay of a request refused because giveUpAt has passed. The router's queue refuses late requests itself, so it
// may check again at once.
constexpr Millis lateRetryAfter{1};

/** A reservation that its owner has not granted or refused yet. */
struct PendingReservation
{
    PlacementRequest placementRequest;
    RequestId reservation;
    ShardRoute route;
    Millis deadline;
    /** How many times the request was sent without an answer. */
    std::uint32_t attempts = 0;
    /** The owner answered NotOwner, so the reservation waits until the routers' lists agree. */
    bool awaitsOwnerChange = false;
    /** The reservation was redirected to the router that a NotOwner answer named. */
    bool redirected = false;
    /** When to stop following NotOwner answers; set by the first of them. */
    Millis redirectDeadline = Millis::never();
};

/** A reservation that was granted. */
struct GrantedReservation
{
    RequestId reservation;
    PoolId pool;
    TargetId target;
    InstanceId grantedBy;
    bool isLocal = false;
};

} // namespace

class Reserver::Private
{
public:
    Private(InstanceId name, const ReserverSettings &reserverSettings, std::uint64_t seed, const ShardMap &shards)
        : self(name)
        , settings(reserverSettings)
        , map(shards)
        , placement(std::move(name), reserverSettings.reportedLoadTtl, seed)
    {
    }

    void sendRequest(Millis now, PendingReservation &pendingReservation, Outbox &outbox);
    void reroute(Millis now, PendingReservation &pendingReservation, Outbox &outbox);
    void requestFrom(Millis now, PendingReservation &pendingReservation, const ShardRoute &route, Outbox &outbox);
    void handleNotOwner(Millis now, PendingReservation &pendingReservation, const InstanceId &named, Outbox &outbox);
    void cancelPending(PendingReservation &pendingReservation, Outbox &outbox) const;
    void grant(const PendingReservation &pendingReservation, const TargetId &target, bool isLocal);
    void refuse(const RequestId &request, ReserveOutcome outcome, Millis retryAfter);
    void placeLocally(Millis now, const RequestId &request);
    void handleTimeout(Millis now, const RequestId &request, Outbox &outbox);
    void report(const ShardId &shard, Outbox &outbox);
    void sendReport(const ShardId &shard, const InstanceId &owner, Outbox &outbox);
    void sendDigest(const ShardId &shard, const InstanceId &owner, Outbox &outbox);
    bool acceptsDigests(const ShardId &shard, const InstanceId &owner) const;
    bool isUnreachable(Millis now, const InstanceId &owner) const;
    std::set<InstanceId> lateOwners() const;
    ShardId shardOf(const GrantedReservation &granted) const;
    void sendRelease(const InstanceId &to, const RequestId &reservation, const ShardId &shard, Outbox &outbox) const;
    void releaseGranted(const GrantedReservation &granted, Outbox &outbox);

    InstanceId self;
    ReserverSettings settings;
    const ShardMap &map;
    LocalPlacement placement;
    std::uint64_t sequence = 0;
    std::uint64_t reservationCount = 0;
    std::unordered_map<RequestId, PendingReservation> pending;
    std::unordered_map<RequestId, GrantedReservation> granted;
    /** Maps the reservation ids on the wire to the requests. */
    std::unordered_map<RequestId, RequestId> requestOf;
    /** Number of reservations of this router on each target. */
    TargetCounts heldCounts;
    std::map<InstanceId, Millis> unreachableUntil;
    std::map<ShardId, InstanceId> owners;
    /** The owners that accept digests; an entry is removed when the owner changes or its connection breaks. */
    std::map<ShardId, InstanceId> digestOwners;
    /**
     * The shards of the next round of reports: those asked since the last round, and those whose last report was not
     * empty. The report undoes a grant whose answer and release were both lost, even if this router holds nothing now.
     */
    std::map<ShardId, bool> reportDue;
    Millis nextReport;
    std::vector<ReserveResult> results;
};

bool Reserver::Private::isUnreachable(Millis now, const InstanceId &owner) const
{
    const auto entry = this->unreachableUntil.find(owner);
    return owner.empty() || (entry != this->unreachableUntil.end() && now < entry->second);
}

// Owners that have not answered a request in time. If loads were queried only once an owner counts as unreachable, the
// first local placements would have no loads and be refused, with pool_full for half a second after an owner's death.
std::set<InstanceId> Reserver::Private::lateOwners() const
{
    std::set<InstanceId> late;
    for (const auto &entry : this->pending) {
        if (entry.second.attempts > 1) {
            late.insert(entry.second.route.owner);
        }
    }
    return late;
}

ShardId Reserver::Private::shardOf(const GrantedReservation &grantedReservation) const
{
    return ShardId{grantedReservation.pool,
                   this->map.shardOfTarget(grantedReservation.pool, grantedReservation.target)};
}

void Reserver::Private::sendRelease(const InstanceId &to,
                                    const RequestId &reservation,
                                    const ShardId &shard,
                                    Outbox &outbox) const
{
    if (!to.empty()) {
        outbox.push_back({to, Release{reservation, shard.pool, shard.shard}});
    }
}

void Reserver::Private::refuse(const RequestId &request, ReserveOutcome outcome, Millis retryAfter)
{
    this->results.push_back(ReserveResult{request, outcome, TargetId{}, retryAfter});
    const auto refused = this->pending.find(request);
    this->requestOf.erase(refused->second.reservation);
    this->pending.erase(refused);
}

void Reserver::Private::grant(const PendingReservation &pendingReservation, const TargetId &target, bool isLocal)
{
    const RequestId &request = pendingReservation.placementRequest.request;
    const InstanceId grantedBy = isLocal ? InstanceId{} : pendingReservation.route.owner;
    this->granted[request] = GrantedReservation{
        pendingReservation.reservation, pendingReservation.placementRequest.pool, target, grantedBy, isLocal};
    this->heldCounts[target] += 1;
    if (isLocal) {
        this->placement.recordPlacement(target);
    }
    const ReserveOutcome outcome = isLocal ? ReserveOutcome::GrantedLocally : ReserveOutcome::Granted;
    this->results.push_back(ReserveResult{request, outcome, target, Millis{}});
}

void Reserver::Private::releaseGranted(const GrantedReservation &grantedReservation, Outbox &outbox)
{
    decrementCount(this->heldCounts, grantedReservation.target);
    if (grantedReservation.isLocal) {
        this->placement.recordRemoval(grantedReservation.target);
    }
    const ShardId shard = this->shardOf(grantedReservation);
    const InstanceId owner = this->map.ownerOf(shard);
    this->sendRelease(owner, grantedReservation.reservation, shard, outbox);
    if (grantedReservation.grantedBy != owner) {
        // By its own lists, the router that granted the reservation may still own the shard.
        this->sendRelease(grantedReservation.grantedBy, grantedReservation.reservation, shard, outbox);
    }
    this->requestOf.erase(grantedReservation.reservation);
}

void Reserver::Private::sendRequest(Millis now, PendingReservation &pendingReservation, Outbox &outbox)
{
    const PlacementRequest &placementRequest = pendingReservation.placementRequest;
    pendingReservation.attempts += 1;
    this->reportDue[pendingReservation.route.shard] = true;
    pendingReservation.awaitsOwnerChange = false;
    pendingReservation.deadline = std::min(now + this->settings.replyTimeout, placementRequest.giveUpAt);
    outbox.push_back({pendingReservation.route.owner,
                      ReserveRequest{pendingReservation.reservation,
                                     placementRequest.pool,
                                     pendingReservation.route.shard.shard,
                                     placementRequest.chatHash,
                                     placementRequest.policy,
                                     placementRequest.boundPercent,
                                     placementRequest.excluded,
                                     placementRequest.requestClass,
                                     placementRequest.prefixHash,
                                     placementRequest.organisation}});
}

void Reserver::Private::cancelPending(PendingReservation &pendingReservation, Outbox &outbox) const
{
    // The owner may have granted the reservation, with the answer lost or late.
    this->sendRelease(
        pendingReservation.route.owner, pendingReservation.reservation, pendingReservation.route.shard, outbox);
}

void Reserver::Private::reroute(Millis now, PendingReservation &pendingReservation, Outbox &outbox)
{
    const std::optional<ShardRoute> route
        = this->map.routeOf(pendingReservation.placementRequest.pool, pendingReservation.placementRequest.chatHash);
    const RequestId request = pendingReservation.placementRequest.request;
    if (!route) {
        this->refuse(request, ReserveOutcome::NoTarget, this->settings.retryAfter);
        return;
    }
    pendingReservation.redirected = false;
    this->requestFrom(now, pendingReservation, *route, outbox);
}

void Reserver::Private::requestFrom(Millis now,
                                    PendingReservation &pendingReservation,
                                    const ShardRoute &route,
                                    Outbox &outbox)
{
    const RequestId request = pendingReservation.placementRequest.request;
    // Each move to another shard or owner gets a new id, so that a release of the earlier reservation cannot undo this
    // one.
    constexpr std::uint64_t idMultiplier = 0x9e3779b97f4a7c15ULL;
    this->requestOf.erase(pendingReservation.reservation);
    pendingReservation.route = route;
    this->reservationCount += 1;
    pendingReservation.reservation = RequestId{request.high, request.low ^ (this->reservationCount * idMultiplier)};
    this->requestOf[pendingReservation.reservation] = request;
    if (this->isUnreachable(now, route.owner)) {
        this->placeLocally(now, request);
        return;
    }
    this->sendRequest(now, pendingReservation, outbox);
}

// When a router returns, the shard's former owner may notice first and stop granting, while this router's list still
// names the former owner for about a second. Asking only the former owner until all attempts are used up would refuse
// requests (as pool_full, in a planned stop) although every target has room. So the router named in the answer is asked
// at once. If that router answers NotOwner too, the reservation waits for the lists to agree, for a bounded time.
void Reserver::Private::handleNotOwner(Millis now,
                                       PendingReservation &pendingReservation,
                                       const InstanceId &named,
                                       Outbox &outbox)
{
    if (pendingReservation.awaitsOwnerChange) {
        return;
    }
    // The owner answered, so the attempt does not count as unanswered.
    pendingReservation.attempts -= 1;
    if (pendingReservation.redirectDeadline == Millis::never()) {
        pendingReservation.redirectDeadline = now + this->settings.redirectTimeout;
    }
    const bool mayRedirect
        = !pendingReservation.redirected && named != pendingReservation.route.owner && !this->isUnreachable(now, named);
    if (mayRedirect) {
        pendingReservation.redirected = true;
        // The request may have been sent twice, and the router may own the shard again when the second copy arrives.
        // Without this release, that copy would be granted a place that nobody uses, and the target would count one
        // reservation too many for seconds.
        this->cancelPending(pendingReservation, outbox);
        this->requestFrom(now, pendingReservation, ShardRoute{pendingReservation.route.shard, named}, outbox);
        return;
    }
    pendingReservation.awaitsOwnerChange = true;
    pendingReservation.deadline = now + this->settings.notOwnerDelay;
}

void Reserver::Private::placeLocally(Millis now, const RequestId &request)
{
    const PendingReservation &pendingReservation = this->pending.at(request);
    const std::vector<TargetView> targets = this->map.targetsOf(pendingReservation.route.shard);
    const std::optional<TargetId> target = this->placement.choose(
        now, pendingReservation.placementRequest, targets, this->map.instances(), this->heldCounts);
    if (target) {
        this->grant(pendingReservation, *target, true);
        this->pending.erase(request);
        return;
    }
    this->refuse(request, ReserveOutcome::Unreachable, this->settings.retryAfter);
}

void Reserver::Private::handleTimeout(Millis now, const RequestId &request, Outbox &outbox)
{
    PendingReservation &pendingReservation = this->pending.at(request);
    if (now >= pendingReservation.placementRequest.giveUpAt) {
        this->cancelPending(pendingReservation, outbox);
        this->refuse(request, ReserveOutcome::Full, lateRetryAfter);
        return;
    }
    const bool sameOwner = this->map.ownerOf(pendingReservation.route.shard) == pendingReservation.route.owner;
    const bool mayRetry = pendingReservation.awaitsOwnerChange
        ? now < pendingReservation.redirectDeadline
        : pendingReservation.attempts < this->settings.maxAttempts;
    if (mayRetry) {
        if (sameOwner && !this->isUnreachable(now, pendingReservation.route.owner)) {
            this->sendRequest(now, pendingReservation, outbox);
            return;
        }
        this->cancelPending(pendingReservation, outbox);
        this->reroute(now, pendingReservation, outbox);
        return;
    }
    if (!pendingReservation.awaitsOwnerChange) {
        this->unreachableUntil[pendingReservation.route.owner] = now + this->settings.unreachableTime;
    }
    this->cancelPending(pendingReservation, outbox);
    this->placeLocally(now, request);
}

bool Reserver::Private::acceptsDigests(const ShardId &shard, const InstanceId &owner) const
{
    const auto known = this->digestOwners.find(shard);
    return known != this->digestOwners.end() && known->second == owner;
}

void Reserver::Private::report(const ShardId &shard, Outbox &outbox)
{
    const InstanceId owner = this->map.ownerOf(shard);
    if (owner.empty()) {
        return;
    }
    if (this->acceptsDigests(shard, owner)) {
        this->sendDigest(shard, owner, outbox);
    } else {
        this->sendReport(shard, owner, outbox);
    }
}

// Pending reservations are not in the digest, since the owner may count them or not. If the owner does, the digests
// differ and the owner asks for the report, which lists the pending reservations.
void Reserver::Private::sendDigest(const ShardId &shard, const InstanceId &owner, Outbox &outbox)
{
    HoldingSet set;
    for (const auto &entry : this->granted) {
        if (this->shardOf(entry.second) == shard) {
            set.add(entry.second.reservation);
        }
    }
    const bool isAsked = std::any_of(this->pending.begin(), this->pending.end(), [&shard](const auto &entry) {
        return entry.second.route.shard == shard;
    });
    this->reportDue[shard] = set.count > 0 || isAsked;
    outbox.push_back({owner, HoldingsDigest{shard.pool, shard.shard, ++this->sequence, set.count, set.digest}});
}

void Reserver::Private::sendReport(const ShardId &shard, const InstanceId &owner, Outbox &outbox)
{
    HoldingsReport message{shard.pool, shard.shard, ++this->sequence, {}};
    message.wantsAnswer = this->settings.sendsDigests && !this->acceptsDigests(shard, owner);
    for (const auto &entry : this->granted) {
        if (this->shardOf(entry.second) == shard) {
            message.holdings.push_back(Holding{entry.second.reservation, entry.second.target});
        }
    }
    for (const auto &entry : this->pending) {
        if (entry.second.route.shard == shard) {
            message.holdings.push_back(Holding{entry.second.reservation, TargetId{}});
        }
    }
    this->reportDue[shard] = !message.holdings.empty();
    outbox.push_back({owner, std::move(message)});
}

Reserver::Reserver(InstanceId self,
                   Incarnation incarnation,
                   const ReserverSettings &settings,
                   std::uint64_t seed,
                   const ShardMap &map)
    : d(std::make_unique<Private>(std::move(self), settings, seed, map))
{
    this->d->sequence = incarnation << sequenceBitsPerIncarnation;
}

Reserver::~Reserver() = default;

void Reserver::reserve(Millis now, const PlacementRequest &placementRequest, Outbox &outbox)
{
    this->release(now, placementRequest.request, outbox);
    PendingReservation &pending = this->d->pending[placementRequest.request];
    pending.placementRequest = placementRequest;
    this->d->reroute(now, pending, outbox);
}

void Reserver::release(Millis /*now*/, const RequestId &request, Outbox &outbox)
{
    const auto pending = this->d->pending.find(request);
    if (pending != this->d->pending.end()) {
        this->d->cancelPending(pending->second, outbox);
        this->d->requestOf.erase(pending->second.reservation);
        this->d->pending.erase(pending);
    }
    const auto granted = this->d->granted.find(request);
    if (granted != this->d->granted.end()) {
        this->d->releaseGranted(granted->second, outbox);
        this->d->granted.erase(granted);
    }
}

void Reserver::receive(Millis now, const InstanceId &from, const ReserveReply &message, Outbox &outbox)
{
    this->d->unreachableUntil.erase(from);
    const auto known = this->d->requestOf.find(message.request);
    const auto found
        = known == this->d->requestOf.end() ? this->d->pending.end() : this->d->pending.find(known->second);
    // Ignores late and repeated answers. If a late answer grants a reservation that was cancelled, the release sent at
    // the cancellation undoes the grant, or else the next report does.
    if (found == this->d->pending.end() || found->second.route.owner != from) {
        return;
    }
    const RequestId request = found->first;
    PendingReservation &pending = found->second;
    switch (message.verdict) {
    case ReserveVerdict::Granted:
        this->d->grant(pending, message.target, false);
        this->d->pending.erase(found);
        return;
    case ReserveVerdict::Full:
        this->d->refuse(request, ReserveOutcome::Full, message.retryAfter);
        return;
    case ReserveVerdict::NoTarget:
        this->d->refuse(request, ReserveOutcome::NoTarget, message.retryAfter);
        return;
    case ReserveVerdict::NotOwner:
        this->d->handleNotOwner(now, pending, message.owner, outbox);
        return;
    }
}

void Reserver::receive(const InstanceId &from, const HoldingsAnswer &message, Outbox &outbox)
{
    const ShardId shard{message.pool, message.shard};
    if (this->d->map.ownerOf(shard) != from) {
        return;
    }
    if (message.wantsReport) {
        this->d->sendReport(shard, from, outbox);
    } else if (this->d->settings.sendsDigests) {
        this->d->digestOwners[shard] = from;
    }
}

void Reserver::handleMapChange(Millis now, Outbox &outbox)
{
    std::map<ShardId, InstanceId> owners;
    for (const ShardId &shard : this->d->map.shards()) {
        owners[shard] = this->d->map.ownerOf(shard);
    }
    std::vector<RequestId> movedRequests;
    for (const auto &entry : this->d->pending) {
        const auto owner = owners.find(entry.second.route.shard);
        if (owner == owners.end() || owner->second != entry.second.route.owner) {
            movedRequests.push_back(entry.first);
        }
    }
    for (const RequestId &request : movedRequests) {
        PendingReservation &pending = this->d->pending.at(request);
        this->d->cancelPending(pending, outbox);
        this->d->reroute(now, pending, outbox);
    }
    for (const auto &entry : owners) {
        const auto before = this->d->owners.find(entry.first);
        if (before == this->d->owners.end() || before->second != entry.second) {
            this->d->digestOwners.erase(entry.first);
            this->d->report(entry.first, outbox);
        }
    }
    this->d->owners = std::move(owners);
}

void Reserver::markPeerUnreachable(Millis now, const InstanceId &peer, Outbox &outbox)
{
    // A router that has left is not marked: after a planned stop, its successor of the same name may take its shards
    // back within a second. If the name were marked, the successor would not be asked, and requests would be refused
    // just after each return.
    const std::vector<InstanceId> &live = this->d->map.instances();
    if (std::binary_search(live.begin(), live.end(), peer)) {
        this->d->unreachableUntil[peer] = now + this->d->settings.unreachableTime;
    }
    // The peer may restart with a version that does not support digests. It would ignore them and drop the reservations
    // of this router.
    std::erase_if(this->d->digestOwners, [&peer](const auto &entry) { return entry.second == peer; });
    std::vector<RequestId> affected;
    for (const auto &entry : this->d->pending) {
        if (entry.second.route.owner == peer) {
            affected.push_back(entry.first);
        }
    }
    for (const RequestId &request : affected) {
        PendingReservation &pending = this->d->pending.at(request);
        this->d->cancelPending(pending, outbox);
        this->d->reroute(now, pending, outbox);
    }
}

void Reserver::markPeerReachable(const InstanceId &peer)
{
    this->d->unreachableUntil.erase(peer);
}

void Reserver::recordLoad(const TargetId &target, const ReportedLoad &load)
{
    this->d->placement.recordLoad(target, load);
}

std::vector<TargetView> Reserver::targetsNeedingLoad(Millis now) const
{
    std::vector<TargetView> neededTargets;
    const std::set<InstanceId> late = this->d->lateOwners();
    for (const auto &entry : this->d->owners) {
        if (!this->d->isUnreachable(now, entry.second) && !late.contains(entry.second)) {
            continue;
        }
        for (const TargetView &target : this->d->map.targetsOf(entry.first)) {
            if (routerRank(this->d->map.instances(), this->d->self, target.hash) < loadQueryRanks) {
                neededTargets.push_back(target);
            }
        }
    }
    return neededTargets;
}

void Reserver::tick(Millis now, Outbox &outbox)
{
    std::vector<RequestId> expired;
    for (const auto &entry : this->d->pending) {
        if (now >= entry.second.deadline) {
            expired.push_back(entry.first);
        }
    }
    for (const RequestId &request : expired) {
        this->d->handleTimeout(now, request, outbox);
    }
    if (now < this->d->nextReport) {
        return;
    }
    this->d->nextReport = now + this->d->settings.reportInterval;
    for (const auto &entry : this->d->granted) {
        this->d->reportDue[this->d->shardOf(entry.second)] = true;
    }
    std::vector<ShardId> due;
    for (const auto &entry : this->d->reportDue) {
        if (entry.second) {
            due.push_back(entry.first);
        }
    }
    this->d->reportDue.clear();
    for (const ShardId &shard : due) {
        this->d->report(shard, outbox);
    }
    std::erase_if(this->d->unreachableUntil, [now](const auto &entry) { return now >= entry.second; });
    this->d->placement.dropStaleLoads(now);
}

Millis Reserver::nextDeadline() const
{
    Millis next = this->d->nextReport;
    for (const auto &entry : this->d->pending) {
        next = std::min(next, entry.second.deadline);
    }
    return next;
}

std::vector<ReserveResult> Reserver::takeResults()
{
    return std::exchange(this->d->results, {});
}

std::size_t Reserver::held() const
{
    return this->d->granted.size();
}

} // namespace Sequoiausher
