#include "lab/fleet/reservedport.h"

#include "sequoiausher/base/error.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace Sequoiausher::Lab {

namespace {

/** Ports that are tried before the search is given up. */
constexpr int mostTries = 100;

} // namespace

ReservedPort::ReservedPort() : ReservedPort(std::vector<std::string>{"127.0.0.1"})
{
}

ReservedPort::ReservedPort(const std::vector<std::string> &addresses)
{
    for (int tried = 0; tried < mostTries; ++tried) {
        if (this->tryReserve(addresses)) {
            return;
        }
        this->release();
    }
    throw Error(Step::Listen, addresses.front(), "no port is free at all of the addresses");
}

ReservedPort::~ReservedPort()
{
    this->release();
}

bool ReservedPort::tryReserve(const std::vector<std::string> &addresses)
{
    this->port = 0;
    for (const std::string &text : addresses) {
        const int on = 1;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->port);
        socklen_t size = sizeof(address);
        // The sockets interface takes every kind of address through the generic one.
        auto *const generic
            = reinterpret_cast<sockaddr *>(&address); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (socket >= 0) {
            this->sockets.push_back(socket);
        }
        bool done = socket >= 0 && ::inet_pton(AF_INET, text.c_str(), &address.sin_addr) == 1;
        if (done && ::bind(socket, generic, sizeof(address)) != 0) {
            if (errno == EADDRINUSE && this->port != 0) {
                return false;
            }
            done = false;
        }
        // Set after bind(): with the option set before, the port may be one that another object keeps.
        done = done && ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0
            && ::getsockname(socket, generic, &size) == 0;
        if (!done) {
            const std::string cause = std::generic_category().message(errno);
            this->release();
            throw Error(Step::Listen, text, cause);
        }
        this->port = ntohs(address.sin_port);
    }
    return true;
}

void ReservedPort::release()
{
    for (const int socket : this->sockets) {
        ::close(socket);
    }
    this->sockets.clear();
}

std::uint16_t ReservedPort::number() const
{
    return this->port;
}

} // namespace Sequoiausher::Lab
