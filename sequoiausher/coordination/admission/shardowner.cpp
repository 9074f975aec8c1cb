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

// 17 million chats on 625 shards are 27,000 for each.
constexpr std::size_t chatsRemembered = 32768;

struct Held
{
    InstanceId entry;
    TargetId target;
    Millis since;
    std::uint16_t organisation = 0;
};

struct EntryState
{
    std::uint64_t lastSequence = 0;
    Millis heardAt;
    bool announced = false;
    std::unordered_set<RequestId> held;
};

struct Cell
{
    TargetId target;
    LifeState state = LifeState::Live;
    std::optional<std::uint32_t> capacity;
    TargetCount count;
};

/** What a round over the waiting reservations found to be full: this class and those below it, up to this bound. */
struct FullFor
{
    std::optional<RequestClass> placeClass;
    std::uint32_t boundPercent = 0;
};

} // namespace

class ShardOwner::Private
{
public:
    explicit Private(const OwnerSettings &given) : settings(given), waiting(given.mostWaiting)
    {
    }

    Cell *find(const TargetId &target);
    std::uint32_t estimate(const Cell &cell, Millis now) const;
    void refreshLoad(Millis now);
    std::uint64_t suspectedLoad(Millis now) const;
    EntryState &heard(Millis now, const InstanceId &entry);
    std::uint64_t bound(std::uint32_t percent) const;
    void applyLimits(const ReserveRequest &message);
    bool mayBeUsed(const Cell &cell, const ReserveRequest &message) const;
    RequestClass placeClass(const ReserveRequest &message) const;
    bool grantWaiting(Millis now, const WaitingReservation &waitingOne, FullFor &full, Outbox &outbox);
    void refuseWaiting(Millis now, const WaitingReservation &refused, Millis retryAfter, Outbox &outbox);
    void hold(const RequestId &request, const Held &holding);
    TargetId letGo(const RequestId &request);
    void forget(const RequestId &request);
    bool settled(Millis now) const;
    ReserveReply decide(Millis now, const InstanceId &from, const ReserveRequest &message);
    Policy &policy(PolicyKind kind);

    ShardId shard;
    OwnerSettings settings;
    std::uint64_t seed = 0;
    Millis createdAt;
    std::vector<Cell> cells;
    std::unordered_map<TargetId, std::size_t> cellOf;
    /** Parallel to cells; filled anew for each choice, kept to spare the allocations. */
    PoolLoad load;
    /** The sum of what each live target may carry at most, where load.total is the likely one. */
    std::uint64_t highTotal = 0;
    /** By heartbeats; no targets where the shard is the whole pool. */
    std::uint64_t poolTotal = 0;
    std::uint64_t poolTargets = 0;
    std::unordered_map<RequestId, Held> held;
    std::map<InstanceId, EntryState> entries;
    std::vector<InstanceId> awaited;
    /** Until when each entry whose connection broke is taken for dead in the mean. */
    std::map<InstanceId, Millis> suspectedUntil;
    bool entriesKnown = false;
    std::unordered_set<RequestId> released;
    std::deque<std::pair<Millis, RequestId>> releasedOrder;
    std::map<PolicyKind, std::unique_ptr<Policy>> policies;
    WaitingList waiting;
    /**
     * Of those that waited. Goes wrong without it: an entry asks again while the answer of full is on its way, the
     * second is granted, the entry hears full first and takes the grant for a late one; its place leaks until the
     * entry's next report.
     */
    RecentRequests refused;
    OrganisationShares shares;
    /** What the live targets take at a time, without those that do not say. */
    std::uint64_t capacity = 0;
    RecentChats chats{chatsRemembered};
};

Cell *ShardOwner::Private::find(const TargetId &target)
{
    const auto index = this->cellOf.find(target);
    return index == this->cellOf.end() ? nullptr : &this->cells[index->second];
}

