#include "sequoiausher/coordination/admission/shardowner.h"

#include "sequoiausher/coordination/admission/holdingset.h"
#include "sequoiausher/coordination/admission/organisationshares.h"
#include "sequoiausher/coordination/admission/recentchats.h"
#include "sequoiausher/coordination/admission/recentrequests.h"
#include "sequoiausher/coordination/admission/targetcount.h"
#include "sequoiausher/coordination/admission/waitinglist.h"
#include "sequoiausher/coordination/policies/loadbound.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace Sequoiausher {

namespace {

// 17 million chats on 625 shards are 27,000 chats for each shard.
constexpr std::size_t maxRecentChats = 32768;

struct CountedReservation
{
    InstanceId entry;
    TargetId target;
    Millis since;
    std::uint16_t organisation = 0;
};

struct EntryState
{
    std::uint64_t lastSequence = 0;
    Millis lastSeenAt;
    bool hasReported = false;
    std::unordered_set<RequestId> held;
};

struct TargetState
{
    TargetId target;
    LifeState state = LifeState::Live;
    std::optional<std::uint32_t> capacity;
    TargetCount count;
};

/**
 * Found in one pass over the waiting reservations: no target has room for requests of this class or a lower one with
 * this bound or a smaller one.
 */
struct FullThreshold
{
    std::optional<RequestClass> effectiveClass;
    std::uint32_t boundPercent = 0;
};

} // namespace

class ShardOwner::Private
{
public:
    explicit Private(const OwnerSettings &ownerSettings) : settings(ownerSettings), waiting(ownerSettings.maxWaiting)
    {
    }

    TargetState *find(const TargetId &target);
    std::uint32_t estimate(const TargetState &targetState, Millis now) const;
    void refreshLoad(Millis now);
    std::uint64_t suspectedLoad(Millis now) const;
    EntryState &recordContact(Millis now, const InstanceId &entry);
    std::uint64_t bound(std::uint32_t percent) const;
    void applyLimits(const ReserveRequest &message);
    bool isUsable(const TargetState &targetState, const ReserveRequest &message) const;
    RequestClass effectiveClass(const ReserveRequest &message) const;
    bool grantWaiting(Millis now, const WaitingReservation &waitingReservation, FullThreshold &full, Outbox &outbox);
    void refuseWaiting(Millis now, const WaitingReservation &refused, Millis retryAfter, Outbox &outbox);
    void countReservation(const RequestId &request, const CountedReservation &reservation);
    TargetId removeReservation(const RequestId &request);
    void discardReservation(const RequestId &request);
    bool isSettled(Millis now) const;
    ReserveReply decide(Millis now, const InstanceId &from, const ReserveRequest &message);
    Policy &policy(PolicyKind kind);

    ShardId shard;
    OwnerSettings settings;
    std::uint64_t seed = 0;
    Millis createdAt;
    std::vector<TargetState> targetStates;
    std::unordered_map<TargetId, std::size_t> indexOfTarget;
    /** Parallel to targetStates. Filled for each choice; a member only to avoid the allocations. */
    PoolLoad load;
    /** Upper estimate of what the live targets carry; load.total is the likely value. */
    std::uint64_t maxLoadTotal = 0;
    /** From heartbeats; poolTargets is 0 if the shard is the whole pool. */
    std::uint64_t poolTotal = 0;
    std::uint64_t poolTargets = 0;
    std::unordered_map<RequestId, CountedReservation> held;
    std::map<InstanceId, EntryState> entries;
    std::vector<InstanceId> awaitedEntries;
    /** Entries whose connection broke; until this time the mean does not include their reservations. */
    std::map<InstanceId, Millis> suspectedUntil;
    bool entriesKnown = false;
    std::unordered_set<RequestId> releasedRequests;
    std::deque<std::pair<Millis, RequestId>> releasedOrder;
    std::map<PolicyKind, std::unique_ptr<Policy>> policies;
    WaitingList waiting;
    /**
     * Requests refused after waiting. Without this record, an entry may ask again while the Full answer is on its way,
     * and the repeated request is granted. The entry receives Full first and ignores the grant as late, so the place
     * leaks until the entry's next report.
     */
    RecentRequests refused;
    OrganisationShares shares;
    /** Total capacity of the live targets, without those that state none. */
    std::uint64_t capacity = 0;
    RecentChats chats{maxRecentChats};
};

