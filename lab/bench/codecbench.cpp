// Prints how many bytes each message between routers takes in a frame, with the length in front: for one message alone
// and for each of a batch of 32. docs/CAPACITY.md multiplies these.

#include "sequoiausher/protocol/codec/messagekind.h"
#include "sequoiausher/protocol/codec/peercodec.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr std::size_t lengthPrefix = 4;
constexpr std::size_t batchSize = 32;

const InstanceId instance{"brest-1-router-0017"};
const TargetId target{"plate-model-00042"};
const PoolId pool{"plate-model"};
const std::string documentName = "rules/organisation/kentekenlab";

AnswerFragment answerOf(const std::string &body)
{
    return {describe(RequestId{1, 2}, ClaimKey{3, 4}, 5, AnswerHead{200, "application/json"}, body), 0, body};
}

// What rides on a probe on an ordinary day.
Gossip ordinaryGossip()
{
    constexpr std::size_t newsOfEach = 6;
    Gossip gossip;
    for (std::size_t i = 0; i < newsOfEach; ++i) {
        const std::string suffix = std::to_string(i);
        gossip.instances.push_back({InstanceId{instance.value + suffix}, {1700000000000, LifeState::Leaving}});
        gossip.targets.push_back({TargetId{target.value + suffix}, {1700000000000, LifeState::Live}});
        gossip.sums.push_back({pool, static_cast<std::uint32_t>(i), 100, 12, Millis{500}});
    }
    return gossip;
}

std::vector<PeerMessage> samples()
{
    const ClaimKey key{1, 2};
    const RequestId request{3, 4};
    constexpr std::size_t held = 100;
    return {
        ClaimRequest{key, request, 1, 5},
        ClaimVote{key, request, 1, ClaimVerdict::Granted, {}, {}},
        ClaimWithdraw{key, request, 1},
        ClaimPull{1, key},
        ClaimPage{1, false, false, false, key, std::vector(held, ClaimRecord{key, request, 1, 5, instance, Millis{9}})},
        ReserveRequest{request, pool, 1, 2, PolicyKind::BoundedRendezvous, 125, {}, RequestClass::Interactive, 7},
        ReserveReply{request, ReserveVerdict::Granted, target, Millis{}},
        Release{request, pool, 1},
        HoldingsReport{pool, 1, 2, std::vector(held, Holding{request, target})},
        Probe{1, ordinaryGossip()},
        ProbeReply{1, instance, ordinaryGossip()},
        IndirectProbe{1, instance},
        DocumentPush{{Document{documentName, 7, std::string(1024, 'x'), false}}, 1},
        DocumentDigest{std::vector(held, DocumentVersion{documentName, 7}), true, 1, {}, {}, true},
        DocumentPull{{documentName}},
        AnswerPage{1, 1, {answerOf(std::string(1024, 'x'))}},
        AnswerPageAck{1, 1},
        GatewayReport{Millis{1},
                      Millis{1},
                      7,
                      Millis{100},
                      Millis{100},
                      9,
                      {GatewayMember{instance, Millis{100}}},
                      std::vector(held, GatewayLoad{target, 3, false}),
                      {GatewayPlacement{1, target}}},
        AttachRequest{request, key, request},
        AttachReply{request, AttachVerdict::Follows, 200, "text/event-stream"},
        AttachChunk{request, 0, std::string(256, 'x')},
        AttachEnd{request, true, ""},
        AttachCancel{request},
        HoldingsDigest{pool, 1, 2, 3, 4},
        HoldingsAnswer{pool, 1, true}};
}

std::size_t frameBytes(const PeerMessage &message, std::size_t count)
{
    return encodeFrame(std::vector(count, message)).size() + lengthPrefix;
}

std::string figureName(const PeerMessage &message)
{
    std::string name = "bytes_" + std::string(nameOf(kindOf(message)));
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

void print(const std::string &name, const PeerMessage &message)
{
    std::printf("figure %s %zu bytes\n", name.c_str(), frameBytes(message, 1));
    const double each = static_cast<double>(frameBytes(message, batchSize)) / batchSize;
    std::printf("figure %s_in_32 %.1f bytes\n", name.c_str(), each);
}

} // namespace

int main()
{
    for (const PeerMessage &message : samples()) {
        print(figureName(message), message);
    }
    return 0;
}
