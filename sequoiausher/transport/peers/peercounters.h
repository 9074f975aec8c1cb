#pragma once

// What a router's links carried and lost, for the metrics of control traffic.
//
//     counters.bytesSent.at(static_cast<std::size_t>(MessageKind::Probe));

#include "sequoiausher/protocol/codec/messagekind.h"

#include <array>
#include <cstdint>

namespace Sequoiausher {

/** Counts since the start; bytes are payload of TCP. */
struct PeerCounters
{
    using PerKind = std::array<std::uint64_t, messageKindLimit>;

    /** A frame's bytes are shared out among its messages by their rough sizes. */
    PerKind messagesSent{};
    PerKind bytesSent{};
    PerKind messagesReceived{};
    PerKind bytesReceived{};
    /** All bytes either way, with hellos and signs of life. */
    std::uint64_t totalSent = 0;
    std::uint64_t totalReceived = 0;
    /** Messages dropped: no room, too old when the link came up, or lost with a link. */
    std::uint64_t droppedFull = 0;
    std::uint64_t droppedOld = 0;
    /** Messages to a router that is not among the wanted peers. */
    std::uint64_t droppedUnknown = 0;
    /** Messages of later versions passed over. */
    std::uint64_t skipped = 0;
    std::uint64_t dials = 0;
    /** Signs of life sent, and questions for one. */
    std::uint64_t signsSent = 0;
    std::uint64_t silentLinks = 0;
    /** Connections closed for what the other side said: another name, version or life, or no frame. */
    std::uint64_t refusedLinks = 0;
};

} // namespace Sequoiausher
