#pragma once

// How a request's try at a target ended, and what that tells of the target: by what the target answered, by how its
// answer was lost, or by why the gateway gave up waiting. No sockets and no clock: the exchange that carries the
// request says what came, so that every way in which a request counts as not run stands in one place.
//
//     AnswerState state;
//     state.status = 503;
//     if (const auto verdict = judgeWhole(state)) { endAttempt(verdict->end, verdict->mark); }

#include "sequoiausher/coordination/gateway/attemptfate.h"
#include "sequoiausher/coordination/gateway/attemptpatience.h"
#include "sequoiausher/coordination/gateway/targetboard.h"

#include <optional>

namespace Sequoiausher {

/** What is known of a target's answer. The first four are of the present try, whose head may not have come yet. */
struct AnswerState
{
    bool hasHead = false;
    int status = 0;
    /** The target says that it did not run the request and never will. */
    bool didNotRun = false;
    /** Another target answers at the address. */
    bool isMisdirected = false;
    /** The request may run more than once. */
    bool isIdempotent = false;
    /** The caller has the head of an answer, of this try or of one before. */
    bool isAnswerBegun = false;
    /** The caller gets the answer as it comes: a stream of events, or an answer too long to be held. */
    bool isGivenAsItComes = false;
};

/** The end of a try. */
struct AttemptVerdict
{
    AttemptEnd end = AttemptEnd::NoAnswer;
    TargetOutcome mark = TargetOutcome::Neutral;

    bool operator==(const AttemptVerdict &) const = default;
};

/** The answer is whole: how the try failed all the same; none where the answer is for the caller. */
std::optional<AttemptVerdict> judgeWhole(const AnswerState &state);

/** There is no whole answer. @param how NotSent, NoAnswer or Broken. */
AttemptVerdict judgeLost(const AnswerState &state, AttemptEnd how);

/** The gateway does not wait any longer; none where it goes on. */
std::optional<AttemptVerdict> judgeGivenUp(WaitVerdict verdict, bool hasHead);

/** What an answer that is for the caller tells of its target. */
TargetOutcome markOfAnswer(int status);

/**
 * Whether the status would tell the caller that the request did not run, where the target has not said so. Such an
 * answer must not reach the caller, who would send what has run once more.
 */
bool promisesTooMuch(int status, bool didNotRun);

} // namespace Sequoiausher
