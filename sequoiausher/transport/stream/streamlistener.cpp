#include "sequoiausher/transport/stream/streamlistener.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/stream/ipv4socket.h"

#include <QSocketNotifier>
#include <QTimer>

#include <cerrno>
#include <cstring>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Sequoiausher {

namespace {

/** The length of the accept queue. A full queue drops the opening packet, and the caller waits for seconds. */
constexpr int backlog = 1024;
/** The most connections accepted in one turn of the event loop. */
constexpr int acceptsAtOnce = 64;
/** The pause before connections are accepted again after the process ran out of descriptors or memory. */
constexpr int retryMs = 50;

bool isOutOfResources(int problem)
{
    return problem == EMFILE || problem == ENFILE || problem == ENOBUFS || problem == ENOMEM;
}

int openSocket(const std::string &address, std::size_t receiveBytes)
{
    const Ipv4Socket opened = openIpv4Socket(address, Step::Listen);
    const int descriptor = opened.descriptor;
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receiveBytes > 0) {
        limitReceiveBuffer(descriptor, receiveBytes);
    }
    if (bind(descriptor, opened.address(), sizeof opened.at) != 0 || listen(descriptor, backlog) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(descriptor);
        throw Error(Step::Listen, address, reason);
    }
    return descriptor;
}

} // namespace

class StreamListener::Private
{
public:
    Private(const std::string &address, Accepted with, std::size_t receiveBytes)
        : accepted(std::move(with))
        , descriptor(openSocket(address, receiveBytes))
        , notifier(this->descriptor, QSocketNotifier::Read)
    {
        QObject::connect(&this->notifier, &QSocketNotifier::activated, &this->notifier, [this] { this->take(); });
        this->retry.setSingleShot(true);
        QObject::connect(&this->retry, &QTimer::timeout, &this->notifier, [this] {
            this->notifier.setEnabled(this->descriptor >= 0);
            this->take();
        });
    }
    ~Private()
    {
        this->close();
    }

    void take()
    {
        // Connections that come as fast as they are accepted must not keep the event loop from the open ones.
        for (int i = 0; i < acceptsAtOnce && this->descriptor >= 0; ++i) {
            const int connection = accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (connection < 0) {
                if (isOutOfResources(errno)) {
                    // Otherwise the notifier would fire again at once and keep the event loop busy.
                    this->notifier.setEnabled(false);
                    this->retry.start(retryMs);
                }
                return;
            }
            this->accepted(connection);
        }
    }

    void close()
    {
        if (this->descriptor >= 0) {
            this->notifier.setEnabled(false);
            this->retry.stop();
            ::close(this->descriptor);
            this->descriptor = -1;
        }
    }

    Accepted accepted;
    int descriptor = -1;
    QSocketNotifier notifier;
    QTimer retry;
};

StreamListener::StreamListener(const std::string &address, Accepted accepted, std::size_t receiveBytes)
    : d(std::make_unique<Private>(address, std::move(accepted), receiveBytes))
{
}

StreamListener::~StreamListener() = default;

std::uint16_t StreamListener::port() const
{
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(this->d->descriptor, reinterpret_cast<sockaddr *>(&at), &size);
    return ntohs(at.sin_port);
}

void StreamListener::setReceiveBytes(std::size_t bytes)
{
    if (this->d->descriptor >= 0) {
        limitReceiveBuffer(this->d->descriptor, bytes);
    }
}

void StreamListener::close()
{
    this->d->close();
}

} // namespace Sequoiausher
