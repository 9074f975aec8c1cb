#pragma once

// One order for all that a store says, over its returns from a copy. Such a return takes the store's revision back, and
// revisions are given out a second time for other changes; the store's era rises by one each time. A position has the
// era in its high bits and the revision below, so positions are compared, sent and kept like revisions.
//
//     const Revision position = storePosition(era, revision);
//     watch(revisionIn(position));

#include "sequoiausher/base/identifiers.h"

#include <cstdint>

namespace Sequoiausher {

inline constexpr unsigned int revisionBits = 40;
inline constexpr std::uint64_t maxEra = (std::uint64_t{1} << 23U) - 1;
inline constexpr Revision maxRevision = (Revision{1} << revisionBits) - 1;

/** @throws Error(Step::Platform) where either is above the latest that a position can hold. */
Revision storePosition(std::uint64_t era, Revision revision);

constexpr std::uint64_t eraOf(Revision position)
{
    return position >> revisionBits;
}

constexpr Revision revisionIn(Revision position)
{
    return position & maxRevision;
}

} // namespace Sequoiausher
