#include "sequoiausher/transport/http/listensocket.h"

#include "sequoiausher/base/error.h"

#include <QHostAddress>
#include <QString>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace Sequoiausher {

namespace {

/** Closes the descriptor unless it is released. */
class Descriptor
{
public:
    explicit Descriptor(int open) : number(open)
    {
    }
    ~Descriptor()
    {
        if (this->number >= 0) {
            close(this->number);
        }
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

    int get() const
    {
        return this->number;
    }
    int release()
    {
        const int released = this->number;
        this->number = -1;
        return released;
    }

private:
    int number;
};

void require(bool done, const ListenSocketOptions &options)
{
    if (!done) {
        const std::string peer = options.address + ":" + std::to_string(options.port);
        throw Error(Step::Listen, peer, std::generic_category().message(errno));
    }
}

socklen_t fillAddress(sockaddr_storage &storage, const QHostAddress &address, std::uint16_t port)
{
    if (address.protocol() == QAbstractSocket::IPv6Protocol) {
        sockaddr_in6 six{};
        six.sin6_family = AF_INET6;
        six.sin6_port = htons(port);
        const Q_IPV6ADDR bytes = address.toIPv6Address();
        std::memcpy(&six.sin6_addr, &bytes, sizeof(six.sin6_addr));
        std::memcpy(&storage, &six, sizeof(six));
        return sizeof(six);
    }
    sockaddr_in four{};
    four.sin_family = AF_INET;
    four.sin_port = htons(port);
    four.sin_addr.s_addr = htonl(address.toIPv4Address());
    std::memcpy(&storage, &four, sizeof(four));
    return sizeof(four);
}

} // namespace

int openListenSocket(const ListenSocketOptions &options)
{
    QHostAddress address;
    if (!address.setAddress(QString::fromStdString(options.address))) {
        throw Error(Step::Listen, options.address, "not an IP number");
    }
    sockaddr_storage storage{};
    const socklen_t length = fillAddress(storage, address, options.port);
    Descriptor descriptor(socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    require(descriptor.get() >= 0, options);
    const int yes = 1;
    // A router that restarts needs its port although old connections are in TIME_WAIT.
    require(setsockopt(descriptor.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes)) == 0, options);
    if (options.sharePort) {
        require(setsockopt(descriptor.get(), SOL_SOCKET, SO_REUSEPORT, &yes, sizeof(yes)) == 0, options);
    }
    require(bind(descriptor.get(), reinterpret_cast<const sockaddr *>(&storage), length) == 0, options);
    require(listen(descriptor.get(), options.backlog) == 0, options);
    return descriptor.release();
}

} // namespace Sequoiausher