TargetState *ShardOwner::Private::find(const TargetId &target)
{
    const auto index = this->indexOfTarget.find(target);
    return index == this->indexOfTarget.end() ? nullptr : &this->targetStates[index->second];
}

bool ShardOwner::Private::isSettled(Millis now) const
{
    return now >= this->createdAt + this->settings.settleTime || (this->entriesKnown && this->awaitedEntries.empty());
}

std::uint32_t ShardOwner::Private::estimate(const TargetState &targetState, Millis now) const
{
    // A report measured before this owner started has no count of its time to be compared with, so work that began or
    // ended since would be counted wrongly. Once all entries have reported, the counts alone are more accurate.
    const Millis oldest = now - this->settings.reportedLoadTtl;
    return targetState.count.estimate(this->isSettled(now) ? std::max(oldest, this->createdAt) : oldest);
}

void ShardOwner::Private::refreshLoad(Millis now)
{
    this->load.total = 0;
    this->maxLoadTotal = 0;
    this->load.counted = 0;
    this->capacity = 0;
    for (std::size_t i = 0; i < this->targetStates.size(); ++i) {
        const TargetState &targetState = this->targetStates[i];
        TargetLoad &targetLoad = this->load.targets[i];
        const std::uint32_t estimated = this->estimate(targetState, now);
        // Counted requests may still be on their way to the target, so a lower report does not reduce the count.
        targetLoad.inFlight = std::max(targetState.count.counted(), estimated);
        targetLoad.reported = targetState.count.reported();
        if (targetState.state == LifeState::Live) {
            this->load.total += estimated;
            this->maxLoadTotal += targetLoad.inFlight;
            this->load.counted += 1;
            this->capacity += targetState.capacity.value_or(0);
        }
    }
    this->load.total -= std::min(this->load.total, this->suspectedLoad(now));
    // Uses the mean of the upper estimates, so that some target has room even if the reports are too low.
    this->load.minimumBound = loadBound(minimumBoundPercent, this->maxLoadTotal, this->load.counted);
}

// When an entry dies, all its streams end together, and the target reports that show this lag by up to a second. Until
// then the mean would be too high, and targets would be filled to a bound that the true mean no longer allows: the
// highest load over the mean would occur just after each death. With the smaller mean, the bound holds whether the
// entry died or not.
std::uint64_t ShardOwner::Private::suspectedLoad(Millis now) const
{
    std::uint64_t holdings = 0;
    for (const auto &suspected : this->suspectedUntil) {
        const auto entry = this->entries.find(suspected.first);
        holdings += now < suspected.second && entry != this->entries.end() ? entry->second.held.size() : 0;
    }
    return holdings;
}

EntryState &ShardOwner::Private::recordContact(Millis now, const InstanceId &entry)
{
    this->suspectedUntil.erase(entry);
    EntryState &state = this->entries[entry];
    state.lastSeenAt = now;
    return state;
}

bool ShardOwner::Private::isUsable(const TargetState &targetState, const ReserveRequest &message) const
{
    const auto &excluded = message.excluded;
    return targetState.state == LifeState::Live
        && std::find(excluded.begin(), excluded.end(), targetState.target) == excluded.end();
}

std::uint64_t ShardOwner::Private::bound(std::uint32_t percent) const
{
    // loadBound() adds the new request to the total. A release under way may make the total one too high, so one is
    // subtracted.
    std::uint64_t limit = loadBound(percent, std::max(this->load.total, std::uint64_t{1}) - 1, this->load.counted);
    if (this->poolTargets > 0) {
        limit = std::min(limit, loadBound(percent, this->poolTotal, this->poolTargets));
    }
    return std::max(limit, this->load.minimumBound);
}

