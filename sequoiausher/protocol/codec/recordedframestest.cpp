#include "sequoiausher/protocol/codec/peercodec.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

using namespace Sequoiausher;

namespace {

/** A report and a list of targets, as gateways wrote them before reports told of requests that crash targets. */
constexpr std::string_view beforeCrashes
    = "4800000000004200180000000000000000000000040008000c00000000000000000000000000000000000000000000000000"
      "100000000000000000000000000000000000000014004200000038000000280000001c000000100000000400000001000000"
      "e4000000010000005000000002000000190d0000060000000e060e06030300002e00000031302e312e302e34303a37333430"
      "68616c6c2d6131302e322e302e32393a3733343068616c6c2d62692d31692d32060008000400060000000400000001000000"
      "1400000000000e00200004000c000800000014000e00000028000000180000004d0000000000000003000000000000000000"
      "0000060000007061636b656400000f000000676174657761792f746172676574730000002a0054002800300038000c004000"
      "10001400050018001c0006000700080000000a0020002400090048002a0000000001010101011400fa000000840000005400"
      "000078000000600000003c0000003000000040e201000000000008e20100000000002a000000000000004d00000000000000"
      "03000000000000000000000002000000020004000600000068616c6c2d620000020000000700000005000000000000000600"
      "0100010000008877665544332211060000000000000000000000020000002c010000010005000a00000003001400";

std::string bytesOf(std::string_view hex)
{
    constexpr int base = 16;
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, base)));
    }
    return bytes;
}

} // namespace

// Guards against a release that gateways of the one before cannot work with while a fleet is replaced one by one.
TEST_CASE("what gateways of the last release wrote is read as it was meant")
{
    GatewayReport report;
    report.sentAt = Millis{123456};
    report.echo = Millis{123400};
    report.configuration = 42;
    report.proofAge = Millis{250};
    report.storeAge = Millis{120};
    report.targets = 77;
    report.members = {{InstanceId{"10.1.0.40:7340"}, Millis{300}, 5, DataCentreId{"hall-a"}},
                      {InstanceId{"10.2.0.29:7340"}, Millis{10}, 20, DataCentreId{"hall-b"}}};
    report.loads = {{TargetId{"i-1"}, 7, false}, {TargetId{"i-2"}, 0, true}};
    report.placements = {{0x1122334455667788ULL, TargetId{"i-2"}}};
    report.leaving = true;
    report.wantsReply = true;
    report.isResting = true;
    report.isHub = true;
    report.strength = 20;
    report.dataCentre = DataCentreId{"hall-b"};
    report.isSettled = true;
    report.storeEra = 3;
    const DecodedFrame decoded = decodeFrame(bytesOf(beforeCrashes), "gateway g1");
    CHECK(decoded.skipped == 0);
    REQUIRE(decoded.messages.size() == 2);
    CHECK(decoded.messages[0] == PeerMessage{report});
    CHECK(decoded.messages[1] == PeerMessage{DocumentPush{{{"gateway/targets", 77, "packed", false, 3}}, 0}});
}
