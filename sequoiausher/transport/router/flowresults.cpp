#include "sequoiausher/transport/router/flowresults.h"

namespace Sequoiausher {

namespace {

ClaimResult resultOf(ClaimOutcomeKind kind)
{
    switch (kind) {
    case ClaimOutcomeKind::Acquired:
        return ClaimResult::Acquired;
    case ClaimOutcomeKind::HeldBy:
        return ClaimResult::HeldByOther;
    case ClaimOutcomeKind::BodyDiffers:
        return ClaimResult::BodyDiffers;
    case ClaimOutcomeKind::NoQuorum:
        break;
    }
    return ClaimResult::NoQuorum;
}

ReserveVerdict verdictOf(ReserveOutcome outcome)
{
    switch (outcome) {
    case ReserveOutcome::Granted:
    case ReserveOutcome::GrantedLocally:
        return ReserveVerdict::Granted;
    case ReserveOutcome::NoTarget:
        return ReserveVerdict::NoTarget;
    case ReserveOutcome::Full:
    case ReserveOutcome::Unreachable:
        break;
    }
    return ReserveVerdict::Full;
}

} // namespace

ClaimFinding claimFindingOf(const ClaimOutcome &outcome)
{
    return ClaimFinding{resultOf(outcome.kind), outcome.holder, outcome.heldBy, outcome.retryAfter};
}

ReserveReply reserveReplyOf(const ReserveResult &result)
{
    return ReserveReply{result.request, verdictOf(result.outcome), result.target, result.retryAfter};
}

Outcome outcomeOf(const Refuse &refusal)
{
    switch (refusal.reason) {
    case RefusalReason::RateLimited:
        return Outcome::RefusedLimit;
    case RefusalReason::NoQuorum:
    case RefusalReason::RouterPaused:
        return Outcome::RefusedNoQuorum;
    case RefusalReason::KeyReused:
        return Outcome::RefusedInvalid;
    case RefusalReason::DeadlinePassed:
        return refusal.ran == Ran::No ? Outcome::RefusedDeadline : Outcome::Unknown;
    case RefusalReason::ClientGone:
        return Outcome::Cancelled;
    case RefusalReason::OutcomeUnknown:
        return Outcome::Unknown;
    case RefusalReason::NoTarget:
    case RefusalReason::PoolFull:
    case RefusalReason::TargetUnreachable:
        break;
    case RefusalReason::Stopping:
        return refusal.ran == Ran::No ? Outcome::RefusedFull : Outcome::Unknown;
    }
    return Outcome::RefusedFull;
}

} // namespace Sequoiausher
