#pragma once

// The targets of all pools: the published descriptions, merged with later updates of lifecycle states and loads.
// Readers get an immutable view of a pool, which they may keep.
//
//     table.applyPool(now, description);
//     table.applyNews(now, TargetId{"p1"}, {1, LifeState::Leaving});
//     const std::shared_ptr<const PoolView> view = table.pool(PoolId{"plates"});
//
// Thread-safe. Its lock is a leaf lock: no other lock is taken while it is held.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/state/targets/pooldescription.h"

#include <memory>

namespace Sequoiausher {

/** One target in a view: the published description with the newest known lifecycle state. */
struct TargetView
{
    TargetDescription description;
    /** The hash64() of the name. */
    std::uint64_t hash = 0;

    bool operator==(const TargetView &) const = default;
};

/** A snapshot of one pool, sorted by name. It contains leaving targets, but none that are gone. */
struct PoolView
{
    PoolId pool;
    PoolKind kind = PoolKind::Engine;
    std::string model;
    std::vector<TargetView> targets;

    bool operator==(const PoolView &) const = default;
};

/** The load that a target reported. */
struct ReportedLoad
{
    /** The incarnation that reported it; reports of earlier incarnations are dropped. */
    Incarnation incarnation = 0;
    /** Running and queued requests. */
    std::uint32_t load = 0;
    /** The time of the measurement, by the clock of this process. */
    Millis measuredAt;

    bool operator==(const ReportedLoad &) const = default;
};

/** The shared table of pools and targets. */
class TargetTable
{
public:
    TargetTable();
    ~TargetTable();
    TargetTable(const TargetTable &) = delete;
    TargetTable &operator=(const TargetTable &) = delete;

    /**
     * Replaces the published description of a pool. The caller ensures that the document is not an older revision. The
     * states in it are merged one by one, so a target that is known to be leaving remains leaving in this incarnation.
     * @return whether the pool's view changed.
     */
    bool applyPool(Millis now, const PoolDescription &description);

    /** Removes a pool whose document was deleted. Unknown pools are ignored. */
    void removePool(const PoolId &pool);

    /**
     * Merges an update of the lifecycle state of one target, also of one that is not listed yet.
     * @return whether it was new and should be passed on to other routers.
     */
    bool applyNews(Millis now, const TargetId &target, const LifeNews &life);

    /**
     * Stores a load report unless a later one, or one of a later incarnation, is known.
     * @return whether it was stored.
     */
    bool applyLoad(const TargetId &target, const ReportedLoad &load);

    /** The view of the pool; null if the pool is unknown. */
    std::shared_ptr<const PoolView> pool(const PoolId &pool) const;

    /** The views of all pools, sorted by name. */
    std::vector<std::shared_ptr<const PoolView>> pools() const;

    /** The newest known lifecycle state of the target. */
    std::optional<LifeNews> life(const TargetId &target) const;

    /** The last stored load; none if the target has not reported one in its current incarnation. */
    std::optional<ReportedLoad> load(const TargetId &target) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
