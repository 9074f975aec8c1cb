#pragma once

// Calls a tick function frequently while deadlines are pending, and rarely otherwise.
//
//     TickPacer pacer([this] { return this->tick(); });   // the tick returns its next deadline
//     pacer.start();
//     pacer.wake();                                       // from any thread: there may be an earlier deadline

#include "sequoiausher/base/millis.h"

#include <functional>
#include <memory>

namespace Sequoiausher {

/**
 * Without wake(), the timeout of a request that begins between two rare ticks would be noticed up to 100 ms late.
 * wake() posts at most one event for each tick. Belongs to the thread that created it.
 */
class TickPacer
{
public:
    /** The shortest and the longest time between two ticks. */
    static constexpr Millis busyInterval{20};
    static constexpr Millis restInterval{100};

    /**
     * @param tick performs what is due and returns the next deadline, or Millis::never().
     * @param rest the longest time between two ticks, if restInterval is too long.
     */
    explicit TickPacer(std::function<Millis()> tick, Millis rest = restInterval);
    ~TickPacer();

    /** Starts the timer; the first tick follows immediately. */
    void start();

    /** There may be an earlier deadline than the last tick returned: the next tick follows within busyInterval. */
    void wake();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
