#include "sequoiausher/coordination/gateway/retrydecision.h"

namespace Sequoiausher {

namespace {

bool isKnownNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::NotRun;
}

bool maySendAgain(const AttemptState &state, AttemptEnd end)
{
    if (end == AttemptEnd::DeadlineExceeded || !state.isRetryAllowed || state.timeLeft < state.minRetryTime) {
        return false;
    }
    if (state.targetsUsed >= state.mostTargets || (state.isAnswerBegun && !state.canResumeAnswer)) {
        return false;
    }
    return state.isIdempotent || (isKnownNotRun(end) && !state.mayHaveRun);
}

} // namespace

NextStep decideNextStep(const AttemptState &state, AttemptEnd end)
{
    if (maySendAgain(state, end)) {
        return NextStep::SendAgain;
    }
    if (state.isAnswerBegun) {
        return NextStep::CutOff;
    }
    if (end == AttemptEnd::Failed) {
        return NextStep::ForwardFailure;
    }
    if (end == AttemptEnd::DeadlineExceeded) {
        return state.mayHaveRun ? NextStep::RespondTimeout : NextStep::RefuseNotRun;
    }
    return isKnownNotRun(end) && !state.mayHaveRun ? NextStep::RefuseNotRun : NextStep::RespondUnknown;
}

} // namespace Sequoiausher
