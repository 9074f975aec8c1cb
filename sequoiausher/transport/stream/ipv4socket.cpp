#include "sequoiausher/transport/stream/ipv4socket.h"

#include "sequoiausher/transport/peers/peeraddress.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>

#include <arpa/inet.h>
#include <netinet/tcp.h>
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

void limitUnsentBytes(int descriptor)
{
    constexpr int maxUnsentBytes = 131072;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &maxUnsentBytes, sizeof maxUnsentBytes);
}

void limitReceiveBuffer(int descriptor, std::size_t bytes)
{
    const int limit = static_cast<int>(std::min(bytes, std::size_t{std::numeric_limits<int>::max()} / 2));
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &limit, sizeof limit);
    // The window of a connection that was accepted with a small buffer stays small without this.
    setsockopt(descriptor, IPPROTO_TCP, TCP_WINDOW_CLAMP, &limit, sizeof limit);
}

} // namespace Sequoiausher
