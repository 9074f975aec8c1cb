#pragma once

// One request over all its tries: where it was sent, whether it may have run, and what follows when a try ends. No
// sockets and no clock: the exchange that carries the request reports what it did, and offers what a retry needs.
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

/** What holds for all tries of a request. */
struct AttemptBounds
{
    /** It may run more than once. */
    bool isIdempotent = false;
    /** How many targets it may be sent to. */
    std::uint32_t mostTargets = 1;
    /** Its rule lets it be sent to another target. */
    bool mayRetry = true;
    /** When its final answer is due. */
    Millis deadline;
};

/** What a retry needs. */
class RetrySource
{
public:
    virtual ~RetrySource() = default;
    /** Whether another target is there. */
    virtual bool findTarget(Millis now) = 0;
    /** Takes a retry from the budget; false where none is left. */
    virtual bool takeRetry(Millis now) = 0;
};

/** Whether a request may leave a target that still might answer. */
enum class LeaveDecision {
    /** The next retry is paid for. */
    Leave,
    /** There is no other target. */
    NoTarget,
    /** The budget has no retry left: the present target is the best chance. */
    NoRetry,
};

template<>
inline constexpr auto nameTable<LeaveDecision> = std::to_array<NameEntry<LeaveDecision>>({
    {LeaveDecision::Leave, "leave"},
    {LeaveDecision::NoTarget, "no-target"},
    {LeaveDecision::NoRetry, "no-retry"},
});

/** Not thread-safe. */
class RequestAttempts
{
public:
    RequestAttempts() = default;
    explicit RequestAttempts(const AttemptBounds &bounds);

    /** The target was chosen, and is not chosen again, whether or not anything is sent to it. */
    void recordTarget(const TargetId &target);
    /** The request goes to the target that was chosen last. */
    void recordSent();
    /** The caller has a part of an answer that no other target can go on with. */
    void markAnswerNotResumable();
    /** The try that was sent last is over. @param mayHaveArrived whether its target may have any byte of it. */
    void recordEnd(AttemptEnd end, bool mayHaveArrived);

    /**
     * What follows. It asks for a target only where the request may be sent again, and for a retry only where there is
     * a target, since asking takes from the budget; the first sending needs none.
     */
    NextStep decideNext(AttemptEnd end, bool isAnswerBegun, Millis now, RetrySource &source);
    /** Asks whether the request may go to another target before its present one has answered, and pays for it. */
    LeaveDecision tryLeaveTarget(Millis now, RetrySource &source);

    /** It may be sent to another target though it may have run. */
    bool mayRunElsewhere() const;
    const std::vector<TargetId> &tried() const;
    /** Targets that it was sent to, without those that nothing reached. */
    std::uint32_t targetsUsed() const;

private:
    bool payForRetry(Millis now, RetrySource &source);

    AttemptBounds bounds;
    std::vector<TargetId> triedTargets;
    std::uint32_t used = 0;
    bool mayHaveRun = false;
    bool canResumeAnswer = true;
    /** The budget has paid for the next retry already. */
    bool isRetryPaid = false;
};

} // namespace Sequoiausher
