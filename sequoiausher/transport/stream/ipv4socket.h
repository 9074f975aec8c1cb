#pragma once

// Opens TCP sockets for addresses as they stand in settings and lists, to listen there or to connect.
//
//     const Ipv4Socket opened = openIpv4Socket("10.0.3.7:8080", Step::Listen);
//     bind(opened.descriptor, opened.address(), sizeof opened.at);

#include "sequoiausher/base/error.h"

#include <string>

#include <netinet/in.h>

namespace Sequoiausher {

/** A socket and the address that it is for; whoever opened it closes it. */
struct Ipv4Socket
{
    /** The address as the kernel takes it. */
    const sockaddr *address() const;

    int descriptor = -1;
    sockaddr_in at{};
};

/**
 * A non-blocking socket that no child process inherits, neither bound nor connected.
 * @throws Error(step, address, ...) where there is no socket or address names no IPv4 address, Error(Step::Membership,
 * address, ...) where it is no address with a port.
 */
Ipv4Socket openIpv4Socket(const std::string &address, Step step);

} // namespace Sequoiausher