/** The class that decides how many places are kept from the request. */
RequestClass ShardOwner::Private::effectiveClass(const ReserveRequest &message) const
{
    if (message.requestClass != RequestClass::Interactive) {
        return message.requestClass;
    }
    if (this->shares.isAboveShare(message.organisation, this->capacity)) {
        return RequestClass::Background;
    }
    // More places are kept from organisations above their share than from other interactive requests, so none need to
    // be kept from organisations below their share.
    const bool isBelowShare = this->shares.isBelowShare(message.organisation, this->capacity);
    return isBelowShare && this->shares.isAnyAboveShare(this->capacity) ? RequestClass::Urgent
                                                                        : RequestClass::Interactive;
}

void ShardOwner::Private::applyLimits(const ReserveRequest &message)
{
    const RequestClass effectiveClass = this->effectiveClass(message);
    const std::uint64_t bound = this->bound(message.boundPercent);
    for (std::size_t i = 0; i < this->targetStates.size(); ++i) {
        const TargetState &targetState = this->targetStates[i];
        TargetLoad &targetLoad = this->load.targets[i];
        const bool hasPlace = !targetState.capacity
            || targetLoad.inFlight + keptPlaces(effectiveClass, *targetState.capacity) < *targetState.capacity;
        const bool hasRoom = targetLoad.inFlight < bound && hasPlace;
        targetLoad.usable = hasRoom && this->isUsable(targetState, message);
    }
}

void ShardOwner::Private::countReservation(const RequestId &request, const CountedReservation &reservation)
{
    this->held[request] = reservation;
    this->entries[reservation.entry].held.insert(request);
    this->shares.add(reservation.organisation);
}

/** @return the target of the reservation, empty if it is not counted. */
TargetId ShardOwner::Private::removeReservation(const RequestId &request)
{
    const auto found = this->held.find(request);
    if (found == this->held.end()) {
        return TargetId{};
    }
    TargetId target = found->second.target;
    this->entries[found->second.entry].held.erase(request);
    this->shares.remove(found->second.organisation);
    this->held.erase(found);
    return target;
}

/** Removes a reservation that was not released by its entry; the target's load may not have changed. */
void ShardOwner::Private::discardReservation(const RequestId &request)
{
    if (TargetState *targetState = this->find(this->removeReservation(request))) {
        targetState->count.adjustCounted(-1);
    }
}

Policy &ShardOwner::Private::policy(PolicyKind kind)
{
    std::unique_ptr<Policy> &known = this->policies[kind];
    if (!known) {
        known = makePolicy(kind, this->seed);
    }
    return *known;
}

ReserveReply ShardOwner::Private::decide(Millis now, const InstanceId &from, const ReserveRequest &message)
{
    const auto usable = [&](const TargetState &targetState) { return this->isUsable(targetState, message); };
    if (std::none_of(this->targetStates.begin(), this->targetStates.end(), usable)) {
        return ReserveReply{message.request, ReserveVerdict::NoTarget, TargetId{}, this->settings.retryAfter};
    }
    this->refreshLoad(now);
    this->applyLimits(message);
    PolicyRequest choice{message.chatHash, message.boundPercent, std::nullopt, false, message.prefixHash};
    if (const TargetId *last = this->chats.find(message.chatHash)) {
        const auto index = this->indexOfTarget.find(*last);
        choice.last = index == this->indexOfTarget.end() ? std::nullopt : std::optional(index->second);
    } else {
        choice.isNew = now >= this->createdAt + this->settings.chatWarmupTime;
    }
    const std::optional<std::size_t> chosen = this->policy(message.policy).choose(this->load, choice);
    if (!chosen) {
        return ReserveReply{message.request, ReserveVerdict::Full, TargetId{}, this->settings.retryAfter};
    }
    const TargetId &target = this->targetStates[*chosen].target;
    this->countReservation(message.request, CountedReservation{from, target, now, message.organisation});
    this->targetStates[*chosen].count.change(now, 1);
    this->chats.recordPlacement(message.chatHash, target);
    return ReserveReply{message.request, ReserveVerdict::Granted, target, Millis{}};
}

