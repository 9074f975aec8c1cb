#pragma once

// Decides which class is served next: urgent, then interactive, then background, with a minimum share for the last two.
//
//     const std::size_t index = scheduler.next(ready); // ready: the classes with a request that may be dispatched
//     scheduler.recordServed(index, waiting);          // waiting: the classes with a waiting request
//
// At least one of any 8 consecutive dispatches is interactive while interactive requests wait, and at least one of any
// 33 is background while background requests wait, as soon as such requests are ready.

#include "sequoiausher/base/requestclass.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Sequoiausher {

/** At least one of this many consecutive dispatches is interactive, while such requests wait and are ready. */
inline constexpr std::uint32_t interactiveInterval = 8;
/** At least one of this many consecutive dispatches is background, while such requests wait and are ready. */
inline constexpr std::uint32_t backgroundInterval = 33;

/** One flag for each class, in the order of the classes. */
using ClassFlags = std::array<bool, requestClassCount>;

/** Schedules the classes. Not thread-safe. */
class ClassScheduler
{
public:
    /** Returns the index of the class to serve next. At least one flag must be set. */
    std::size_t next(const ClassFlags &ready) const;

    /**
     * Records that a request of the class was served.
     * @param waiting the classes with waiting requests before that. The count of a class without any is reset.
     */
    void recordServed(std::size_t index, const ClassFlags &waiting);

private:
    /** The number of consecutive dispatches of other classes, for each class with waiting requests. */
    std::array<std::uint32_t, requestClassCount> passedOver{};
};

} // namespace Sequoiausher