bool ShardOwner::Private::settled(Millis now) const
{
    return now >= this->createdAt + this->settings.settleTime || (this->entriesKnown && this->awaited.empty());
}

std::uint32_t ShardOwner::Private::estimate(const Cell &cell, Millis now) const
{
    // Measured before this router took over, a report cannot be told apart from what ended or began since; once all
    // entries have spoken, the counts alone are better.
    const Millis oldest = now - this->settings.reportLife;
    return cell.count.estimate(this->settled(now) ? std::max(oldest, this->createdAt) : oldest);
}

void ShardOwner::Private::refreshLoad(Millis now)
{
    this->load.total = 0;
    this->highTotal = 0;
    this->load.counted = 0;
    this->capacity = 0;
    for (std::size_t i = 0; i < this->cells.size(); ++i) {
        const Cell &cell = this->cells[i];
        TargetLoad &seen = this->load.targets[i];
        const std::uint32_t estimated = this->estimate(cell, now);
        // What is counted may be on its way to the target, so a lower report takes nothing off.
        seen.inFlight = std::max(cell.count.counted(), estimated);
        seen.reported = cell.count.reported();
        if (cell.state == LifeState::Live) {
            this->load.total += estimated;
            this->highTotal += seen.inFlight;
            this->load.counted += 1;
            this->capacity += cell.capacity.value_or(0);
        }
    }
    this->load.total -= std::min(this->load.total, this->suspectedLoad(now));
    // The mean of the high counts, so that some target has room whatever the reports say.
    this->load.minimumBound = loadBound(minimumBoundPercent, this->highTotal, this->load.counted);
}

// What goes wrong: an entry dies, all its streams end together, and the reports that tell it lag by up to a second.
// Until then the mean stands too high, and targets are filled to a bound that the true mean no longer allows; it shows
// as the highest load over the mean just after each death. With the smaller mean the bound is safe whether it died or
// not.
std::uint64_t ShardOwner::Private::suspectedLoad(Millis now) const
{
    std::uint64_t holdings = 0;
    for (const auto &suspected : this->suspectedUntil) {
        const auto entry = this->entries.find(suspected.first);
        holdings += now < suspected.second && entry != this->entries.end() ? entry->second.held.size() : 0;
    }
    return holdings;
}

EntryState &ShardOwner::Private::heard(Millis now, const InstanceId &entry)
{
    this->suspectedUntil.erase(entry);
    EntryState &state = this->entries[entry];
    state.heardAt = now;
    return state;
}

bool ShardOwner::Private::mayBeUsed(const Cell &cell, const ReserveRequest &message) const
{
    const auto &excluded = message.excluded;
    return cell.state == LifeState::Live && std::find(excluded.begin(), excluded.end(), cell.target) == excluded.end();
}

std::uint64_t ShardOwner::Private::bound(std::uint32_t percent) const
{
    // A release under way makes the total one too high, so the new request itself is not added to it.
    std::uint64_t most = loadBound(percent, std::max(this->load.total, std::uint64_t{1}) - 1, this->load.counted);
    if (this->poolTargets > 0) {
        most = std::min(most, loadBound(percent, this->poolTotal, this->poolTargets));
    }
    return std::max(most, this->load.minimumBound);
}

/** The class by which places are kept from the request. */
RequestClass ShardOwner::Private::placeClass(const ReserveRequest &message) const
{
    if (message.requestClass != RequestClass::Interactive) {
        return message.requestClass;
    }
    if (this->shares.isAbove(message.organisation, this->capacity)) {
        return RequestClass::Background;
    }
    // What is above is held off by more places than are kept from interactive requests, so those of the quiet ones
    // need not be held off as well.
    const bool isQuiet = this->shares.isBelow(message.organisation, this->capacity);
    return isQuiet && this->shares.isAnyAbove(this->capacity) ? RequestClass::Urgent : RequestClass::Interactive;
}

