#pragma once

// Every target by pool: what the platform published, merged with what was heard since of lives and loads. Readers take
// an immutable view of a pool and keep it as long as they like.
//
//     table.applyPool(now, description);
//     table.applyNews(now, TargetId{"p1"}, {1, LifeState::Leaving});
//     const std::shared_ptr<const PoolView> view = table.pool(PoolId{"plates"});
//
// Thread-safe. Its lock is a leaf: nothing else is locked while it is held.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/state/targets/pooldescription.h"

#include <memory>

namespace Sequoiausher {

/** One target in a view: the published description, with the newest life known. */
struct TargetView
{
    TargetDescription description;
    /** hash64 of the name. */
    std::uint64_t hash = 0;

    bool operator==(const TargetView &) const = default;
};

/** One pool at one moment. Targets that are gone are left out; leaving ones are still in it. Sorted by name. */
struct PoolView
{
    PoolId pool;
    PoolKind kind = PoolKind::Engine;
    std::string model;
    std::vector<TargetView> targets;

    bool operator==(const PoolView &) const = default;
};

/** What a target said of its own load. */
struct ReportedLoad
{
    /** The life that spoke; one of an earlier life is dropped. */
    Incarnation incarnation = 0;
    /** Running and queued requests. */
    std::uint32_t load = 0;
    /** When the target measured it, by this process's clock. */
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
     * Replaces what is published of a pool. The caller has made sure that the document is not an older revision; the
     * lives in it are merged one by one, so a target heard to be leaving stays so under the same incarnation.
     * @return whether the pool's view changed.
     */
    bool applyPool(Millis now, const PoolDescription &description);

    /** The pool's document was deleted. Unknown pools are ignored. */
    void removePool(const PoolId &pool);

    /**
     * Merges news of one target's life, also of a target not listed yet.
     * @return whether it was new, and so is worth passing on.
     */
    bool applyNews(Millis now, const TargetId &target, const LifeNews &life);

    /**
     * Takes a load report unless a later one, or one of a later life, is known.
     * @return whether it was taken.
     */
    bool applyLoad(const TargetId &target, const ReportedLoad &load);

    /** The pool's view, or null where it is not known. */
    std::shared_ptr<const PoolView> pool(const PoolId &pool) const;

    /** The views of all pools, sorted by name. */
    std::vector<std::shared_ptr<const PoolView>> pools() const;

    /** The newest life known of the target. */
    std::optional<LifeNews> life(const TargetId &target) const;

    /** The last load taken; none where the target never reported in its present life. */
    std::optional<ReportedLoad> load(const TargetId &target) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
