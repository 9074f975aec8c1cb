#pragma once

// Converts the results of claims and reservations into those of a request's flow, and refusals into outcomes for the
// metrics.
//
//     flow.claimed(now, claimFindingOf(outcome));
//     flow.reserved(now, reserveReplyOf(result));

#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/coordination/admission/reserver.h"
#include "sequoiausher/coordination/claims/claimant.h"
#include "sequoiausher/coordination/flow/flowaction.h"

namespace Sequoiausher {

/** Returns the result of an ended claim for the flow. */
ClaimFinding claimFindingOf(const ClaimOutcome &outcome);

/** Returns the result of an ended reservation for the flow: a place, no target, or no target with a free slot. */
ReserveReply reserveReplyOf(const ReserveResult &result);

/** Returns the outcome that a refusal counts as. */
Outcome outcomeOf(const Refuse &refusal);

} // namespace Sequoiausher
