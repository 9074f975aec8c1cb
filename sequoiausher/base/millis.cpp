#include "sequoiausher/base/millis.h"

#include <ctime>

namespace Sequoiausher {

namespace {

Millis readClock(clockid_t clock)
{
    constexpr std::int64_t millisPerSecond = 1000;
    constexpr std::int64_t nanosPerMilli = 1000000;
    timespec time{};
    clock_gettime(clock, &time);
    return Millis{time.tv_sec * millisPerSecond + time.tv_nsec / nanosPerMilli};
}

} // namespace

Millis Millis::monotonicNow()
{
    return readClock(CLOCK_BOOTTIME);
}

Millis Millis::wallNow()
{
    return readClock(CLOCK_REALTIME);
}

std::string toText(Millis span)
{
    return std::to_string(span.count) + " ms";
}

} // namespace Sequoiausher