void ShardOwner::Private::applyLimits(const ReserveRequest &message)
{
    const RequestClass placeClass = this->placeClass(message);
    const std::uint64_t bound = this->bound(message.boundPercent);
    for (std::size_t i = 0; i < this->cells.size(); ++i) {
        const Cell &cell = this->cells[i];
        TargetLoad &seen = this->load.targets[i];
        const bool hasPlace = !cell.capacity || seen.inFlight + keptPlaces(placeClass, *cell.capacity) < *cell.capacity;
        const bool hasRoom = seen.inFlight < bound && hasPlace;
        seen.usable = hasRoom && this->mayBeUsed(cell, message);
    }
}

void ShardOwner::Private::hold(const RequestId &request, const Held &holding)
{
    this->held[request] = holding;
    this->entries[holding.entry].held.insert(request);
    this->shares.add(holding.organisation);
}

/** @return the target that the request was on, empty where it is not held. */
TargetId ShardOwner::Private::letGo(const RequestId &request)
{
    const auto entry = this->held.find(request);
    if (entry == this->held.end()) {
        return TargetId{};
    }
    TargetId target = entry->second.target;
    this->entries[entry->second.entry].held.erase(request);
    this->shares.remove(entry->second.organisation);
    this->held.erase(entry);
    return target;
}

/** No longer counts a request that this owner should not have counted, or no longer can. */
void ShardOwner::Private::forget(const RequestId &request)
{
    if (Cell *cell = this->find(this->letGo(request))) {
        cell->count.learn(-1);
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
    const auto usable = [&](const Cell &cell) { return this->mayBeUsed(cell, message); };
    if (std::none_of(this->cells.begin(), this->cells.end(), usable)) {
        return ReserveReply{message.request, ReserveVerdict::NoTarget, TargetId{}, this->settings.retryAfter};
    }
    this->refreshLoad(now);
    this->applyLimits(message);
    PolicyRequest choice{message.chatHash, message.boundPercent, std::nullopt, false, message.prefixHash};
    if (const TargetId *last = this->chats.find(message.chatHash)) {
        const auto index = this->cellOf.find(*last);
        choice.last = index == this->cellOf.end() ? std::nullopt : std::optional(index->second);
    } else {
        choice.isNew = now >= this->createdAt + this->settings.chatsLearntAfter;
    }
    const std::optional<std::size_t> chosen = this->policy(message.policy).choose(this->load, choice);
    if (!chosen) {
        return ReserveReply{message.request, ReserveVerdict::Full, TargetId{}, this->settings.retryAfter};
    }
    const TargetId &target = this->cells[*chosen].target;
    this->hold(message.request, Held{from, target, now, message.organisation});
    this->cells[*chosen].count.change(now, 1);
    this->chats.placed(message.chatHash, target);
    return ReserveReply{message.request, ReserveVerdict::Granted, target, Millis{}};
}

/** @return whether it was answered. */
bool ShardOwner::Private::grantWaiting(Millis now, const WaitingReservation &waitingOne, FullFor &full, Outbox &outbox)
{
    const ReserveRequest &message = waitingOne.message;
    const RequestClass placeClass = this->placeClass(message);
    // Goes wrong otherwise: each release of a full shard would look at all its targets once for each that waits.
    if (full.placeClass && placeClass >= *full.placeClass && message.boundPercent <= full.boundPercent) {
        return false;
    }
    const ReserveReply reply = this->decide(now, waitingOne.from, message);
    if (reply.verdict == ReserveVerdict::Full) {
        if (message.excluded.empty()) {
            full = FullFor{placeClass, message.boundPercent};
        }
        return false;
    }
    outbox.push_back({waitingOne.from, reply});
    return true;
}

void ShardOwner::Private::refuseWaiting(Millis now,
                                        const WaitingReservation &refusedOne,
                                        Millis retryAfter,
                                        Outbox &outbox)
{
    const RequestId &request = refusedOne.message.request;
    this->refused.add(now, request);
    outbox.push_back({refusedOne.from, ReserveReply{request, ReserveVerdict::Full, TargetId{}, retryAfter}});
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
    constexpr std::uint32_t parts = 16;
    constexpr std::uint32_t fromBackground = 3;
    switch (requestClass) {
    case RequestClass::Urgent:
        return 0;
    case RequestClass::Interactive:
        return capacity / parts;
    case RequestClass::Background:
        return static_cast<std::uint32_t>(std::uint64_t{capacity} * fromBackground / parts);
    }
    return 0;
}

void ShardOwner::setTargets(Millis now, const std::vector<TargetView> &targets)
{
    const std::vector<Cell> before = std::move(this->d->cells);
    const std::unordered_map<TargetId, std::size_t> indexBefore = std::move(this->d->cellOf);
    this->d->cells.clear();
    this->d->cellOf.clear();
    this->d->load.targets.clear();
    for (const TargetView &target : targets) {
        const TargetId &name = target.description.target;
        Cell cell;
        const auto known = indexBefore.find(name);
        if (known != indexBefore.end()) {
            cell = before[known->second];
        } else {
            cell.count = TargetCount(now);
        }
        cell.target = name;
        cell.state = target.description.life.state;
        cell.capacity = target.description.capacity;
        this->d->cellOf[name] = this->d->cells.size();
        this->d->cells.push_back(cell);
        this->d->load.targets.push_back(TargetLoad{name, target.hash, 0, 0, true});
    }
    for (const auto &entry : this->d->held) {
        // Held already on a target that comes back to this shard.
        Cell *cell = this->d->find(entry.second.target);
        if (cell != nullptr && !indexBefore.contains(entry.second.target)) {
            cell->count.learn(1);
        }
    }
}

void ShardOwner::setEntries(const std::vector<InstanceId> &entries)
{
    std::vector<InstanceId> awaited;
    for (const InstanceId &entry : this->d->entriesKnown ? this->d->awaited : entries) {
        const auto known = this->d->entries.find(entry);
        const bool announced = known != this->d->entries.end() && known->second.announced;
        if (!announced && std::find(entries.begin(), entries.end(), entry) != entries.end()) {
            awaited.push_back(entry);
        }
    }
    this->d->awaited = std::move(awaited);
    this->d->entriesKnown = true;
}

void ShardOwner::notePool(std::uint64_t total, std::uint64_t targets)
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
        // Goes wrong if this counted as a release: a target may run the dead entry's streams until it notices the
        // broken connections, and would be given others on top. Its next report tells.
        this->d->forget(request);
    }
    this->d->entries.erase(entry);
}

