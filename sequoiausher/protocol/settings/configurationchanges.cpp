#include "sequoiausher/protocol/settings/configurationchanges.h"

#include <map>
#include <unordered_map>

namespace Sequoiausher {

namespace {

using PoolPointer = std::shared_ptr<const PoolDescription>;

std::map<PoolId, PoolPointer> poolsByName(const FleetConfiguration *fleet)
{
    std::map<PoolId, PoolPointer> pools;
    if (fleet != nullptr) {
        for (const PoolPointer &pool : fleet->pools) {
            pools[pool->pool] = pool;
        }
    }
    return pools;
}

void addChangedRows(const PoolDescription *earlier, const PoolDescription &pool, std::vector<TargetDescription> &rows)
{
    std::unordered_map<TargetId, const TargetDescription *> known;
    if (earlier != nullptr) {
        for (const TargetDescription &row : earlier->targets) {
            known[row.target] = &row;
        }
    }
    for (const TargetDescription &row : pool.targets) {
        const auto same = known.find(row.target);
        if (same == known.end() || *same->second != row) {
            rows.push_back(row);
        }
    }
}

} // namespace

bool PoolChanges::empty() const
{
    return this->changed.empty() && this->removed.empty();
}

bool instancesChanged(const FleetConfiguration *previous, const FleetConfiguration &fleet)
{
    return previous == nullptr || previous->instances != fleet.instances;
}

PoolChanges poolChanges(const FleetConfiguration *previous, const FleetConfiguration &fleet)
{
    PoolChanges changes;
    std::map<PoolId, PoolPointer> earlier = poolsByName(previous);
    for (const PoolPointer &pool : fleet.pools) {
        const auto node = earlier.extract(pool->pool);
        if (!node.empty() && node.mapped() == pool) {
            continue;
        }
        changes.changed.push_back(pool);
        addChangedRows(node.empty() ? nullptr : node.mapped().get(), *pool, changes.targets);
    }
    for (const auto &entry : earlier) {
        changes.removed.push_back(entry.first);
    }
    return changes;
}

} // namespace Sequoiausher
