#include "sequoiausher/transport/stream/ipv4socket.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Sequoiausher;

TEST_CASE("a socket is opened for an address, and waits for nobody")
{
    const Ipv4Socket opened = openIpv4Socket("127.0.0.1:8080", Step::Listen);
    REQUIRE(opened.descriptor >= 0);
    CHECK(opened.at.sin_family == AF_INET);
    CHECK(ntohs(opened.at.sin_port) == 8080);
    CHECK(ntohl(opened.at.sin_addr.s_addr) == INADDR_LOOPBACK);
    CHECK((fcntl(opened.descriptor, F_GETFL) & O_NONBLOCK) != 0);
    CHECK((fcntl(opened.descriptor, F_GETFD) & FD_CLOEXEC) != 0);
    ::close(opened.descriptor);
}

TEST_CASE("what names no IPv4 address is refused with its step")
{
    for (const Step step : {Step::Listen, Step::Connect}) {
        for (const char *address : {"[::1]:8080", "localhost:8080", "10.0.0.256:8080"}) {
            CAPTURE(address);
            try {
                openIpv4Socket(address, step);
                FAIL("it was opened");
            } catch (const Error &error) {
                CHECK(error.step() == step);
                CHECK(error.reason() == "not an IPv4 address");
            }
        }
    }
    CHECK_THROWS_AS(openIpv4Socket("10.0.0.1", Step::Listen), Error);
}