void ShardOwner::suspectEntry(Millis now, const InstanceId &entry)
{
    this->d->suspectedUntil[entry] = now + this->d->settings.suspicionTime;
}

void ShardOwner::reportLoad(const TargetId &target, std::uint32_t load, Millis measuredAt)
{
    if (Cell *cell = this->d->find(target)) {
        cell->count.report(load, measuredAt);
    }
}

void ShardOwner::receive(Millis now, const InstanceId &from, const ReserveRequest &message, Outbox &outbox)
{
    // A release may overtake its reservation on another connection; counting it now would leak until the next report.
    if (this->d->released.contains(message.request)) {
        return;
    }
    this->d->heard(now, from);
    const auto known = this->d->held.find(message.request);
    if (known != this->d->held.end()) {
        outbox.push_back({from, ReserveReply{message.request, ReserveVerdict::Granted, known->second.target, {}}});
        return;
    }
    const WaitingReservation waitingOne{from, message, now + this->d->settings.waitingLife};
    if (this->d->refused.contains(message.request)) {
        this->d->refuseWaiting(now, waitingOne, this->d->settings.retryAfterWaiting, outbox);
        return;
    }
    if (this->d->waiting.contains(message.request)) {
        return;
    }
    this->serveWaiting(now, outbox);
    const ReserveReply reply = this->d->decide(now, from, message);
    if (reply.verdict != ReserveVerdict::Full || this->d->settings.waitingLife == Millis{0}) {
        outbox.push_back({from, reply});
        return;
    }
    for (const WaitingReservation &shed : this->d->waiting.add(waitingOne)) {
        this->d->refuseWaiting(now, shed, this->d->settings.retryAfter, outbox);
    }
}

