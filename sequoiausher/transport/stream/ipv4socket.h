#pragma once

// Opens TCP sockets for addresses from settings and lists, to listen or to connect.
//
//     const Ipv4Socket opened = openIpv4Socket("10.0.3.7:8080", Step::Listen);
//     bind(opened.descriptor, opened.address(), sizeof opened.at);

#include "sequoiausher/base/error.h"

#include <cstddef>
#include <string>

#include <netinet/in.h>

namespace Sequoiausher {

/** A socket and its address. The caller that opened it closes it. */
struct Ipv4Socket
{
    /** Returns the address in the kernel's format. */
    const sockaddr *address() const;

    int descriptor = -1;
    sockaddr_in at{};
};

/**
 * Returns a non-blocking socket that child processes do not inherit, neither bound nor connected.
 * @throws Error(step, address, ...) if no socket can be opened or the address is no IPv4 address,
 * Error(Step::Membership, address, ...) if it is no address with a port.
 */
Ipv4Socket openIpv4Socket(const std::string &address, Step step);

/**
 * Limits the bytes that the kernel receives before they are read. Connections that a listening socket accepts have its
 * limit. Best effort: the kernel rounds, and holds a small multiple of it for its own records.
 */
void limitReceiveBuffer(int descriptor, std::size_t bytes);

/**
 * Limits the written bytes that the kernel keeps beyond those that it may send now. Without this limit it takes
 * megabytes for a receiver that reads nothing. Does not slow down one that reads.
 */
void limitUnsentBytes(int descriptor);

} // namespace Sequoiausher
