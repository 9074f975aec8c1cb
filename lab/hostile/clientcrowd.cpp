#include "lab/hostile/clientcrowd.h"

#include "sequoiausher/transport/stream/ipv4socket.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Sequoiausher::Lab {

namespace {

/** Small, so that what is not read stays with the sender. */
constexpr int receiveBytes = 4096;
constexpr int pollMs = 5;
constexpr std::size_t littleBytes = 16;
constexpr Millis littlePause{100};
constexpr Millis reopenPause{20};
/** The number of writes to one connection before the next one's turn. */
constexpr int writesInTurn = 8;

} // namespace

class ClientCrowd::Private
{
public:
    struct Client
    {
        int descriptor = -1;
        Millis openedAt;
        Millis nextOpenAt;
        Millis nextSendAt;
        Millis nextReadAt;
        std::size_t sent = 0;
        /** Of the text that is being sent. */
        std::size_t offset = 0;
        bool hasSentFirst = false;
    };

    explicit Private(CrowdPlan with) : plan(std::move(with)), clients(this->plan.connections)
    {
        // Long writes: the crowd shall be faster than what it plays against.
        constexpr std::size_t blockBytes = std::size_t{64} << 10U;
        if (this->plan.pause == Millis{0} && !this->plan.repeated.empty()) {
            const std::string one = this->plan.repeated;
            while (this->plan.repeated.size() + one.size() <= blockBytes) {
                this->plan.repeated += one;
            }
        }
    }

    void run();
    void open(Client &client, Millis now);
    static void close(Client &client, Millis now);
    void send(Client &client, Millis now);
    void read(Client &client, Millis now) const;
    /** @return false if the connection is broken or takes no more now. */
    bool sendPart(Client &client, const std::string &text);

    CrowdPlan plan;
    std::vector<Client> clients;
    std::atomic<bool> isStopping{false};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> opens{0};
    std::thread thread;
};

void ClientCrowd::Private::open(Client &client, Millis now)
{
    const Ipv4Socket opened = openIpv4Socket(this->plan.address, Step::Connect);
    if (this->plan.reading != CrowdReading::Everything) {
        setsockopt(opened.descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    client = Client{opened.descriptor, now, {}, now, now, 0, 0, this->plan.first.empty()};
    if (::connect(opened.descriptor, opened.address(), sizeof opened.at) != 0 && errno != EINPROGRESS) {
        close(client, now);
        return;
    }
    this->opens += 1;
}

void ClientCrowd::Private::close(Client &client, Millis now)
{
    ::close(client.descriptor);
    client.descriptor = -1;
    client.nextOpenAt = now + reopenPause;
}

bool ClientCrowd::Private::sendPart(Client &client, const std::string &text)
{
    const ssize_t taken = ::send(
        client.descriptor, text.data() + client.offset, text.size() - client.offset, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (taken <= 0) {
        return false;
    }
    client.offset += static_cast<std::size_t>(taken);
    client.sent += static_cast<std::size_t>(taken);
    this->sent += static_cast<std::uint64_t>(taken);
    return true;
}

void ClientCrowd::Private::send(Client &client, Millis now)
{
    for (int i = 0; i < writesInTurn && client.sent < this->plan.mostBytes && now >= client.nextSendAt; ++i) {
        const std::string &text = client.hasSentFirst ? this->plan.repeated : this->plan.first;
        if (text.empty() || !this->sendPart(client, text)) {
            return;
        }
        if (client.offset == text.size()) {
            client.offset = 0;
            client.hasSentFirst = true;
            client.nextSendAt = now + this->plan.pause;
        }
    }
}

void ClientCrowd::Private::read(Client &client, Millis now) const
{
    if (this->plan.reading == CrowdReading::Nothing || now < client.nextReadAt) {
        return;
    }
    std::array<char, 65536> buffer;
    const bool isLittle = this->plan.reading == CrowdReading::Little;
    client.nextReadAt = isLittle ? now + littlePause : now;
    ::recv(client.descriptor, buffer.data(), isLittle ? littleBytes : buffer.size(), MSG_DONTWAIT);
}

void ClientCrowd::Private::run()
{
    while (!this->isStopping) {
        const Millis now = Millis::monotonicNow();
        std::vector<pollfd> polled;
        std::vector<Client *> owners;
        for (Client &client : this->clients) {
            const bool isNew = client.descriptor < 0;
            if (isNew && (!client.hasSentFirst || this->plan.opensAgain) && now >= client.nextOpenAt) {
                this->open(client, now);
            }
            if (client.descriptor < 0) {
                continue;
            }
            const bool wantsSend = client.sent < this->plan.mostBytes && now >= client.nextSendAt
                && !(client.hasSentFirst && this->plan.repeated.empty());
            const bool wantsRead = this->plan.reading != CrowdReading::Nothing && now >= client.nextReadAt;
            const short events = static_cast<short>((wantsSend ? POLLOUT : 0) | (wantsRead ? POLLIN : 0));
            polled.push_back({client.descriptor, events, 0});
            owners.push_back(&client);
        }
        ::poll(polled.data(), polled.size(), pollMs);
        for (std::size_t i = 0; i < polled.size(); ++i) {
            Client &client = *owners[i];
            const bool isOver = this->plan.closesAfter > Millis{0} && now - client.openedAt >= this->plan.closesAfter;
            if ((polled[i].revents & (POLLERR | POLLHUP | POLLNVAL)) != 0 || isOver) {
                close(client, now);
                continue;
            }
            if ((polled[i].revents & POLLOUT) != 0) {
                this->send(client, now);
            }
            if ((polled[i].revents & POLLIN) != 0) {
                this->read(client, now);
            }
        }
        if (polled.empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
        }
    }
    for (Client &client : this->clients) {
        if (client.descriptor >= 0) {
            close(client, Millis{0});
        }
    }
}

ClientCrowd::ClientCrowd(CrowdPlan plan) : d(std::make_unique<Private>(std::move(plan)))
{
}

ClientCrowd::~ClientCrowd()
{
    this->stop();
}

void ClientCrowd::start()
{
    this->d->thread = std::thread([this] { this->d->run(); });
}

void ClientCrowd::stop()
{
    this->d->isStopping = true;
    if (this->d->thread.joinable()) {
        this->d->thread.join();
    }
}

std::uint64_t ClientCrowd::sentBytes() const
{
    return this->d->sent;
}

std::uint64_t ClientCrowd::opened() const
{
    return this->d->opens;
}

} // namespace Sequoiausher::Lab
