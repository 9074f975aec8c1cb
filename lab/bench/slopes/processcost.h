#pragma once

// What this process has spent so far, for benches that measure differences.
//
//     const double before = processorMicros();
//     work();
//     const double spent = processorMicros() - before;

namespace Sequoiausher {

/** Processor time of all threads of this process, in microseconds; another process's load does not count in it. */
double processorMicros();

/** Bytes that the allocator has given out, mapped blocks included; what the kernel keeps for sockets is not in it. */
double heapBytes();

} // namespace Sequoiausher
