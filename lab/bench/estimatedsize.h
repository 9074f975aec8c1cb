#pragma once

// The bytes that a message between routers is expected to take on the wire, for benches that run without sockets.
//
//     bytes += estimatedSize(outgoing.message);

#include "sequoiausher/coordination/messages/peermessage.h"

#include <cstddef>

namespace Sequoiausher {

/**
 * Bytes of membership and document messages, estimated by FlatBuffers' layout rules (offsets of 4 bytes, strings with
 * a length and a zero, padded to 4) with one frame header; 0 for messages of other parts. An estimate, not the codec.
 */
std::size_t estimatedSize(const PeerMessage &message);

} // namespace Sequoiausher