void ShardOwner::serveWaiting(Millis now, Outbox &outbox)
{
    if (this->d->waiting.size() == 0) {
        return;
    }
    FullFor full;
    this->d->waiting.serve(
        [&](const WaitingReservation &waitingOne) { return this->d->grantWaiting(now, waitingOne, full, outbox); });
    for (const WaitingReservation &late : this->d->waiting.takeExpired(now)) {
        this->d->refuseWaiting(now, late, this->d->settings.retryAfterWaiting, outbox);
    }
}

void ShardOwner::receive(Millis now, const InstanceId &from, const Release &message)
{
    this->d->heard(now, from);
    this->d->waiting.remove(message.request);
    if (Cell *cell = this->d->find(this->d->letGo(message.request))) {
        cell->count.change(now, -1);
    }
    if (this->d->released.insert(message.request).second) {
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
    this->d->heard(now, from);
    entry.announced = true;
    std::erase(this->d->awaited, from);
    std::unordered_set<RequestId> named;
    for (const Holding &holding : message.holdings) {
        named.insert(holding.request);
    }
    const std::vector<RequestId> before(entry.held.begin(), entry.held.end());
    for (const RequestId &request : before) {
        const bool young = now < this->d->held.at(request).since + this->d->settings.reportGrace;
        if (!named.contains(request) && !young) {
            this->d->forget(request);
        }
    }
    for (const Holding &holding : message.holdings) {
        // Without a target the entry has asked and waits for the answer: known or not, there is nothing to add.
        const bool isCountable = !holding.target.empty() && !this->d->released.contains(holding.request);
        if (isCountable && !this->d->held.contains(holding.request)) {
            this->d->hold(holding.request, Held{from, holding.target, now});
            if (Cell *cell = this->d->find(holding.target)) {
                cell->count.learn(1);
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
    this->d->heard(now, from);
    HoldingSet counted;
    for (const RequestId &request : entry.held) {
        counted.add(request);
    }
    if (!(counted == HoldingSet{message.count, message.digest})) {
        return true;
    }
    entry.lastSequence = message.sequence;
    entry.announced = true;
    std::erase(this->d->awaited, from);
    return false;
}

void ShardOwner::tick(Millis now)
{
    std::vector<InstanceId> silent;
    for (const auto &entry : this->d->entries) {
        if (!entry.second.held.empty() && now >= entry.second.heardAt + this->d->settings.entrySilence) {
            silent.push_back(entry.first);
        }
    }
    for (const InstanceId &entry : silent) {
        this->dropEntry(entry);
    }
    std::erase_if(this->d->suspectedUntil, [now](const auto &entry) { return now >= entry.second; });
    this->d->refused.forgetUntil(now - this->d->settings.refusalMemory);
    std::deque<std::pair<Millis, RequestId>> &order = this->d->releasedOrder;
    while (!order.empty() && now >= order.front().first + this->d->settings.releaseMemory) {
        this->d->released.erase(order.front().second);
        order.pop_front();
    }
}

bool ShardOwner::settled(Millis now) const
{
    return this->d->settled(now);
}

ShardSum ShardOwner::sum(Millis now) const
{
    ShardSum sum{this->d->shard.pool, this->d->shard.shard, 0, 0};
    for (const Cell &cell : this->d->cells) {
        if (cell.state == LifeState::Live) {
            sum.inFlight += this->d->estimate(cell, now);
            sum.targets += 1;
        }
    }
    return sum;
}

std::uint32_t ShardOwner::counted(const TargetId &target) const
{
    const Cell *cell = this->d->find(target);
    return cell == nullptr ? 0 : cell->count.counted();
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
