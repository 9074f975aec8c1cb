#pragma once

// Decides which work a gateway may still begin after it was asked to stop. Its process ends with the grace, whatever is
// in flight then is cut off, and its caller cannot tell whether it has run. A request that is refused before it was
// sent costs its caller one more attempt, at a gateway that goes on.
//
//     StopSchedule stop;
//     stop.begin({grace, notice}, now);
//     const auto longer = [&](Millis limit) { return durations.shareLongerThan(limit, route, now); };
//     if (!stop.mayBegin({deadline - now, longer}, StopSuccessor::Neighbour, now)) { refuse(); }
//
// A request whose deadline comes before the cut cannot be cut off: it is always begun. Any other one may last for
// longer than the process.
//
// - In the notice its caller may be sent here again, or to another gateway that stops as well, and a refusal may be its
//   last attempt. It is begun where few requests of its route have lately lasted for longer than the time that is left;
//   not so few where no other gateway of the data centre goes on, since callers are sent to those that stop.
// - Towards the end of the notice and after it, nothing is left to chance, whether or not another gateway goes on: a
//   refused caller knows when to come back, and a process without work ends, and may start again, the sooner.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstdint>
#include <functional>
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
    /** Returns the fraction of such requests that lately lasted for longer than the limit; absent if unknown. */
    std::function<std::optional<double>(Millis limit)> shareLongerThan;
};

/** Which gateways are known that do not stop. */
enum class StopSuccessor {
    /** One of the same data centre: callers are sent there. */
    Neighbour,
    /** One of another data centre: callers are sent there once the platform knows of the stop. */
    Elsewhere,
    None,
};

template<>
inline constexpr auto nameTable<StopSuccessor> = std::to_array<NameEntry<StopSuccessor>>({
    {StopSuccessor::Neighbour, "neighbour"},
    {StopSuccessor::Elsewhere, "elsewhere"},
    {StopSuccessor::None, "none"},
});

/** What may be begun in the notice although it may last for longer than the process. */
struct OverrunLimits
{
    /** The fraction of a route's recent requests that may have lasted for longer than what is left. */
    double maxShareInNotice = 0.1;
    /** The same where no other gateway of the data centre goes on. */
    double maxShareWithoutNeighbour = 0.5;
    /** A request counts as so many times as long as it was. */
    std::int64_t marginInNotice = 1;
};

/** A planned stop. Not thread-safe. */
class StopSchedule
{
public:
    explicit StopSchedule(const OverrunLimits &limits = {});

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
    /** Whether the work may be begun; always true before the stop. */
    bool mayBegin(const ExpectedWork &work, StopSuccessor successor, Millis now) const;
    /**
     * How long a refused caller shall wait at least, until others take it: not at all, until the notice is over, or
     * until this gateway may have started again.
     */
    Millis timeUntilTaken(StopSuccessor successor, Millis now) const;

private:
    OverrunLimits limits;
    StopTimes times;
    std::optional<Millis> begunAt;
};

} // namespace Sequoiausher
