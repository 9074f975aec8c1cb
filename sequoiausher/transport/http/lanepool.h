#pragma once

// Which connections to each target are idle, and for how long. A lane stands for one connection of an HttpClient;
// it is leased to one call at a time. A lane that nobody gives back is gone for good.
//
//     LanePool lanes({.maximumIdleAge = Millis{20000}});
//     const Lane lane = lanes.lease("10.0.0.1:8000", false, now);
//     lanes.giveBack("10.0.0.1:8000", lane.number, now);

#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sequoiausher {

/** The limits of a pool. */
struct LanePoolOptions
{
    Millis maximumIdleAge{20000};
    Millis justUsedAge{200};
    std::size_t maximumIdlePerTarget = 64;
};

/** A leased lane. */
struct Lane
{
    /** Unique within the pool, never given twice to two connections. */
    std::uint64_t number = 0;
    /** Whether the lane has been used before, so that its connection may have gone silent. */
    bool used = false;
    /** Whether the target has as many idle lanes as it may, so that this one should close after its call. */
    bool surplus = false;
};

/** The idle lanes of all targets. */
class LanePool
{
public:
    explicit LanePool(LanePoolOptions options);

    /** The lane used last, unless it is idle for too long (for justUsedAge where freshOnly); else a new one. */
    Lane lease(const std::string &target, bool freshOnly, Millis now);
    /** Makes the lane idle. Only for lanes whose connection is known to be in order. */
    void giveBack(const std::string &target, std::uint64_t number, Millis now);
    /** Forgets the idle lanes of the target: for one whose connections have gone silent. */
    void forget(const std::string &target);
    /** Idle lanes of all targets, those too old for use included until they are next looked at. */
    std::size_t idleCount() const;

private:
    struct IdleLane
    {
        std::uint64_t number = 0;
        Millis since;
    };

    void dropOld(std::vector<IdleLane> &lanes, Millis now) const;

    LanePoolOptions limits;
    std::uint64_t lastNumber = 0;
    std::unordered_map<std::string, std::vector<IdleLane>> idle;
};

} // namespace Sequoiausher
