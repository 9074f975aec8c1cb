#include "sequoiausher/coordination/admission/shardowner.h"

#include "sequoiausher/coordination/policies/loadbound.h"
#include "sequoiausher/coordination/policies/policy.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace Sequoiausher {

namespace {

// Peaks are kept for this long at least, to be compared with a report that lags.
constexpr Millis peakSpan{1000};

struct Held
{
    InstanceId entry;
    TargetId target;
    Millis since;
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
    std::uint32_t counted = 0;
    /** The highest counts in this span and in the one before. */
    std::uint32_t peakNow = 0;
    std::uint32_t peakBefore = 0;
    Millis peakSince;
    std::uint32_t reported = 0;
    std::optional<Millis> reportedAt;
    std::uint32_t grantedSinceReport = 0;
    Millis doubtUntil;
};

} // namespace

class ShardOwner::Private
{
public:
    Cell *find(const TargetId &target);
    std::uint32_t effective(const Cell &cell, Millis now) const;
    void refreshLoad(Millis now);
    void applyLimits(const ReserveRequest &message);
    bool mayBeUsed(const Cell &cell, const ReserveRequest &message) const;
    void hold(Millis now, const RequestId &request, const InstanceId &entry, const TargetId &target);
    bool letGo(const RequestId &request);
    void rollPeak(Millis now, Cell &cell) const;
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
    std::unordered_map<RequestId, Held> held;
    std::map<InstanceId, EntryState> entries;
    std::vector<InstanceId> awaited;
    bool entriesKnown = false;
    std::unordered_set<RequestId> released;
    std::deque<std::pair<Millis, RequestId>> releasedOrder;
    std::map<PolicyKind, std::unique_ptr<Policy>> policies;
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

std::uint32_t ShardOwner::Private::effective(const Cell &cell, Millis now) const
{
    const bool doubted = now < cell.doubtUntil || !this->settled(now);
    const bool fresh = cell.reportedAt && now <= *cell.reportedAt + this->settings.reportLife;
    if (!doubted || !fresh) {
        return cell.counted;
    }
    return std::max(cell.counted, cell.reported + cell.grantedSinceReport);
}

void ShardOwner::Private::refreshLoad(Millis now)
{
    this->load.total = 0;
    this->load.counted = 0;
    for (std::size_t i = 0; i < this->cells.size(); ++i) {
        const Cell &cell = this->cells[i];
        TargetLoad &seen = this->load.targets[i];
        seen.inFlight = this->effective(cell, now);
        seen.reported = cell.reportedAt ? cell.reported : cell.counted;
        if (cell.state == LifeState::Live) {
            this->load.total += seen.inFlight;
            this->load.counted += 1;
        }
    }
}

bool ShardOwner::Private::mayBeUsed(const Cell &cell, const ReserveRequest &message) const
{
    const auto &excluded = message.excluded;
    return cell.state == LifeState::Live && std::find(excluded.begin(), excluded.end(), cell.target) == excluded.end();
}

void ShardOwner::Private::applyLimits(const ReserveRequest &message)
{
    const std::uint64_t bound = loadBound(message.boundPercent, this->load.total, this->load.counted);
    for (std::size_t i = 0; i < this->cells.size(); ++i) {
        const Cell &cell = this->cells[i];
        TargetLoad &seen = this->load.targets[i];
        const bool hasRoom = seen.inFlight < bound && (!cell.capacity || seen.inFlight < *cell.capacity);
        seen.usable = hasRoom && this->mayBeUsed(cell, message);
    }
}

void ShardOwner::Private::rollPeak(Millis now, Cell &cell) const
{
    if (now >= cell.peakSince + peakSpan) {
        cell.peakBefore = cell.peakNow;
        cell.peakNow = cell.counted;
        cell.peakSince = now;
    }
    cell.peakNow = std::max(cell.peakNow, cell.counted);
}

void ShardOwner::Private::hold(Millis now, const RequestId &request, const InstanceId &entry, const TargetId &target)
{
    this->held[request] = Held{entry, target, now};
    this->entries[entry].held.insert(request);
    if (Cell *cell = this->find(target)) {
        cell->counted += 1;
        this->rollPeak(now, *cell);
    }
}

bool ShardOwner::Private::letGo(const RequestId &request)
{
    const auto entry = this->held.find(request);
    if (entry == this->held.end()) {
        return false;
    }
    if (Cell *cell = this->find(entry->second.target)) {
        cell->counted -= 1;
    }
    this->entries[entry->second.entry].held.erase(request);
    this->held.erase(entry);
    return true;
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
    const Choice choice{message.chatHash, message.boundPercent};
    const std::optional<std::size_t> chosen = this->policy(message.policy).choose(this->load, choice);
    if (!chosen) {
        return ReserveReply{message.request, ReserveVerdict::Full, TargetId{}, this->settings.retryAfter};
    }
    Cell &cell = this->cells[*chosen];
    cell.grantedSinceReport += 1;
    this->hold(now, message.request, from, cell.target);
    return ReserveReply{message.request, ReserveVerdict::Granted, cell.target, Millis{}};
}

ShardOwner::ShardOwner(const ShardId &shard, const OwnerSettings &settings, std::uint64_t seed, Millis now)
    : d(std::make_unique<Private>())
{
    this->d->shard = shard;
    this->d->settings = settings;
    this->d->seed = seed;
    this->d->createdAt = now;
}

ShardOwner::~ShardOwner() = default;

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
            // It may come from another shard, with work on it that the entries have yet to report here.
            cell.doubtUntil = now + this->d->settings.doubtTime;
        }
        cell.target = name;
        cell.state = target.description.life.state;
        cell.capacity = target.description.capacity;
        cell.counted = 0;
        this->d->cellOf[name] = this->d->cells.size();
        this->d->cells.push_back(cell);
        this->d->load.targets.push_back(TargetLoad{name, target.hash, 0, 0, true});
    }
    for (const auto &entry : this->d->held) {
        if (Cell *cell = this->d->find(entry.second.target)) {
            cell->counted += 1;
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

void ShardOwner::dropEntry(Millis now, const InstanceId &entry)
{
    const auto known = this->d->entries.find(entry);
    if (known == this->d->entries.end()) {
        return;
    }
    const std::vector<RequestId> lost(known->second.held.begin(), known->second.held.end());
    for (const RequestId &request : lost) {
        // Goes wrong otherwise: a target may run the dead entry's streams until it notices the broken connections,
        // and would be given others on top. Its reported load shows them.
        if (Cell *cell = this->d->find(this->d->held.at(request).target)) {
            cell->doubtUntil = now + this->d->settings.doubtTime;
        }
        this->d->letGo(request);
    }
    this->d->entries.erase(entry);
}

void ShardOwner::reportLoad(Millis now, const TargetId &target, std::uint32_t load, Millis measuredAt)
{
    Cell *cell = this->d->find(target);
    if (cell == nullptr || (cell->reportedAt && *cell->reportedAt >= measuredAt)) {
        return;
    }
    this->d->rollPeak(now, *cell);
    if (load > std::max(cell->peakNow, cell->peakBefore)) {
        // More runs there than was ever counted here: in a partition, or while lists disagree, another router owns
        // the shard too and grants on its own. Nothing else would show it.
        cell->doubtUntil = now + this->d->settings.doubtTime;
    }
    cell->reported = load;
    cell->reportedAt = measuredAt;
    cell->grantedSinceReport = 0;
}

void ShardOwner::receive(Millis now, const InstanceId &from, const ReserveRequest &message, Outbox &outbox)
{
    // A release may overtake its reservation on another connection; counting it now would leak until the next report.
    if (this->d->released.contains(message.request)) {
        return;
    }
    this->d->entries[from].heardAt = now;
    const auto known = this->d->held.find(message.request);
    if (known != this->d->held.end()) {
        outbox.push_back({from, ReserveReply{message.request, ReserveVerdict::Granted, known->second.target, {}}});
        return;
    }
    outbox.push_back({from, this->d->decide(now, from, message)});
}

void ShardOwner::receive(Millis now, const InstanceId &from, const Release &message)
{
    this->d->entries[from].heardAt = now;
    this->d->letGo(message.request);
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
    entry.heardAt = now;
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
            this->d->letGo(request);
        }
    }
    for (const Holding &holding : message.holdings) {
        // Without a target the entry has asked and waits for the answer: known or not, there is nothing to add.
        const bool isCountable = !holding.target.empty() && !this->d->released.contains(holding.request);
        if (isCountable && !this->d->held.contains(holding.request)) {
            this->d->hold(now, holding.request, from, holding.target);
        }
    }
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
        this->dropEntry(now, entry);
    }
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
            sum.inFlight += this->d->effective(cell, now);
            sum.targets += 1;
        }
    }
    return sum;
}

std::uint32_t ShardOwner::counted(const TargetId &target) const
{
    const Cell *cell = this->d->find(target);
    return cell == nullptr ? 0 : cell->counted;
}

std::size_t ShardOwner::holdings() const
{
    return this->d->held.size();
}

} // namespace Sequoiausher
