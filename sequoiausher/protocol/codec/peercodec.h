#pragma once

// Turns messages between routers into frames and back (FlatBuffers, peer.fbs). One frame carries a batch.
//
//     const std::string bytes = encodeFrame(batch);
//     for (PeerMessage &message : decodeFrame(bytes, "router r3").messages) { ... }

#include "sequoiausher/coordination/messages/peermessage.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The largest frame in bytes, either way: a document of a megabyte and what travels with it. */
inline constexpr std::size_t largestFrame = std::size_t{4} * 1024 * 1024;
/** The most messages in one frame. */
inline constexpr std::size_t mostMessages = 4096;

/** The messages of a frame, in the order in which they were sent. */
struct DecodedFrame
{
    std::vector<PeerMessage> messages;
    /** Messages that a router of a later version sent and this one does not know. */
    std::size_t skipped = 0;
};

/**
 * The frame that carries batch. Names are at most 255 bytes, spans of time are rounded down to 24 days.
 * Throws Error(Step::Write, ...) where batch does not fit the bounds above.
 */
std::string encodeFrame(std::span<const PeerMessage> batch);

/**
 * What frame carries. Safe for any bytes: the buffer is verified before it is read, and what it can make this process
 * allocate is bounded. Throws Error(Step::Decode, peer, ...) for everything that is not a frame within the bounds.
 */
DecodedFrame decodeFrame(std::string_view frame, const std::string &peer);

} // namespace Sequoiausher
