#pragma once

// Counts what the links of a router sent, received and lost, for the metrics of control traffic.
//
//     counters.bytesSent.at(static_cast<std::size_t>(MessageKind::Probe));

#include "sequoiausher/protocol/codec/messagekind.h"

#include <array>
#include <cstdint>

namespace Sequoiausher {

/** Counts since the start; bytes are TCP payload. */
struct PeerCounters
{
    using PerKind = std::array<std::uint64_t, messageKindLimit>;

    /** The bytes of a frame are divided among its messages in proportion to their rough sizes. */
    PerKind messagesSent{};
    PerKind bytesSent{};
    PerKind messagesReceived{};
    PerKind bytesReceived{};
    /** All bytes of each direction, including hellos and signs of life. */
    std::uint64_t totalSent = 0;
    std::uint64_t totalReceived = 0;
    /** Messages dropped because the queue was full, they were too old when the link opened, or the link broke. */
    std::uint64_t droppedFull = 0;
    std::uint64_t droppedOld = 0;
    /** Messages to a router that is not one of the configured peers. */
    std::uint64_t droppedUnknown = 0;
    /** Messages of later versions, which were ignored. */
    std::uint64_t skipped = 0;
    std::uint64_t dials = 0;
    /** Signs of life that were sent, and requests for one. */
    std::uint64_t signsSent = 0;
    std::uint64_t silentLinks = 0;
    /** Connections closed because the peer sent another name, version or incarnation, or no valid frame. */
    std::uint64_t refusedLinks = 0;
};

} // namespace Sequoiausher
