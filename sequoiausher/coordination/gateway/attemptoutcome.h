#pragma once

// Classifies how an attempt of a request at a target ended and what that means for the health of the target: by the
// answer of the target, by how the answer was lost, or by why the gateway stopped waiting. Uses no sockets and no
// clock. The exchange that carries the request reports what arrived, so that every case in which a request counts as
// not run is in one place.
//
//     AnswerState state;
//     state.status = 503;
//     if (const auto outcome = classifyCompleteAnswer(state)) { endAttempt(outcome->end, outcome->mark); }

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/attempttimeout.h"
#include "sequoiausher/coordination/gateway/retrydecision.h"
#include "sequoiausher/coordination/gateway/targetboard.h"

#include <optional>

namespace Sequoiausher {

/** What marks the end of an answer that is complete so far. */
enum class AnswerEnd {
    /** The answer itself: a length or chunks. */
    Framing,
    /** The close of its connection, in order, by a target that has accepted another connection since. */
    Close,
    /**
     * The close of its connection alone. The kernel closes in order, too, if the target's process ended within the
     * answer.
     */
    UnconfirmedClose,
};

template<>
inline constexpr auto nameTable<AnswerEnd> = std::to_array<NameEntry<AnswerEnd>>({
    {AnswerEnd::Framing, "framing"},
    {AnswerEnd::Close, "close"},
    {AnswerEnd::UnconfirmedClose, "unconfirmed-close"},
});

/**
 * What is known of a target's answer. The first four members describe the answer of the present attempt, whose head may
 * not have arrived yet.
 */
struct AnswerState
{
    bool hasHead = false;
    int status = 0;
    /** The target stated that it did not run the request and never will. */
    bool didNotRun = false;
    /** A different target answered at the address. */
    bool isMisdirected = false;
    /** The request may run more than once. */
    bool isIdempotent = false;
    /** The caller has received the head of an answer, of this attempt or of an earlier one. */
    bool isAnswerBegun = false;
    /** The answer is forwarded while it arrives: a stream of events, or an answer too long to be buffered. */
    bool isForwardedAsItArrives = false;
    /** The answer is a stream and has stopped inside an event. */
    bool isInsideEvent = false;
    /** The answer is a stream, and the caller has no event of it, from this attempt or an earlier one. */
    bool isEmptyStream = false;
    AnswerEnd end = AnswerEnd::Framing;
};

/** How an attempt ended, and how that counts for the health of its target. */
struct AttemptOutcome
{
    AttemptEnd end = AttemptEnd::NoAnswer;
    TargetOutcome mark = TargetOutcome::Neutral;

    bool operator==(const AttemptOutcome &) const = default;
};

/** Classifies a complete answer: how the attempt failed; none where the answer goes to the caller. */
std::optional<AttemptOutcome> classifyCompleteAnswer(const AnswerState &state);

/** Classifies an attempt without a complete answer. @param how NotSent, NoAnswer or Broken. */
AttemptOutcome classifyLostAnswer(const AnswerState &state, AttemptEnd how);

/** Classifies an attempt that the gateway stopped waiting for; none where it keeps waiting. */
std::optional<AttemptOutcome> classifyAbandonedWait(WaitDecision decision, bool hasHead);

/** Returns the mark that the target gets for an answer that goes to the caller. */
TargetOutcome markForStatus(int status);

/**
 * Whether the status would imply to the caller that the request did not run although the target has not stated that.
 * Such an answer must not reach the caller, who would send a request again that may have run.
 */
bool falselyImpliesNotRun(int status, bool didNotRun);

} // namespace Sequoiausher
