#pragma once

// One order for all changes of a store, also over restores from a copy. A restore sets the store's revision back, and
// revisions are then assigned a second time for other changes; the store's era increases by one each time. A position
// has the era in its high bits and the revision in its low bits, so positions are compared, sent and kept like
// revisions.
//
//     const Revision position = storePosition(era, revision);
//     watch(revisionOf(position));

#include "sequoiausher/base/identifiers.h"

#include <cstdint>

namespace Sequoiausher {

inline constexpr unsigned int revisionBits = 40;
inline constexpr std::uint64_t maxEra = (std::uint64_t{1} << 23U) - 1;
inline constexpr Revision maxRevision = (Revision{1} << revisionBits) - 1;

/** @throws Error(Step::Platform) where the era or the revision is above the maximum that a position can hold. */
Revision storePosition(std::uint64_t era, Revision revision);

constexpr std::uint64_t eraOf(Revision position)
{
    return position >> revisionBits;
}

constexpr Revision revisionOf(Revision position)
{
    return position & maxRevision;
}

} // namespace Sequoiausher
