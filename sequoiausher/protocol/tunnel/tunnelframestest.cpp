#include "sequoiausher/protocol/tunnel/tunnelframes.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

TEST_CASE("a tunnel request is read however its bytes arrive")
{
    const std::string bytes = encodeTunnelRequest(TargetId{"i-7f3a~12"}) + "GET /";
    std::string input;
    std::optional<TargetId> target;
    for (const char byte : bytes) {
        input += byte;
        if (!target) {
            target = takeTunnelRequest(input, "gateway g2");
        }
    }
    REQUIRE(target);
    CHECK(target->value == "i-7f3a~12");
    CHECK(input == "GET /");
}

TEST_CASE("bytes that are no tunnel request are refused")
{
    for (std::string bytes : {std::string("GET / HTTP/1.1"), std::string("\x02\x01x", 3), std::string("\x01\x00", 2)}) {
        CHECK_THROWS_AS(takeTunnelRequest(bytes, "gateway g2"), Error);
    }
}

TEST_CASE("frames are read however their bytes arrive")
{
    const std::string answer(200000, 'a');
    const std::string bytes
        = encodeTunnelState(TunnelState::Open) + encodeTunnelBytes(answer) + encodeTunnelState(TunnelState::Finished);
    for (const std::size_t part : {std::size_t{1}, std::size_t{3}, std::size_t{70000}, bytes.size()}) {
        TunnelReader reader("gateway g2");
        std::string input;
        for (std::size_t at = 0; at < bytes.size(); at += part) {
            input += bytes.substr(at, part);
            reader.read(input);
        }
        CHECK(reader.state() == TunnelState::Finished);
        CHECK(reader.bytes() == answer);
        CHECK(input.empty());
    }
}

TEST_CASE("frames that do not fit the state of the tunnel are refused")
{
    const std::string open = encodeTunnelState(TunnelState::Open);
    const std::string finished = encodeTunnelState(TunnelState::Finished);
    const std::string refused = encodeTunnelState(TunnelState::Refused);
    const std::string some = encodeTunnelBytes("x");
    const std::vector<std::string> unfit{
        some,
        finished,
        open + open,
        open + refused,
        open + finished + some,
        refused + open,
        std::string("\x09\x00\x00\x00", 4),
        std::string("\x04\xff\xff\xff", 4),
        std::string("\x01\x00\x00\x01x", 5),
    };
    for (std::string bytes : unfit) {
        CAPTURE(bytes);
        TunnelReader reader("gateway g2");
        CHECK_THROWS_AS(reader.read(bytes), Error);
    }
}

TEST_CASE("a refusal tells why there is no tunnel")
{
    for (const TunnelState state : {TunnelState::Unreachable, TunnelState::Refused}) {
        TunnelReader reader("gateway g2");
        std::string input = encodeTunnelState(state);
        reader.read(input);
        CHECK(reader.state() == state);
    }
}
