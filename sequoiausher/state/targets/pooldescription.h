#pragma once

// A pool and its targets as the platform's document `targets/POOL` lists them.
//
//     const PoolDescription pool{PoolId{"plate-model"}, PoolKind::Engine, "plate-model", {}};

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/state/targets/lifestate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Sequoiausher {

/** What stands behind a pool. */
enum class PoolKind {
    /** Model engines: streams of tokens, prefix caches, priorities. */
    Engine,
    /** Plain services: any method under their own paths. */
    Service,
};

template<>
inline constexpr auto nameTable<PoolKind> = std::to_array<NameEntry<PoolKind>>({
    {PoolKind::Engine, "engine"},
    {PoolKind::Service, "service"},
});

/** One target of a pool. */
struct TargetDescription
{
    TargetId target;
    /** IP number and port. */
    std::string address;
    DataCentreId dataCentre;
    LifeNews life;
    /** The most requests that it takes at a time; 0 where the document does not say. */
    std::uint32_t capacity = 0;

    bool operator==(const TargetDescription &) const = default;
};

/** One pool. */
struct PoolDescription
{
    PoolId pool;
    PoolKind kind = PoolKind::Engine;
    /** The model that its engines serve; empty for services. */
    std::string model;
    std::vector<TargetDescription> targets;

    bool operator==(const PoolDescription &) const = default;
};

} // namespace Sequoiausher
