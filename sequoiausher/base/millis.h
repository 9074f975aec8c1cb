#pragma once

// The only clock type of the project: a number of milliseconds, for points in time and for durations.
//
// Decisions never read a clock; they get the time as a parameter. Only the transport layer calls
// Millis::monotonicNow().
//
//     const Millis deadline = now + Millis{2000};
//     if (now >= deadline) { ... }

#include <compare>
#include <cstdint>
#include <limits>
#include <string>

namespace Sequoiausher {

/** A point in time since an arbitrary start, or a duration, in milliseconds. */
struct Millis
{
    std::int64_t count = 0;

    auto operator<=>(const Millis &) const = default;

    constexpr Millis operator+(Millis other) const
    {
        return Millis{this->count + other.count};
    }
    constexpr Millis operator-(Millis other) const
    {
        return Millis{this->count - other.count};
    }
    constexpr Millis operator*(std::int64_t factor) const
    {
        return Millis{this->count * factor};
    }
    constexpr Millis operator/(std::int64_t divisor) const
    {
        return Millis{this->count / divisor};
    }
    constexpr Millis &operator+=(Millis other)
    {
        this->count += other.count;
        return *this;
    }

    /** Later than any time that occurs. For comparisons only, since additions would overflow. */
    static constexpr Millis never()
    {
        return Millis{std::numeric_limits<std::int64_t>::max()};
    }

    /**
     * The time since the machine was booted. It never decreases, and it includes the time during which the machine was
     * suspended, so a process notices after that how late it is.
     */
    static Millis monotonicNow();

    /** The wall-clock time since 1970. Only for logs, rules on the time of day and new incarnation numbers. */
    static Millis wallNow();
};

/** The duration as text for logs, such as "250 ms". */
std::string toText(Millis span);

} // namespace Sequoiausher
