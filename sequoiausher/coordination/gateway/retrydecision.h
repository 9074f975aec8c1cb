#pragma once

// What may follow when a request's try at a target ends without a good answer: once more at another target, a
// continuation of its stream, or an end that says the truth about whether it ran. No sockets: the exchange that carries
// the request asks here, so that every way to a second run stands in one place.
//
//     AttemptState state;
//     state.isIdempotent = route.isIdempotent();
//     switch (decideNextStep(state, AttemptEnd::NoAnswer)) { ... }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstdint>

namespace Sequoiausher {

/** How a try ended. */
enum class AttemptEnd {
    /** Nothing of the request has left this process. */
    NotSent,
    /** The target said that it did not run it. */
    NotRun,
    /** The connection was lost before an answer, or the answer could not be read or was another's. */
    NoAnswer,
    /** No sign of an answer for longer than is worth waiting. */
    Silent,
    /** The answer broke off. */
    Broken,
    /** The target ran it and says that it failed. */
    Failed,
    /** The time of the caller or of the route is over. */
    DeadlineExceeded,
};

template<>
inline constexpr auto nameTable<AttemptEnd> = std::to_array<NameEntry<AttemptEnd>>({
    {AttemptEnd::NotSent, "not-sent"},
    {AttemptEnd::NotRun, "not-run"},
    {AttemptEnd::NoAnswer, "no-answer"},
    {AttemptEnd::Silent, "silent"},
    {AttemptEnd::Broken, "broken"},
    {AttemptEnd::Failed, "failed"},
    {AttemptEnd::DeadlineExceeded, "time-up"},
});

/** What is known of the request when a try ends. */
struct AttemptState
{
    /** It may run more than once. */
    bool isIdempotent = false;
    /** A try before this one may have run. */
    bool mayHaveRun = false;
    /** The caller has the head of an answer. */
    bool isAnswerBegun = false;
    /** Targets that it was sent to, this one included unless nothing was sent. */
    std::uint32_t targetsUsed = 0;
    std::uint32_t mostTargets = 1;
    /** Until the final answer is due. */
    Millis timeLeft;
    /** The least time in which another target can be of use. */
    Millis minRetryTime{30};
    /** Another target is there, and the budget has a retry left. */
    bool isRetryAllowed = false;
    /**
     * Another target could go on with an answer that is begun, as it could with a stream of events. Any other answer
     * would come from its beginning once more, and look whole.
     */
    bool canResumeAnswer = true;
};

/** What follows. */
enum class NextStep {
    /** Send it to another target. */
    SendAgain,
    /** Answer 503: not run and never will be. */
    RefuseNotRun,
    /** Answer 502: it may have run. */
    RespondUnknown,
    /** Answer 504: no answer in time, it may have run. */
    RespondTimeout,
    /** Give the caller the target's own failure. */
    ForwardFailure,
    /** The caller has part of an answer: close the connection, so that the part does not look whole. */
    CutOff,
};

template<>
inline constexpr auto nameTable<NextStep> = std::to_array<NameEntry<NextStep>>({
    {NextStep::SendAgain, "send-again"},
    {NextStep::RefuseNotRun, "refuse-not-run"},
    {NextStep::RespondUnknown, "say-unknown"},
    {NextStep::RespondTimeout, "say-timeout"},
    {NextStep::ForwardFailure, "pass-on"},
    {NextStep::CutOff, "cut-off"},
});

/** What follows a try that ended so. */
NextStep decideNextStep(const AttemptState &state, AttemptEnd end);

} // namespace Sequoiausher
