#pragma once

// The kinds of messages between routers, numbered as on the wire, with names for metrics, and a rough size of each
// message for bounding queues.
//
//     nameOf(kindOf(PeerMessage{ClaimRequest{}}));   // "claim-request"

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <cstddef>
#include <cstdint>

namespace Sequoiausher {

/** The number of a kind in peer.fbs. Never changes: routers of different versions talk to each other. */
enum class MessageKind : std::uint8_t {
    ClaimRequest = 1,
    ClaimVote = 2,
    ClaimWithdraw = 3,
    ClaimPull = 4,
    ClaimPage = 5,
    ReserveRequest = 6,
    ReserveReply = 7,
    Release = 8,
    HoldingsReport = 9,
    Probe = 10,
    ProbeReply = 11,
    IndirectProbe = 12,
    DocumentPush = 13,
    DocumentDigest = 14,
    DocumentPull = 15,
    AttachRequest = 16,
    AttachReply = 17,
    AttachChunk = 18,
    AttachEnd = 19,
    AttachCancel = 20,
    HoldingsDigest = 21,
    HoldingsAnswer = 22,
    AnswerPage = 23,
    AnswerPageAck = 24,
    GatewayReport = 25,
    GatewayStreamOrigin = 26,
    GatewayAdmissionRequest = 27,
    GatewayAdmissionReply = 28,
    GatewayAdmissionRelease = 29,
};

template<>
inline constexpr auto nameTable<MessageKind> = std::to_array<NameEntry<MessageKind>>({
    {MessageKind::ClaimRequest, "claim-request"},
    {MessageKind::ClaimVote, "claim-vote"},
    {MessageKind::ClaimWithdraw, "claim-withdraw"},
    {MessageKind::ClaimPull, "claim-pull"},
    {MessageKind::ClaimPage, "claim-page"},
    {MessageKind::ReserveRequest, "reserve-request"},
    {MessageKind::ReserveReply, "reserve-reply"},
    {MessageKind::Release, "release"},
    {MessageKind::HoldingsReport, "holdings-report"},
    {MessageKind::Probe, "probe"},
    {MessageKind::ProbeReply, "probe-reply"},
    {MessageKind::IndirectProbe, "indirect-probe"},
    {MessageKind::DocumentPush, "document-push"},
    {MessageKind::DocumentDigest, "document-digest"},
    {MessageKind::DocumentPull, "document-pull"},
    {MessageKind::AttachRequest, "attach-request"},
    {MessageKind::AttachReply, "attach-reply"},
    {MessageKind::AttachChunk, "attach-chunk"},
    {MessageKind::AttachEnd, "attach-end"},
    {MessageKind::AttachCancel, "attach-cancel"},
    {MessageKind::HoldingsDigest, "holdings-digest"},
    {MessageKind::HoldingsAnswer, "holdings-answer"},
    {MessageKind::AnswerPage, "answer-page"},
    {MessageKind::AnswerPageAck, "answer-page-ack"},
    {MessageKind::GatewayReport, "gateway-report"},
    {MessageKind::GatewayStreamOrigin, "gateway-stream-origin"},
    {MessageKind::GatewayAdmissionRequest, "gateway-admission-request"},
    {MessageKind::GatewayAdmissionReply, "gateway-admission-reply"},
    {MessageKind::GatewayAdmissionRelease, "gateway-admission-release"},
});

/** One more than the highest number of a kind: the size of a table indexed by kind. */
inline constexpr std::size_t messageKindLimit = 30;

/** The kind of message. */
MessageKind kindOf(const PeerMessage &message);

/** About how many bytes message takes, in memory and on the wire, within a small factor. Cheap; never 0. */
std::size_t roughSize(const PeerMessage &message);

} // namespace Sequoiausher
