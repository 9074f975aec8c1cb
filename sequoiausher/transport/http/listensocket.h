#pragma once

// A listening TCP socket made by hand, since QTcpServer cannot set SO_REUSEPORT before it binds.
//
//     server.setSocketDescriptor(openListenSocket({.address = "127.0.0.1", .port = 7100, .sharePort = true}));

#include <cstdint>
#include <string>

namespace Sequoiausher {

/** Where and how to listen. */
struct ListenSocketOptions
{
    /** An IPv4 or IPv6 number. */
    std::string address = "127.0.0.1";
    /** 0 takes any free port. */
    std::uint16_t port = 0;
    /** SO_REUSEPORT: several sockets on one port, over which the kernel spreads the connections. */
    bool sharePort = false;
    int backlog = 4096;
};

/** A listening, non-blocking descriptor that the caller owns. Throws Error (step listen). */
int openListenSocket(const ListenSocketOptions &options);

} // namespace Sequoiausher
