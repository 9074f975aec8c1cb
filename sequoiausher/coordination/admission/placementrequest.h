#pragma once

// What a request asks of admission.
//
//     const PlacementRequest wanted{request, PoolId{"plates"}, chatHash, PolicyKind::BoundedRendezvous, 125, {}};

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/admissionmessages.h"

namespace Sequoiausher {

/** A request that wants a target. */
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
    /** Of the prompt prefix that the chat shares with others; 0 where none is known. */
    std::uint64_t prefixHash = 0;
    /** A hash of the organisation; 0 where it is not known. */
    std::uint16_t organisation = 0;
    /** After this point in time a place is of no use any more, and the result is ReserveOutcome::Full. */
    Millis giveUpAt = Millis::never();
};

} // namespace Sequoiausher
