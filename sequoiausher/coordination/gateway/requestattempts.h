#pragma once

// Tracks all attempts of one request: where it was sent, whether it may have run, and what follows when an attempt
// ends. Uses no sockets and no clock. The exchange that carries the request reports what it did, and provides a
// RetrySource.
//
//     RequestAttempts attempts({.isIdempotent = true, .mostTargets = 2, .mayRetry = true, .deadline = deadline});
//     attempts.recordTarget(target);
//     attempts.recordSent();
//     attempts.recordEnd(AttemptEnd::NoAnswer, true);
//     switch (attempts.decideNext(AttemptEnd::NoAnswer, false, now, source)) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/gateway/retrydecision.h"

#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** The limits for all attempts of a request. */
struct AttemptBounds
{
    /** The request may run more than once. */
    bool isIdempotent = false;
    /** The number of targets that the request may be sent to. */
    std::uint32_t mostTargets = 1;
    /** The rule of the request allows a retry at another target. */
    bool mayRetry = true;
    /** When the final answer of the request is due. */
    Millis deadline;
};

/** Provides the target and the budget that a retry needs. */
class RetrySource
{
public:
    virtual ~RetrySource() = default;
    /** Whether another target is available. */
    virtual bool findTarget(Millis now) = 0;
    /** Takes a retry from the budget; returns false where none is left. */
    virtual bool takeRetry(Millis now) = 0;
};

/** Whether a request may leave a target that may still answer. */
enum class LeaveDecision {
    /** The request may leave; the next retry has been taken from the budget. */
    Leave,
    /** No other target is available. */
    NoTarget,
    /** The budget has no retry left, so the present target is the best chance of an answer. */
    NoRetry,
};

template<>
inline constexpr auto nameTable<LeaveDecision> = std::to_array<NameEntry<LeaveDecision>>({
    {LeaveDecision::Leave, "leave"},
    {LeaveDecision::NoTarget, "no-target"},
    {LeaveDecision::NoRetry, "no-retry"},
});

/** The attempts of one request. Not thread-safe. */
class RequestAttempts
{
public:
    RequestAttempts() = default;
    explicit RequestAttempts(const AttemptBounds &bounds);

    /** Records that target was chosen. It is not chosen again, whether or not anything is sent to it. */
    void recordTarget(const TargetId &target);
    /** Records that the request is sent to the target that was chosen last. */
    void recordSent();
    /** Records that the caller has a part of an answer that no other target can resume. */
    void markAnswerNotResumable();
    /** Records the end of the latest attempt. @param mayHaveArrived whether its target may have received any byte. */
    void recordEnd(AttemptEnd end, bool mayHaveArrived);

    /**
     * Decides what follows. It asks source for a target only if the request may be sent again, and for a retry only if
     * there is a target, since asking takes a retry from the budget. The first attempt needs no retry.
     */
    NextStep decideNext(AttemptEnd end, bool isAnswerBegun, Millis now, RetrySource &source);
    /** Whether the request may leave its target before the answer. Takes the retry from the budget if it may. */
    LeaveDecision tryLeaveTarget(Millis now, RetrySource &source);

    /** Whether the request may be sent to another target although it may have run. */
    bool mayRunElsewhere() const;
    /** Whether an attempt that has ended may have run the request. */
    bool mayHaveRun() const;
    const std::vector<TargetId> &tried() const;
    /** The number of targets that the request was sent to, without those that received nothing. */
    std::uint32_t targetsUsed() const;

private:
    bool takeRetryOnce(Millis now, RetrySource &source);

    AttemptBounds bounds;
    std::vector<TargetId> triedTargets;
    std::uint32_t used = 0;
    bool hasPerhapsRun = false;
    bool canResumeAnswer = true;
    /** The next retry has already been taken from the budget. */
    bool hasTakenRetry = false;
};

} // namespace Sequoiausher