/** @return whether the reservation was answered. */
bool ShardOwner::Private::grantWaiting(Millis now,
                                       const WaitingReservation &waitingReservation,
                                       FullThreshold &full,
                                       Outbox &outbox)
{
    const ReserveRequest &message = waitingReservation.message;
    const RequestClass effectiveClass = this->effectiveClass(message);
    // Otherwise each release in a full shard would examine all targets once for each waiting reservation.
    if (full.effectiveClass && effectiveClass >= *full.effectiveClass && message.boundPercent <= full.boundPercent) {
        return false;
    }
    const ReserveReply reply = this->decide(now, waitingReservation.from, message);
    if (reply.verdict == ReserveVerdict::Full) {
        if (message.excluded.empty()) {
            full = FullThreshold{effectiveClass, message.boundPercent};
        }
        return false;
    }
    outbox.push_back({waitingReservation.from, reply});
    return true;
}

void ShardOwner::Private::refuseWaiting(Millis now,
                                        const WaitingReservation &refusedReservation,
                                        Millis retryAfter,
                                        Outbox &outbox)
{
    const RequestId &request = refusedReservation.message.request;
    this->refused.add(now, request);
    outbox.push_back({refusedReservation.from, ReserveReply{request, ReserveVerdict::Full, TargetId{}, retryAfter}});
}

ShardOwner::ShardOwner(const ShardId &shard, const OwnerSettings &settings, std::uint64_t seed, Millis now)
    : d(std::make_unique<Private>(settings))
{
    this->d->shard = shard;
    this->d->seed = seed;
    this->d->createdAt = now;
}

ShardOwner::~ShardOwner() = default;

std::uint32_t ShardOwner::keptPlaces(RequestClass requestClass, std::uint32_t capacity)
{
    constexpr std::uint32_t capacityParts = 16;
    constexpr std::uint32_t partsKeptFromBackground = 3;
    switch (requestClass) {
    case RequestClass::Urgent:
        return 0;
    case RequestClass::Interactive:
        return capacity / capacityParts;
    case RequestClass::Background:
        return static_cast<std::uint32_t>(std::uint64_t{capacity} * partsKeptFromBackground / capacityParts);
    }
    return 0;
}

void ShardOwner::setTargets(Millis now, const std::vector<TargetView> &targets)
{
    const std::vector<TargetState> before = std::move(this->d->targetStates);
    const std::unordered_map<TargetId, std::size_t> indexBefore = std::move(this->d->indexOfTarget);
    this->d->targetStates.clear();
    this->d->indexOfTarget.clear();
    this->d->load.targets.clear();
    for (const TargetView &target : targets) {
        const TargetId &name = target.description.target;
        TargetState targetState;
        const auto known = indexBefore.find(name);
        if (known != indexBefore.end()) {
            targetState = before[known->second];
        } else {
            targetState.count = TargetCount(now);
        }
        targetState.target = name;
        targetState.state = target.description.life.state;
        targetState.capacity = target.description.capacity;
        this->d->indexOfTarget[name] = this->d->targetStates.size();
        this->d->targetStates.push_back(targetState);
        this->d->load.targets.push_back(TargetLoad{name, target.hash, 0, 0, true});
    }
    for (const auto &countedReservation : this->d->held) {
        // Reservations may already be held on a target that returns to this shard.
        TargetState *targetState = this->d->find(countedReservation.second.target);
        if (targetState != nullptr && !indexBefore.contains(countedReservation.second.target)) {
            targetState->count.adjustCounted(1);
        }
    }
}

