#pragma once

// Calls a tick often while something waits for a deadline, and seldom while nothing does.
//
//     TickPacer pacer([this] { return this->tick(); });   // the tick returns its next deadline
//     pacer.start();
//     pacer.wake();                                       // from any thread: there may be an earlier deadline

#include "sequoiausher/base/millis.h"

#include <functional>
#include <memory>

namespace Sequoiausher {

/**
 * Goes wrong without wake(): a request begins while the pacer rests, and its time-out is noticed a tenth of a second
 * late. Waking costs an event at most once for each tick. Lives in the thread that made it.
 */
class TickPacer
{
public:
    /** The shortest time between two ticks, and the longest. */
    static constexpr Millis busyInterval{20};
    static constexpr Millis restInterval{100};

    /**
     * @param tick does what is due and returns when something is due next, or Millis::never().
     * @param rest the longest time between two ticks, where restInterval is too long.
     */
    explicit TickPacer(std::function<Millis()> tick, Millis rest = restInterval);
    ~TickPacer();

    /** The first tick comes at once. */
    void start();

    /** Something may be due earlier than the last tick said: the next one comes after busyInterval at the latest. */
    void wake();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
