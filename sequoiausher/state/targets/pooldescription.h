#pragma once

// The published description of one pool, as parsed from the document targets/POOL.
//
//     const PoolDescription pool{PoolId{"plates"}, PoolKind::Engine, "plate-7b",
//                                {{TargetId{"p1"}, "10.0.0.1:8000", DataCentreId{"nl-a"}, {1, LifeState::Live}, 32}}};

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/state/targets/lifestate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

/** The kind of the targets in a pool. */
enum class PoolKind {
    Engine,
    Service,
};

template<>
inline constexpr auto nameTable<PoolKind> = std::to_array<NameEntry<PoolKind>>({
    {PoolKind::Engine, "engine"},
    {PoolKind::Service, "service"},
});

/** The published description of one target. */
struct TargetDescription
{
    TargetId target;
    /** IP number and port. */
    std::string address;
    DataCentreId dataCentre;
    LifeNews life;
    /** The number of requests that the target accepts at a time, if it is published. */
    std::optional<std::uint32_t> capacity;

    bool operator==(const TargetDescription &) const = default;
};

/** The published description of one pool. */
struct PoolDescription
{
    PoolId pool;
    PoolKind kind = PoolKind::Engine;
    /** Empty for plain services. */
    std::string model;
    std::vector<TargetDescription> targets;

    bool operator==(const PoolDescription &) const = default;
};

} // namespace Sequoiausher
