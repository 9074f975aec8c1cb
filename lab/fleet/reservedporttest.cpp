#include "lab/fleet/reservedport.h"

#include "sequoiausher/base/error.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <set>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

/** Whether a program that sets SO_REUSEADDR, or one that does not, can listen there. */
bool canListen(const std::string &host, std::uint16_t port, bool isReusing)
{
    const int on = 1;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    REQUIRE(::inet_pton(AF_INET, host.c_str(), &address.sin_addr) == 1);
    REQUIRE((!isReusing || ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0));
    auto *const generic = reinterpret_cast<sockaddr *>(&address); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
    const bool can = ::bind(socket, generic, sizeof(address)) == 0 && ::listen(socket, 1) == 0;
    ::close(socket);
    return can;
}

const std::vector<std::string> several{"127.0.3.1", "127.0.3.2", "127.0.3.3"};

} // namespace

// Guards against a lab's gateway that cannot start because another lab took its port at its own address.
TEST_CASE("a port is kept at each of its addresses, for a program that sets SO_REUSEADDR")
{
    const ReservedPort port(several);
    CHECK(port.number() > 0);
    for (const std::string &address : several) {
        CAPTURE(address);
        CHECK_FALSE(canListen(address, port.number(), false));
        CHECK(canListen(address, port.number(), true));
    }
    CHECK(canListen("127.0.3.4", port.number(), false));
}

TEST_CASE("no two objects keep the same port of an address")
{
    constexpr std::size_t count = 200;
    std::set<std::uint16_t> numbers;
    std::vector<std::unique_ptr<ReservedPort>> ports;
    for (std::size_t i = 0; i < count; ++i) {
        // Each begins with another address, so the kernel's choice of the first one does not keep them apart.
        ports.push_back(std::make_unique<ReservedPort>(
            i % 2 == 0 ? several : std::vector<std::string>{several.rbegin(), several.rend()}));
        numbers.insert(ports.back()->number());
    }
    CHECK(numbers.size() == count);
}

TEST_CASE("an address that is none of this machine is an error")
{
    CHECK_THROWS_AS(ReservedPort({"127.0.3.1", "192.0.2.1"}), Error);
    CHECK_THROWS_AS(ReservedPort({"nowhere"}), Error);
}