void ShardOwner::setEntries(const std::vector<InstanceId> &entries)
{
    std::vector<InstanceId> awaitedEntries;
    for (const InstanceId &entry : this->d->entriesKnown ? this->d->awaitedEntries : entries) {
        const auto known = this->d->entries.find(entry);
        const bool hasReported = known != this->d->entries.end() && known->second.hasReported;
        if (!hasReported && std::find(entries.begin(), entries.end(), entry) != entries.end()) {
            awaitedEntries.push_back(entry);
        }
    }
    this->d->awaitedEntries = std::move(awaitedEntries);
    this->d->entriesKnown = true;
}

void ShardOwner::setPoolLoad(std::uint64_t total, std::uint64_t targets)
{
    this->d->poolTotal = total;
    this->d->poolTargets = targets;
}

void ShardOwner::dropEntry(const InstanceId &entry)
{
    this->d->waiting.dropEntry(entry);
    const auto known = this->d->entries.find(entry);
    if (known == this->d->entries.end()) {
        return;
    }
    const std::vector<RequestId> lost(known->second.held.begin(), known->second.held.end());
    for (const RequestId &request : lost) {
        // Not counted as a release: a target may run the dead entry's streams until it notices the broken connections,
        // and would be given other requests on top. The target's next report shows when they have ended.
        this->d->discardReservation(request);
    }
    this->d->entries.erase(entry);
}

void ShardOwner::suspectEntry(Millis now, const InstanceId &entry)
{
    this->d->suspectedUntil[entry] = now + this->d->settings.suspicionTime;
}

void ShardOwner::reportLoad(const TargetId &target, std::uint32_t load, Millis measuredAt)
{
    if (TargetState *targetState = this->d->find(target)) {
        targetState->count.report(load, measuredAt);
    }
}

void ShardOwner::receive(Millis now, const InstanceId &from, const ReserveRequest &message, Outbox &outbox)
{
    // A release may overtake its reservation on another connection; counting the reservation now would leak a place
    // until the entry's next report.
    if (this->d->releasedRequests.contains(message.request)) {
        return;
    }
    this->d->recordContact(now, from);
    const auto known = this->d->held.find(message.request);
    if (known != this->d->held.end()) {
        outbox.push_back({from, ReserveReply{message.request, ReserveVerdict::Granted, known->second.target, {}}});
        return;
    }
    const WaitingReservation waitingReservation{from, message, now + this->d->settings.maxWaitTime};
    if (this->d->refused.contains(message.request)) {
        this->d->refuseWaiting(now, waitingReservation, this->d->settings.retryAfterWaiting, outbox);
        return;
    }
    if (this->d->waiting.contains(message.request)) {
        return;
    }
    this->serveWaiting(now, outbox);
    const ReserveReply reply = this->d->decide(now, from, message);
    if (reply.verdict != ReserveVerdict::Full || this->d->settings.maxWaitTime == Millis{0}) {
        outbox.push_back({from, reply});
        return;
    }
    for (const WaitingReservation &shed : this->d->waiting.add(waitingReservation)) {
        this->d->refuseWaiting(now, shed, this->d->settings.retryAfter, outbox);
    }
}

void ShardOwner::serveWaiting(Millis now, Outbox &outbox)
{
    if (this->d->waiting.size() == 0) {
        return;
    }
    FullThreshold full;
    this->d->waiting.serve([&](const WaitingReservation &waitingReservation) {
        return this->d->grantWaiting(now, waitingReservation, full, outbox);
    });
    for (const WaitingReservation &late : this->d->waiting.takeExpired(now)) {
        this->d->refuseWaiting(now, late, this->d->settings.retryAfterWaiting, outbox);
    }
}

