#pragma once

// The address at which a router listens for its peers, as in peer_address of the platform's list.
//
//     const PeerAddress address = parsePeerAddress("10.0.3.7:7103");

#include <cstdint>
#include <string>

namespace Sequoiausher {

/** An IP number and a port. */
struct PeerAddress
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const PeerAddress &) const = default;
};

/** Parses "10.0.3.7:7103" or "[fd00::7]:7103". Throws Error(Step::Membership, text, ...) for anything else. */
PeerAddress parsePeerAddress(const std::string &text);

/** Formats the address so that parsePeerAddress() can parse it. */
std::string toText(const PeerAddress &address);

} // namespace Sequoiausher
