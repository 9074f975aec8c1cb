#include "lab/fleet/reservedport.h"

#include "sequoiausher/base/error.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace Sequoiausher::Lab {

ReservedPort::ReservedPort() : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    // The sockets interface takes every kind of address through the generic one.
    auto *const generic = reinterpret_cast<sockaddr *>(&address); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
    const bool done = this->socket >= 0 && ::setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0
        && ::bind(this->socket, generic, sizeof(address)) == 0 && ::getsockname(this->socket, generic, &size) == 0;
    if (!done) {
        throw Error(Step::Listen, "127.0.0.1", std::generic_category().message(errno));
    }
    this->port = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort()
{
    ::close(this->socket);
}

std::uint16_t ReservedPort::number() const
{
    return this->port;
}

} // namespace Sequoiausher::Lab
