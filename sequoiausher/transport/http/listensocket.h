#pragma once

// Opens a listening TCP socket, since QTcpServer cannot set SO_REUSEPORT before it binds.
//
//     server.setSocketDescriptor(openListenSocket({.address = "127.0.0.1", .port = 7100, .sharePort = true}));

#include <cstdint>
#include <string>

namespace Sequoiausher {

/** The options of a listening socket. */
struct ListenSocketOptions
{
    /** An IPv4 or IPv6 address. */
    std::string address = "127.0.0.1";
    /** 0 for any free port. */
    std::uint16_t port = 0;
    /** Sets SO_REUSEPORT: the kernel distributes the connections among several sockets on one port. */
    bool sharePort = false;
    int backlog = 4096;
};

/** Returns a listening, non-blocking descriptor that the caller owns. @throws Error(Step::Listen) on failure. */
int openListenSocket(const ListenSocketOptions &options);

} // namespace Sequoiausher