void ShardOwner::receive(Millis now, const InstanceId &from, const Release &message)
{
    this->d->recordContact(now, from);
    this->d->waiting.remove(message.request);
    if (TargetState *targetState = this->d->find(this->d->removeReservation(message.request))) {
        targetState->count.change(now, -1);
    }
    if (this->d->releasedRequests.insert(message.request).second) {
        this->d->releasedOrder.emplace_back(now, message.request);
    }
}

void ShardOwner::receive(Millis now, const InstanceId &from, const HoldingsReport &message)
{
    EntryState &entry = this->d->entries[from];
    if (message.sequence <= entry.lastSequence) {
        return;
    }
    entry.lastSequence = message.sequence;
    this->d->recordContact(now, from);
    entry.hasReported = true;
    std::erase(this->d->awaitedEntries, from);
    std::unordered_set<RequestId> reportedRequests;
    for (const Holding &holding : message.holdings) {
        reportedRequests.insert(holding.request);
    }
    const std::vector<RequestId> before(entry.held.begin(), entry.held.end());
    for (const RequestId &request : before) {
        const bool young = now < this->d->held.at(request).since + this->d->settings.reportGrace;
        if (!reportedRequests.contains(request) && !young) {
            this->d->discardReservation(request);
        }
    }
    for (const Holding &holding : message.holdings) {
        // A holding without a target is a reservation that still waits for its answer, so there is nothing to add.
        const bool isCountable = !holding.target.empty() && !this->d->releasedRequests.contains(holding.request);
        if (isCountable && !this->d->held.contains(holding.request)) {
            this->d->countReservation(holding.request, CountedReservation{from, holding.target, now});
            if (TargetState *targetState = this->d->find(holding.target)) {
                targetState->count.adjustCounted(1);
            }
        }
    }
}

bool ShardOwner::receive(Millis now, const InstanceId &from, const HoldingsDigest &message)
{
    EntryState &entry = this->d->entries[from];
    if (message.sequence <= entry.lastSequence) {
        return false;
    }
    this->d->recordContact(now, from);
    HoldingSet counted;
    for (const RequestId &request : entry.held) {
        counted.add(request);
    }
    if (!(counted == HoldingSet{message.count, message.digest})) {
        return true;
    }
    entry.lastSequence = message.sequence;
    entry.hasReported = true;
    std::erase(this->d->awaitedEntries, from);
    return false;
}

void ShardOwner::tick(Millis now)
{
    std::vector<InstanceId> silent;
    for (const auto &entry : this->d->entries) {
        if (!entry.second.held.empty() && now >= entry.second.lastSeenAt + this->d->settings.entryTimeout) {
            silent.push_back(entry.first);
        }
    }
    for (const InstanceId &entry : silent) {
        this->dropEntry(entry);
    }
    std::erase_if(this->d->suspectedUntil, [now](const auto &entry) { return now >= entry.second; });
    this->d->refused.forgetUntil(now - this->d->settings.refusalTtl);
    std::deque<std::pair<Millis, RequestId>> &order = this->d->releasedOrder;
    while (!order.empty() && now >= order.front().first + this->d->settings.releaseTtl) {
        this->d->releasedRequests.erase(order.front().second);
        order.pop_front();
    }
}

bool ShardOwner::isSettled(Millis now) const
{
    return this->d->isSettled(now);
}

ShardSum ShardOwner::sum(Millis now) const
{
    ShardSum sum{this->d->shard.pool, this->d->shard.shard, 0, 0};
    for (const TargetState &targetState : this->d->targetStates) {
        if (targetState.state == LifeState::Live) {
            sum.inFlight += this->d->estimate(targetState, now);
            sum.targets += 1;
        }
    }
    return sum;
}

std::uint32_t ShardOwner::counted(const TargetId &target) const
{
    const TargetState *targetState = this->d->find(target);
    return targetState == nullptr ? 0 : targetState->count.counted();
}

std::size_t ShardOwner::waiting() const
{
    return this->d->waiting.size();
}

std::size_t ShardOwner::holdings() const
{
    return this->d->held.size();
}

} // namespace Sequoiausher
