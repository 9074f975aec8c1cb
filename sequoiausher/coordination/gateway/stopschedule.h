#pragma once

// Decides which work a gateway may still begin after it was asked to stop. Its process ends with the grace, whatever is
// in flight then is cut off, and its caller cannot tell whether it has run. A request that is refused before it was
// sent costs its caller one more attempt at a gateway that goes on.
//
//     StopSchedule stop;
//     stop.begin({grace, notice}, now);
//     if (!stop.mayBegin({deadline - now, durations.longest(route, now)}, hasSuccessor, now)) { refuse(); }
//
// A request whose deadline comes before the cut cannot be cut off: it is always taken. Any other one may last for
// longer than the process, and is taken only while its caller might meet this gateway again, or another one that stops:
// for the notice, and where no other gateway goes on. Then it counts as fitting if requests of its route have lately
// ended in half of the time that is left.

#include "sequoiausher/base/millis.h"

#include <optional>

namespace Sequoiausher {

/** The times of a planned stop, from its beginning. */
struct StopTimes
{
    /** The process ends after this time at the latest. */
    Millis grace;
    /** How long callers may be sent here after the gateway said that it is not ready. */
    Millis notice;
};

/** How long a request may last. */
struct ExpectedWork
{
    /** The time until its caller or its route gives it up. */
    Millis timeLeft;
    /** The longest that a request of its route took lately; absent if too few are known. */
    std::optional<Millis> longestLately;
};

/** A planned stop. Not thread-safe. */
class StopSchedule
{
public:
    /** Begins the stop; a stop that has begun stays as it is. */
    void begin(const StopTimes &times, Millis now);
    bool isBegun() const;
    /** The time from the beginning of the stop to the given one, negative for an earlier one; absent without a stop. */
    std::optional<Millis> timeInStop(Millis at) const;
    bool isNoticeOver(Millis now) const;
    /** When the remaining requests are cut off; what is left of the grace after it is for their last bytes. */
    Millis cutAt() const;
    /** When the process ends at the latest. */
    Millis endAt() const;
    /**
     * Whether the work may be begun; always true before the stop.
     * @param hasSuccessor whether another gateway is known that does not stop.
     */
    bool mayBegin(const ExpectedWork &work, bool hasSuccessor, Millis now) const;

private:
    StopTimes times;
    std::optional<Millis> begunAt;
};

} // namespace Sequoiausher
