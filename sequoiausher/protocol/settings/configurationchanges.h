#pragma once

// What a configuration says that the one before did not, so that decisions are told of that alone.
//
//     const PoolChanges changes = poolChanges(previous.get(), *fleet);
//     for (const auto &pool : changes.changed) { table.applyPool(now, *pool); }

#include "sequoiausher/protocol/settings/fleetconfiguration.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** The pools in which two configurations differ. */
struct PoolChanges
{
    /** Those that are new or differ, whole, by name. */
    std::vector<std::shared_ptr<const PoolDescription>> changed;
    /** The rows of these that are new or differ. */
    std::vector<TargetDescription> targets;
    /** Those that are listed no more. */
    std::vector<PoolId> removed;

    /** Whether there is none. */
    bool empty() const;
};

/** Whether the list of routers differs. @param previous null where nothing was in force. */
bool instancesChanged(const FleetConfiguration *previous, const FleetConfiguration &fleet);

/**
 * In which pools fleet differs from previous. Costs a look at each pool, and at the rows of those that differ.
 * @param previous null where nothing was in force.
 */
PoolChanges poolChanges(const FleetConfiguration *previous, const FleetConfiguration &fleet);

} // namespace Sequoiausher
