#pragma once

// Claims idempotency keys for the requests of one entry router, so that each key is dispatched at most once. Before a
// request is dispatched, its attempt claims the key at the key's witnesses. It may be dispatched only if a quorum of
// them granted the claim, and only within ClaimParameters::dispatchWindow.
//
//     claimant.setInstances(makeInstanceList(names));
//     claimant.begin(now, Claim{key, attempt, bodyDigest}, outbox);
//     ... claimant.receive(now, from, vote, outbox); claimant.tick(now, outbox) at nextDeadline() ...
//     for (const ClaimOutcome &outcome : claimant.takeOutcomes()) {
//         if (outcome.kind == ClaimOutcomeKind::Acquired && claimant.mayDispatch(outcome.attempt,
//         Millis::monotonicNow())) {
//             // dispatch the request in the same step
//         }
//     }
//
// Messages to the own instance are put into the outbox like all others; the caller delivers them to its own witness.
//
// If concurrent attempts of one key prevent each other from reaching a quorum, the attempt with the smallest id repeats
// its requests. Each attempt with a larger id withdraws, backs off and asks again, and then finds the other one as the
// holder. Every attempt ends within claimTimeout of its begin, also if messages are lost.

#include "sequoiausher/coordination/claims/claimparameters.h"
#include "sequoiausher/coordination/claims/instancelist.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** The result of a claim. */
enum class ClaimOutcomeKind {
    /** A quorum granted the claim. Dispatch the request if mayDispatch returns true, else treat it as NoQuorum. */
    Acquired,
    /** Another attempt holds the key; the caller can attach to that attempt at holder. */
    HeldBy,
    /** The key was used for a request with another body; this attempt was not run and must not be. */
    BodyDiffers,
    /**
     * This attempt was not run and never will be; the client may retry after retryAfter. Too few witnesses voted to
     * tell whether an earlier attempt of the key ran, so the answer may only state that this call was not run.
     */
    NoQuorum,
};

template<>
inline constexpr auto nameTable<ClaimOutcomeKind> = std::to_array<NameEntry<ClaimOutcomeKind>>({
    {ClaimOutcomeKind::Acquired, "acquired"},
    {ClaimOutcomeKind::HeldBy, "held-by"},
    {ClaimOutcomeKind::BodyDiffers, "body-differs"},
    {ClaimOutcomeKind::NoQuorum, "no-quorum"},
});

/** A key and the attempt that claims it. */
struct Claim
{
    ClaimKey key;
    /** Unique for each client call. */
    RequestId attempt;
    std::uint64_t bodyDigest = 0;
};

/** The result of one claim, with its details. */
struct ClaimOutcome
{
    ClaimOutcomeKind kind = ClaimOutcomeKind::NoQuorum;
    ClaimKey key;
    RequestId attempt;
    /** Acquired: the dispatch has to begin before this time of the entry router's monotonic clock. */
    Millis dispatchBy;
    /** HeldBy and BodyDiffers: the instance and the attempt that hold the key. */
    InstanceId holder;
    RequestId heldBy;
    /** NoQuorum: the delay after which a retry may succeed. */
    Millis retryAfter;
};

/** Claims keys for the requests of one entry router. A plain state machine; not thread-safe. */
class Claimant
{
public:
    Claimant(const InstanceId &self, const ClaimParameters &parameters);
    ~Claimant();
    Claimant(const Claimant &) = delete;
    Claimant &operator=(const Claimant &) = delete;

    /** Sets the platform's list of instances. It is used by claims that begin or are renewed after this call. */
    void setInstances(const InstanceList &list);

    /**
     * Begins a claim, or another round of an attempt that has withdrawn its claim. The latter is for an attempt that
     * found the key held by another attempt which turned out not to have run.
     * @throws Error (Step::Claim) if the attempt has an active claim, or belongs to another key.
     */
    void begin(Millis now, const Claim &claim, Outbox &outbox);
    /** Handles a vote. Late votes, duplicates, and votes of instances that are no witnesses of the key are harmless. */
    void receive(Millis now, const InstanceId &from, const ClaimVote &vote, Outbox &outbox);
    /**
     * Repeats requests, ends claims that timed out, and renews claims of dispatched attempts. Call it whenever
     * now >= nextDeadline(). A late call ends an overdue claim even if more votes might arrive.
     */
    void tick(Millis now, Outbox &outbox);
    Millis nextDeadline() const;
    /** Returns the results of the claims that ended since the last call. */
    std::vector<ClaimOutcome> takeOutcomes();

    /**
     * Whether the attempt may be dispatched at now. Returns true at most once, and then marks the attempt as
     * dispatched. Read the clock just before this call: if the process was paused since the quorum was reached, the
     * witnesses may have forgotten the claim. If false is returned, this call was not run and never will be.
     */
    bool mayDispatch(const RequestId &attempt, Millis now);

    /**
     * Whether an attempt for which mayDispatch returned true, and which certainly did not reach its target, may be
     * sent to another target at now. The deadline and its reason are those of mayDispatch. Has no side effects.
     */
    bool mayRedispatch(const RequestId &attempt, Millis now) const;

    /**
     * Whether it is certain that no attempt of the key was dispatched within lifetime: true while this attempt is
     * acquired and before its deadline. A refusal at this point, for example by admission control, may then state
     * 'not run' for the key and not only for this call.
     */
    bool isKeyUnrun(const RequestId &attempt, Millis now) const;

    /**
     * Withdraws the claim and so frees the key. Allowed only if the attempt certainly did not run: admission control
     * refused it, or nothing of it was written to a target. A dispatched attempt may be withdrawn only if the target
     * certainly never received it.
     */
    void withdraw(Millis now, const RequestId &attempt, Outbox &outbox);
    /**
     * Sends the withdrawal again. Call it if another router asks for the answer of this attempt, which shows that a
     * witness has not received the withdrawal and still names the attempt as the holder.
     * @return false if the attempt is not known to be withdrawn; it may be running, or its outcome is unknown.
     */
    bool repeatWithdrawal(Millis now, const RequestId &attempt, Outbox &outbox);

    /**
     * Ends the renewal of a dispatched attempt's claim; call it when the answer has ended. Until then the claim is
     * renewed four times per lifetime, so that the attempt may run longer than a lifetime. The key stays claimed for
     * lifetime after the dispatch, and for at least three quarters of lifetime after the end of the answer. No message
     * is sent: most answers end long before the first renewal.
     */
    void finishAttempt(const RequestId &attempt);

    /** Whether this claimant has an active attempt of key; a retry can join that attempt without a claim. */
    bool hasActiveAttempt(const ClaimKey &key) const;
    /** The number of attempts in memory, including those withdrawn recently. */
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
