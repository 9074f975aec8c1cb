#include "sequoiausher/coordination/gateway/attemptfate.h"

namespace Sequoiausher {

namespace {

bool surelyDidNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::NotRun;
}

bool maySendAgain(const AttemptState &state, AttemptEnd end)
{
    if (end == AttemptEnd::TimeUp || !state.isRetryAllowed || state.timeLeft < state.leastTime) {
        return false;
    }
    if (state.targetsUsed >= state.mostTargets || (state.isAnswerBegun && !state.isContinuable)) {
        return false;
    }
    return state.isIdempotent || (surelyDidNotRun(end) && !state.mayHaveRun);
}

} // namespace

NextStep afterAttempt(const AttemptState &state, AttemptEnd end)
{
    if (maySendAgain(state, end)) {
        return NextStep::SendAgain;
    }
    if (state.isAnswerBegun) {
        return NextStep::CutOff;
    }
    if (end == AttemptEnd::Failed) {
        return NextStep::PassOn;
    }
    if (end == AttemptEnd::TimeUp) {
        return state.mayHaveRun ? NextStep::SayTimeout : NextStep::RefuseNotRun;
    }
    return surelyDidNotRun(end) && !state.mayHaveRun ? NextStep::RefuseNotRun : NextStep::SayUnknown;
}

} // namespace Sequoiausher
