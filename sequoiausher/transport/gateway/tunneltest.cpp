#include "sequoiausher/protocol/tunnel/tunnelframes.h"
#include "sequoiausher/transport/gateway/cutoffbed.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

namespace {

/** Opens a tunnel at a gateway, as another gateway does. */
struct TunnelOpener : ByteStreamUser
{
    TunnelOpener(const std::string &address, const TargetId &target)
        : reader("gateway " + address)
        , stream(ByteStream::dial(address, this))
    {
        this->stream->write(encodeTunnelRequest(target));
    }
    ~TunnelOpener() override
    {
        this->stream->forgetUser();
        this->stream->close();
    }
    void bytesArrived() override
    {
        this->reader.read(this->stream->input());
    }
    void ended(StreamEnd /*how*/) override
    {
    }

    TunnelReader reader;
    std::shared_ptr<ByteStream> stream;
};

} // namespace
// Guards against two gateways that each take the other for one that reaches the target, and pass a request in circles.
TEST_CASE("a gateway that is cut off itself opens no tunnel for another one")
{
    CutOffBed bed;
    bed.startBoth();
    bed.cutAndNotice();
    TunnelOpener opener("127.0.0.1:" + std::to_string(bed.settings.tunnelPort), TargetId{"desk0"});
    REQUIRE(GatewayTestbed::waitFor([&opener] { return opener.reader.state() != TunnelState::Opening; }));
    CHECK(opener.reader.state() == TunnelState::Unreachable);
}

TEST_CASE("a tunnel leads to listed targets only")
{
    CutOffBed bed;
    bed.startBoth();
    TunnelOpener opener("127.0.0.2:" + std::to_string(bed.settings.tunnelPort), TargetId{"nobody"});
    REQUIRE(GatewayTestbed::waitFor([&opener] { return opener.reader.state() != TunnelState::Opening; }));
    CHECK(opener.reader.state() == TunnelState::Refused);
}

// Guards against a target that works on a request whose caller has left the gateway before.
TEST_CASE("a caller that leaves ends its request at a target that is reached through a peer")
{
    CutOffBed bed;
    std::size_t held = 0;
    std::size_t ended = 0;
    bed.startBoth();
    bed.cutAndNotice();
    for (const auto &[name, target] : bed.targets) {
        target->answers = [&held](FakeRequest &) { held += 1; };
        target->lost = [&ended](const FakeConnection &) { ended += 1; };
    }
    {
        FakeCaller caller(bed.address());
        caller.send(bed.request("POST", "/desk/1", "Content-Length: 0\r\n"));
        REQUIRE(GatewayTestbed::waitFor([&held] { return held == 1; }));
        ended = 0;
    }
    CHECK(GatewayTestbed::waitFor([&ended] { return ended == 1; }, Millis{400}));
}

// Guards against a gateway that dies and whose orderly close passes for the end of an answer without a length.
TEST_CASE("an answer without a length is whole where the target ends it, not where the gateway between does")
{
    for (const bool isTargetsEnd : {true, false}) {
        CAPTURE(isTargetsEnd);
        CutOffBed bed;
        bed.startBoth();
        bed.cutAndNotice();
        FakeRequest asked;
        bool isAsked = false;
        for (const auto &[name, target] : bed.targets) {
            target->answers = [&asked, &isAsked](FakeRequest &request) {
                request.send("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: yes\r\n\r\nhalf");
                asked = request;
                isAsked = true;
            };
        }
        FakeCaller caller(bed.address());
        caller.send(bed.request("POST", "/desk/1", "Content-Length: 0\r\n"));
        REQUIRE(GatewayTestbed::waitFor([&isAsked] { return isAsked; }));
        CutOffBed::pause(Millis{50});
        if (isTargetsEnd) {
            asked.close();
        } else {
            bed.neighbour.reset();
        }
        REQUIRE(GatewayTestbed::waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; }));
        if (isTargetsEnd) {
            CHECK(caller.reply.status == 200);
            CHECK(caller.reply.body == "half");
        } else {
            CHECK(caller.reply.status == 502);
        }
    }
}

// Guards against a large request or answer that is cut, mixed or kept whole in the memory of the gateway between.
TEST_CASE("large requests and answers pass through a peer unchanged")
{
    constexpr std::size_t size = 3000000;
    std::string content;
    for (std::size_t i = 0; content.size() < size; ++i) {
        content += std::to_string(i) + ",";
    }
    CutOffBed bed;
    bed.startBoth();
    bed.cutAndNotice();
    for (const auto &[name, target] : bed.targets) {
        target->answers = [](FakeRequest &request) { request.reply("200 OK", request.body); };
    }
    FakeCaller caller(bed.address());
    caller.send(bed.request("POST", "/desk/1", "Content-Length: " + std::to_string(content.size()) + "\r\n") + content);
    REQUIRE(
        GatewayTestbed::waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; }, Millis{10000}));
    CHECK(caller.reply.status == 200);
    CHECK(caller.reply.body == content);
}

// Guards against requests that go on to a gateway that is about to end, and against an end that cuts them.
TEST_CASE("a gateway that stops ends the tunnels that it carries only after their requests")
{
    CutOffBed bed;
    bed.startBoth();
    bed.cutAndNotice();
    std::vector<FakeRequest> asked;
    for (const auto &[name, target] : bed.targets) {
        target->answers = [&asked](FakeRequest &request) { asked.push_back(request); };
    }
    FakeCaller caller(bed.address());
    caller.send(bed.request("POST", "/desk/1", "Content-Length: 0\r\n"));
    REQUIRE(GatewayTestbed::waitFor([&asked] { return asked.size() == 1; }));
    bed.neighbour->stop();
    CutOffBed::pause(Millis{600});
    asked.front().reply("200 OK", "well");
    REQUIRE(GatewayTestbed::waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; }));
    CHECK(caller.reply.status == 200);
}
