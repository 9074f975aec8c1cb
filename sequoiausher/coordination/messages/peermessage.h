#pragma once

// The variant of all messages between two routers or two gateways, and the outbox in which the coordination code
// returns messages for the transport to send.
//
//     Outbox outbox;
//     witness.receive(now, from, claimRequest, outbox);
//     for (const Outgoing &out : outbox) { links.send(out.to, out.message); }

#include "sequoiausher/coordination/messages/admissionmessages.h"
#include "sequoiausher/coordination/messages/answermessages.h"
#include "sequoiausher/coordination/messages/attachmessages.h"
#include "sequoiausher/coordination/messages/claimmessages.h"
#include "sequoiausher/coordination/messages/documentmessages.h"
#include "sequoiausher/coordination/messages/gatewayadmissionmessages.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"
#include "sequoiausher/coordination/messages/membershipmessages.h"
#include "sequoiausher/coordination/messages/streamoriginmessages.h"

#include <variant>
#include <vector>

namespace Sequoiausher {

using PeerMessage = std::variant<ClaimRequest,
                                 ClaimVote,
                                 ClaimWithdraw,
                                 ClaimPull,
                                 ClaimPage,
                                 ReserveRequest,
                                 ReserveReply,
                                 Release,
                                 HoldingsReport,
                                 Probe,
                                 ProbeReply,
                                 IndirectProbe,
                                 DocumentPush,
                                 DocumentDigest,
                                 DocumentPull,
                                 AttachRequest,
                                 AttachReply,
                                 AttachChunk,
                                 AttachEnd,
                                 AttachCancel,
                                 HoldingsDigest,
                                 HoldingsAnswer,
                                 AnswerPage,
                                 AnswerPageAck,
                                 GatewayReport,
                                 GatewayStreamOrigin,
                                 GatewayAdmissionRequest,
                                 GatewayAdmissionReply,
                                 GatewayAdmissionRelease>;

/** A message to be sent to one instance. */
struct Outgoing
{
    InstanceId to;
    PeerMessage message;

    bool operator==(const Outgoing &) const = default;
};

using Outbox = std::vector<Outgoing>;

} // namespace Sequoiausher
