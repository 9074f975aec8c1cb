#pragma once

// A port of this machine that stays ours for as long as the object lives, also while nothing listens on it.
//
//     const ReservedPort port;
//     ... start a program with --port port.number(), end it, start it again ...
//
// Without it, the port of a router that was killed could become the local port of somebody's outgoing connection,
// and the router's next start would fail: a test that fails once in a hundred runs. A bound socket that never listens
// keeps the port from outgoing connections, and lets a program that sets SO_REUSEADDR listen on it.
//
// A port is kept at the given addresses alone. The kernel gives out the same number at others:
//
//     const ReservedPort shared({"127.0.1.1", "127.0.1.2"});

#include <cstdint>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** Keeps one TCP port of 127.0.0.1, or of several addresses of this machine. */
class ReservedPort
{
public:
    /** @throws Error(Step::Listen) where no port can be had. */
    ReservedPort();
    /**
     * Keeps one number that is free at all of these addresses.
     * @param addresses in dotted decimal form, at least one.
     * @throws Error(Step::Listen) if an address is not one of this machine, or no such port was found.
     */
    explicit ReservedPort(const std::vector<std::string> &addresses);
    ~ReservedPort();
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    std::uint16_t number() const;

private:
    /**
     * Binds a socket at each address, the first one at a port that the kernel chooses.
     * @return false if another socket has that port at one of the other addresses.
     */
    bool tryReserve(const std::vector<std::string> &addresses);
    void release();

    std::vector<int> sockets;
    std::uint16_t port = 0;
};

} // namespace Sequoiausher::Lab
