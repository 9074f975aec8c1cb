#pragma once

// The bytes that a message between routers takes on the wire, for benches that run without sockets.
//
//     bytes += wireSize(message);

#include "sequoiausher/coordination/messages/peermessage.h"

#include <cstddef>

namespace Sequoiausher {

/**
 * The frame that the codec makes of the message alone, with the headers of one TCP segment over IPv4 with time stamps
 * for each 1,448 bytes of it. Messages that share a frame or a segment take less; acknowledgements are left out.
 */
std::size_t wireSize(const PeerMessage &message);

} // namespace Sequoiausher
