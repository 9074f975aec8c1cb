#pragma once

// Which class is served next: urgent, interactive, background, but the lower ones get their turn now and then.
//
//     const std::size_t index = turns.next(ready);   // ready: in which classes somebody could be served
//     turns.recordServed(index, waiting);                   // waiting: in which classes somebody waits at all
//
// Of any 8 in a row while interactive requests wait at least one is interactive, and of any 33 while background ones
// wait at least one is background, as soon as they are ready.

#include "sequoiausher/base/requestclass.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Sequoiausher {

/** Of this many dispatches at least one is interactive or background, where such requests wait. */
inline constexpr std::uint32_t interactiveInterval = 8;
inline constexpr std::uint32_t backgroundInterval = 33;

/** One for each class, in their order. */
using ClassFlags = std::array<bool, requestClassCount>;

/** The turns of the classes. */
class ClassScheduler
{
public:
    /** The class whose turn it is, by its number; at least one flag must be set. */
    std::size_t next(const ClassFlags &ready) const;

    /** One of the class was served; waiting as it was before. A class in which nobody waits has no claim. */
    void recordServed(std::size_t index, const ClassFlags &waiting);

private:
    /** How many in a row passed over a class in which somebody waits. */
    std::array<std::uint32_t, requestClassCount> passedOver{};
};

} // namespace Sequoiausher
