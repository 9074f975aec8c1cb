#include "lab/hostile/processusage.h"

#include "sequoiausher/transport/stream/ipv4socket.h"

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

/** Both ends of a connection of this process. */
struct Pair
{
    Pair();
    ~Pair();
    Pair(const Pair &) = delete;
    Pair &operator=(const Pair &) = delete;

    int listener = -1;
    int sender = -1;
    int receiver = -1;
};

Pair::Pair()
{
    const Ipv4Socket listening = openIpv4Socket("127.0.0.1:0", Step::Listen);
    this->listener = listening.descriptor;
    REQUIRE(::bind(this->listener, listening.address(), sizeof listening.at) == 0);
    REQUIRE(::listen(this->listener, 1) == 0);
    Ipv4Socket calling = openIpv4Socket("127.0.0.1:0", Step::Connect);
    this->sender = calling.descriptor;
    socklen_t size = sizeof calling.at;
    // The sockets interface takes every kind of address through the generic one.
    auto *const generic
        = reinterpret_cast<sockaddr *>(&calling.at); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
    REQUIRE(::getsockname(this->listener, generic, &size) == 0);
    REQUIRE((::connect(this->sender, calling.address(), sizeof calling.at) == 0 || errno == EINPROGRESS));
    pollfd polled{this->listener, POLLIN, 0};
    REQUIRE(::poll(&polled, 1, 1000) == 1);
    this->receiver = ::accept(this->listener, nullptr, nullptr);
    REQUIRE(this->receiver >= 0);
}

Pair::~Pair()
{
    ::close(this->sender);
    ::close(this->receiver);
    ::close(this->listener);
}

} // namespace

TEST_CASE("bytes that were received and not read are counted")
{
    const Pair pair;
    const ProcessUsage before = readProcessUsage(::getpid());
    const std::string text(1000, 'x');
    REQUIRE(::send(pair.sender, text.data(), text.size(), 0) == 1000);
    pollfd polled{pair.receiver, POLLIN, 0};
    REQUIRE(::poll(&polled, 1, 1000) == 1);
    CHECK(readProcessUsage(::getpid()).unreadBytes == before.unreadBytes + 1000);
    std::array<char, 1000> buffer;
    REQUIRE(::recv(pair.receiver, buffer.data(), buffer.size(), 0) == 1000);
    CHECK(readProcessUsage(::getpid()).unreadBytes == before.unreadBytes);
}

TEST_CASE("bytes that the receiver has no room for are counted")
{
    const Pair pair;
    const std::string text(65536, 'x');
    std::size_t sent = 0;
    for (ssize_t taken = 0; (taken = ::send(pair.sender, text.data(), text.size(), MSG_DONTWAIT)) > 0;) {
        sent += static_cast<std::size_t>(taken);
    }
    const ProcessUsage usage = readProcessUsage(::getpid());
    CHECK(usage.unreadBytes > 0);
    CHECK(usage.unsentBytes > 0);
    CHECK(usage.unreadBytes + usage.unsentBytes >= sent);
}

TEST_CASE("each descriptor of a process counts")
{
    const std::size_t before = readProcessUsage(::getpid()).descriptors;
    const Pair pair;
    CHECK(readProcessUsage(::getpid()).descriptors == before + 3);
}

TEST_CASE("a process that does not run takes nothing")
{
    constexpr std::int64_t nobody = 0x7fffffff;
    CHECK(readProcessUsage(nobody).total() == 0);
    CHECK(readProcessUsage(nobody).descriptors == 0);
}
