#pragma once

// The first frame in each direction of a connection between routers: who speaks, in which life, and whom the dialling
// side means to reach.
//
//     const std::string bytes = encodeHello({protocolVersion, self, incarnation, dataCentre, wanted});
//     const Hello hello = decodeHello(bytes, "127.0.0.1:7103");

#include "sequoiausher/base/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** Two routers with different numbers do not talk. It grows only where appending to peer.fbs is not enough. */
inline constexpr std::uint32_t protocolVersion = 1;

/** Who speaks on a connection. */
struct Hello
{
    std::uint32_t version = protocolVersion;
    InstanceId instance;
    Incarnation incarnation = 0;
    DataCentreId dataCentre;
    /** Whom the dialling side means to reach; empty in the answer. */
    InstanceId wanted;
    /**
     * From the dialling side the number of the last frame that it wrote to the other before this connection, and the
     * same in the answer of a side that acknowledges frames; 0 where none are numbered.
     */
    std::uint8_t lastFrame = 0;

    bool operator==(const Hello &) const = default;
};

/** The bytes of hello. */
std::string encodeHello(const Hello &hello);

/** Safe for any bytes. Throws Error(Step::Decode, peer, ...) where bytes are not a hello or name nobody. */
Hello decodeHello(std::string_view bytes, const std::string &peer);

} // namespace Sequoiausher
