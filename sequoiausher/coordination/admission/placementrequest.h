#pragma once

// The properties of a request by which admission chooses its target.
//
//     const PlacementRequest placementRequest{request, pool, chatHash, PolicyKind::BoundedRendezvous, 125, {}};

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/admissionmessages.h"

namespace Sequoiausher {

/** A request that needs a target. */
struct PlacementRequest
{
    RequestId request;
    PoolId pool;
    std::uint64_t chatHash = 0;
    PolicyKind policy = PolicyKind::BoundedRendezvous;
    std::uint32_t boundPercent = 125;
    /** Targets found unusable for this request. */
    std::vector<TargetId> excluded;
    RequestClass requestClass = RequestClass::Interactive;
    /** A hash of the prompt prefix that the chat shares with other chats; 0 if none is known. */
    std::uint64_t prefixHash = 0;
    /** organisationHash() of the organisation; 0 if it is not known. */
    std::uint16_t organisation = 0;
    /** From this time on, a place is of no use, and the result is ReserveOutcome::Full. */
    Millis giveUpAt = Millis::never();
};

} // namespace Sequoiausher
