#pragma once

// What a process of this machine takes: its own memory, what the kernel holds for its connections, and its descriptors.
//
//     const ProcessUsage usage = readProcessUsage(process.processId());
//     CHECK(usage.memoryBytes + usage.unreadBytes <= limit);

#include <cstddef>
#include <cstdint>

namespace Sequoiausher::Lab {

/** See above. */
struct ProcessUsage
{
    /** Memory that the process alone holds. */
    std::size_t memoryBytes = 0;
    /** Bytes that were received on its TCP connections and not read yet. */
    std::size_t unreadBytes = 0;
    /** Bytes that were written to its TCP connections and not acknowledged yet. */
    std::size_t unsentBytes = 0;
    std::size_t descriptors = 0;

    std::size_t total() const;
};

/** Returns what the process takes now; all 0 where it does not run. */
ProcessUsage readProcessUsage(std::int64_t processId);

} // namespace Sequoiausher::Lab
