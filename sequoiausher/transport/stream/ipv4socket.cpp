#include "sequoiausher/transport/stream/ipv4socket.h"

#include "sequoiausher/transport/peers/peeraddress.h"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <sys/socket.h>

namespace Sequoiausher {

const sockaddr *Ipv4Socket::address() const
{
    return reinterpret_cast<const sockaddr *>(&this->at);
}

Ipv4Socket openIpv4Socket(const std::string &address, Step step)
{
    const PeerAddress parsed = parsePeerAddress(address);
    Ipv4Socket opened;
    opened.at.sin_family = AF_INET;
    opened.at.sin_port = htons(parsed.port);
    if (inet_pton(AF_INET, parsed.host.c_str(), &opened.at.sin_addr) != 1) {
        throw Error(step, address, "not an IPv4 address");
    }
    opened.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (opened.descriptor < 0) {
        throw Error(step, address, std::strerror(errno));
    }
    return opened;
}

} // namespace Sequoiausher
