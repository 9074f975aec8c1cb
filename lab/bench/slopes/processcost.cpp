#include "lab/bench/slopes/processcost.h"

#include <ctime>

#include <malloc.h>

namespace Sequoiausher {

double processorMicros()
{
    constexpr double microsPerSecond = 1e6;
    constexpr double nanosPerMicro = 1e3;
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * microsPerSecond + static_cast<double>(spent.tv_nsec) / nanosPerMicro;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

} // namespace Sequoiausher
