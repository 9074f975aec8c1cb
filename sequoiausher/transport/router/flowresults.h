#pragma once

// The results of claims and reservations as a request's flow takes them, and how a refused request counts in the
// metrics.
//
//     flow.claimed(now, claimFindingOf(outcome));
//     flow.reserved(now, reserveReplyOf(result));

#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/coordination/admission/reserver.h"
#include "sequoiausher/coordination/claims/claimant.h"
#include "sequoiausher/coordination/flow/flowaction.h"

namespace Sequoiausher {

/** What the flow learns of a claim that ended. */
ClaimFinding claimFindingOf(const ClaimOutcome &outcome);

/** What the flow learns of a reservation that ended: a place is granted, there is no target, or no target has room. */
ReserveReply reserveReplyOf(const ReserveResult &result);

/** What a refusal counts as. */
Outcome outcomeOf(const Refuse &refusal);

} // namespace Sequoiausher
