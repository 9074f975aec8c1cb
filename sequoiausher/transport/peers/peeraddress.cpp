#include "sequoiausher/transport/peers/peeraddress.h"

#include "sequoiausher/base/error.h"

#include <charconv>

namespace Sequoiausher {

PeerAddress parsePeerAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        throw Error(Step::Membership, text, "an address is an IP number, a colon and a port");
    }
    PeerAddress address;
    address.host = text.substr(0, colon);
    if (address.host.front() == '[' && address.host.back() == ']') {
        address.host = address.host.substr(1, address.host.size() - 2);
    }
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || address.host.empty()) {
        throw Error(Step::Membership, text, "an address is an IP number, a colon and a port");
    }
    return address;
}

std::string toText(const PeerAddress &address)
{
    const bool version6 = address.host.find(':') != std::string::npos;
    const std::string host = version6 ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

} // namespace Sequoiausher
