#include "sequoiausher/state/targets/targettable.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <unordered_map>

namespace Sequoiausher {

namespace {

// How long updates about targets that no document lists are kept, because an update may arrive before the document. If
// they were kept forever, a fleet that renames its targets at each start would fill the table.
constexpr Millis unlistedLife{600000};
// Unlisted targets are searched for only when the table has grown by this many entries, which keeps updates cheap.
constexpr std::size_t pruneStep = 1024;

struct KnownTarget
{
    LifeNews life;
    std::optional<ReportedLoad> load;
    Millis heardAt;
    /** The number of entries in published pools that name the target. */
    std::size_t listings = 0;
};

} // namespace

class TargetTable::Private
{
public:
    bool mergeLife(Millis now, const TargetId &target, const LifeNews &life);
    bool rebuild(const PoolDescription &description);
    void rebuildPoolsOf(const TargetId &target);
    void publish(const PoolDescription &description);
    void unlist(const PoolId &pool);
    void prune(Millis now);

    mutable std::mutex mutex;
    std::map<PoolId, PoolDescription> published;
    std::map<PoolId, std::shared_ptr<const PoolView>> views;
    std::unordered_map<TargetId, KnownTarget> known;
    std::size_t pruneAbove = pruneStep;
};

bool TargetTable::Private::mergeLife(Millis now, const TargetId &target, const LifeNews &life)
{
    const auto [entry, fresh] = this->known.try_emplace(target, KnownTarget{life, std::nullopt, now, 0});
    entry->second.heardAt = now;
    if (fresh) {
        return true;
    }
    if (!isNewer(life, entry->second.life)) {
        return false;
    }
    if (life.incarnation != entry->second.life.incarnation) {
        entry->second.load.reset();
    }
    entry->second.life = life;
    return true;
}

bool TargetTable::Private::rebuild(const PoolDescription &description)
{
    PoolView view{description.pool, description.kind, description.model, {}};
    for (const TargetDescription &target : description.targets) {
        const LifeNews &life = this->known.at(target.target).life;
        if (life.state == LifeState::Gone) {
            continue;
        }
        view.targets.push_back(TargetView{target, hash64(target.target.value)});
        view.targets.back().description.life = life;
    }
    std::sort(view.targets.begin(), view.targets.end(), [](const TargetView &a, const TargetView &b) {
        return a.description.target < b.description.target;
    });
    std::shared_ptr<const PoolView> &current = this->views[description.pool];
    if (current && *current == view) {
        return false;
    }
    current = std::make_shared<const PoolView>(std::move(view));
    return true;
}

void TargetTable::Private::rebuildPoolsOf(const TargetId &target)
{
    const auto isTarget = [&target](const TargetDescription &listed) { return listed.target == target; };
    for (const auto &entry : this->published) {
        const std::vector<TargetDescription> &targets = entry.second.targets;
        if (std::any_of(targets.begin(), targets.end(), isTarget)) {
            this->rebuild(entry.second);
        }
    }
}

/** Requires that every target of the description is known. */
void TargetTable::Private::publish(const PoolDescription &description)
{
    this->unlist(description.pool);
    this->published[description.pool] = description;
    for (const TargetDescription &target : description.targets) {
        ++this->known.at(target.target).listings;
    }
}

void TargetTable::Private::unlist(const PoolId &pool)
{
    const auto earlier = this->published.find(pool);
    if (earlier == this->published.end()) {
        return;
    }
    for (const TargetDescription &target : earlier->second.targets) {
        --this->known.at(target.target).listings;
    }
}

void TargetTable::Private::prune(Millis now)
{
    if (this->known.size() <= this->pruneAbove) {
        return;
    }
    std::erase_if(this->known, [now](const auto &entry) {
        return entry.second.listings == 0 && now >= entry.second.heardAt + unlistedLife;
    });
    this->pruneAbove = this->known.size() + pruneStep;
}

TargetTable::TargetTable() : d(std::make_unique<Private>())
{
}

TargetTable::~TargetTable() = default;

bool TargetTable::applyPool(Millis now, const PoolDescription &description)
{
    const std::lock_guard lock(this->d->mutex);
    std::vector<TargetId> changedLives;
    for (const TargetDescription &target : description.targets) {
        if (this->d->mergeLife(now, target.target, target.life)) {
            changedLives.push_back(target.target);
        }
    }
    this->d->publish(description);
    const bool changed = this->d->rebuild(description);
    const bool showElsewhere = std::any_of(changedLives.begin(), changedLives.end(), [this](const TargetId &target) {
        return this->d->known.at(target).listings > 1;
    });
    if (showElsewhere) {
        // A target may be in several pools, and its new state changes the view of each.
        for (const auto &entry : this->d->published) {
            this->d->rebuild(entry.second);
        }
    }
    this->d->prune(now);
    return changed;
}

void TargetTable::removePool(const PoolId &pool)
{
    const std::lock_guard lock(this->d->mutex);
    this->d->unlist(pool);
    this->d->published.erase(pool);
    this->d->views.erase(pool);
}

bool TargetTable::applyNews(Millis now, const TargetId &target, const LifeNews &life)
{
    const std::lock_guard lock(this->d->mutex);
    if (!this->d->mergeLife(now, target, life)) {
        return false;
    }
    this->d->rebuildPoolsOf(target);
    this->d->prune(now);
    return true;
}

bool TargetTable::applyLoad(const TargetId &target, const ReportedLoad &load)
{
    const std::lock_guard lock(this->d->mutex);
    const auto entry = this->d->known.find(target);
    if (entry == this->d->known.end() || load.incarnation != entry->second.life.incarnation) {
        return false;
    }
    std::optional<ReportedLoad> &last = entry->second.load;
    if (last && last->measuredAt >= load.measuredAt) {
        return false;
    }
    last = load;
    return true;
}

std::shared_ptr<const PoolView> TargetTable::pool(const PoolId &pool) const
{
    const std::lock_guard lock(this->d->mutex);
    const auto entry = this->d->views.find(pool);
    return entry == this->d->views.end() ? nullptr : entry->second;
}

std::vector<std::shared_ptr<const PoolView>> TargetTable::pools() const
{
    const std::lock_guard lock(this->d->mutex);
    std::vector<std::shared_ptr<const PoolView>> all;
    for (const auto &entry : this->d->views) {
        all.push_back(entry.second);
    }
    return all;
}

std::optional<LifeNews> TargetTable::life(const TargetId &target) const
{
    const std::lock_guard lock(this->d->mutex);
    const auto entry = this->d->known.find(target);
    return entry == this->d->known.end() ? std::nullopt : std::optional(entry->second.life);
}

std::optional<ReportedLoad> TargetTable::load(const TargetId &target) const
{
    const std::lock_guard lock(this->d->mutex);
    const auto entry = this->d->known.find(target);
    return entry == this->d->known.end() ? std::nullopt : entry->second.load;
}

} // namespace Sequoiausher
