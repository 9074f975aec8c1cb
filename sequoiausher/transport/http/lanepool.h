#pragma once

// Tracks the idle connections to each target. A lane stands for one connection of an HttpClient and is leased to one
// call at a time. A lane that is not returned is never reused.
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
    /** Unique within the pool. */
    std::uint64_t number = 0;
    /** Whether the lane was used before, so that its connection may be silent. */
    bool used = false;
    /** Whether the target has the maximum number of idle lanes, so that this one should close after its call. */
    bool surplus = false;
};

/** The idle lanes of all targets. */
class LanePool
{
public:
    explicit LanePool(LanePoolOptions options);

    /** Returns the most recently used lane, or a new one if that was idle for too long (justUsedAge if freshOnly). */
    Lane lease(const std::string &target, bool freshOnly, Millis now);
    /** Returns a lane whose connection is known to work to the pool. */
    void giveBack(const std::string &target, std::uint64_t number, Millis now);
    /** Drops the idle lanes of a target whose connections are silent. */
    void forget(const std::string &target);
    /** Returns the number of idle lanes of all targets, including expired ones that are not dropped yet. */
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
