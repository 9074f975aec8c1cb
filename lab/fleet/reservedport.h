#pragma once

// A port of this machine that stays ours for as long as the object lives, also while nothing listens on it.
//
//     const ReservedPort port;
//     ... start a program with --port port.number(), end it, start it again ...
//
// Without it, the port of a router that was killed could become the local port of somebody's outgoing connection,
// and the router's next start would fail: a test that fails once in a hundred runs. A bound socket that never listens
// keeps the port from outgoing connections, and lets a program that sets SO_REUSEADDR listen on it.

#include <cstdint>

namespace Sequoiausher::Lab {

/** Keeps one TCP port of 127.0.0.1. */
class ReservedPort
{
public:
    /** @throws Error(Step::Listen) where no port can be had. */
    ReservedPort();
    ~ReservedPort();
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    std::uint16_t number() const;

private:
    int socket = -1;
    std::uint16_t port = 0;
};

} // namespace Sequoiausher::Lab
