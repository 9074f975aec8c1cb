#pragma once

// The one clock type of the project: a count of milliseconds, used for points in time and for spans of time.
//
// Decisions never read a clock; they are told the time. Only the transport layer calls Millis::monotonicNow().
//
//     const Millis deadline = now + Millis{2000};
//     if (now >= deadline) { ... }

#include <compare>
#include <cstdint>
#include <limits>
#include <string>

namespace Sequoiausher {

/** A point in time since an arbitrary start, or a span of time, in milliseconds. */
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

    /** A time later than any that occurs. Adding to it overflows: compare only. */
    static constexpr Millis never()
    {
        return Millis{std::numeric_limits<std::int64_t>::max()};
    }

    /**
     * Time since the machine booted. It never steps back and keeps counting while the machine is suspended, so a
     * process that slept sees on waking how late it is.
     */
    static Millis monotonicNow();

    /** Wall-clock time since 1970. For logs, rules on the time of day and new incarnation numbers only. */
    static Millis wallNow();
};

/** The span as text for logs, such as "250 ms". */
std::string toText(Millis span);

} // namespace Sequoiausher
