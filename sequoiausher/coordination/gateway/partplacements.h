#pragma once

// What the admission owner of a service of model engines knows of their caches: which target has read which part of a
// prompt, and which one is about to read it because a request with the part was placed there. A part that is still
// being read cannot be copied, but a request that waits at the same target need not read it again.
//
//     PartPlacements placements;
//     placements.recordPlaced(part, target, now);
//     placements.recordRead(part, target, now);      // the request's first event has come
//     placements.recordEnded(part, target);          // or it ended before
//     if (placements.find(part, target, now) == PartState::Read) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** Whether a target has a part. */
enum class PartState {
    Absent,
    /** A request that waits or runs there reads it first. */
    Reading,
    Read,
};

/** Bounds of the knowledge. */
struct PartPlacementSettings
{
    /** A target has most likely evicted a part that was not requested there for this long. */
    Millis ttl{60000};
    /** The number of parts that are remembered; beyond it the least recently used one is forgotten. */
    std::size_t maxParts = 20000;
};

/** The parts of prompts at the targets of one service. Not thread-safe. */
class PartPlacements
{
public:
    explicit PartPlacements(const PartPlacementSettings &settings = {});
    ~PartPlacements();
    PartPlacements(PartPlacements &&other) noexcept;
    PartPlacements &operator=(PartPlacements &&other) noexcept;

    /** A request with the part is placed at the target. */
    void recordPlaced(std::uint64_t part, const TargetId &target, Millis now);
    /** The target has read the part. */
    void recordRead(std::uint64_t part, const TargetId &target, Millis now);
    /** A request that was placed ended before its first event, so that it is unknown whether the part was read. */
    void recordEnded(std::uint64_t part, const TargetId &target);
    PartState find(std::uint64_t part, const TargetId &target, Millis now) const;
    /** The targets that have read the part. */
    std::vector<TargetId> readers(std::uint64_t part, Millis now) const;
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
