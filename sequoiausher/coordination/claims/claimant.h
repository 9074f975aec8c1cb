#pragma once

// The entry's side of at most once: before a keyed request is dispatched, its attempt claims the key at the key's
// witnesses, and only an attempt that a quorum granted may be dispatched, within a short time.
//
//     claimant.setInstances(makeInstanceList(names));
//     claimant.begin(now, Claim{key, attempt, bodyDigest}, outbox);
//     ... claimant.receive(now, from, vote, outbox); claimant.tick(now, outbox) at nextDeadline() ...
//     for (const ClaimOutcome &outcome : claimant.takeOutcomes()) {
//         if (outcome.kind == ClaimOutcomeKind::Acquired && claimant.mayDispatch(outcome.attempt,
//         Millis::monotonicNow())) {
//             // send it now, in this very step
//         }
//     }
//
// Messages to the own instance are emitted like all others; the caller loops them back to its witness.
//
// Concurrent attempts of one key: where none can reach the quorum, the one with the smaller id stays and asks again,
// and each larger one withdraws, waits, and then finds the smaller as the holder. Every attempt ends within
// claimTimeout of its begin, whatever is lost.

#include "sequoiausher/coordination/claims/claimparameters.h"
#include "sequoiausher/coordination/claims/instancelist.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** How a claim ended. */
enum class ClaimOutcomeKind {
    /** Dispatch if mayDispatch says so; else as for NoQuorum. */
    Acquired,
    /** Another attempt has the key: attach to it at holder. */
    HeldBy,
    /** The key was used before for another body; this attempt was not run and must not be. */
    BodyDiffers,
    /**
     * This attempt was not run and never will be; come back after retryAfter. Whether an earlier attempt of the key
     * ran is not known: too few witnesses could say. The answer must not say more than that this call was not run.
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

/** What is claimed. */
struct Claim
{
    ClaimKey key;
    /** Unique for each client call. */
    RequestId attempt;
    std::uint64_t bodyDigest = 0;
};

/** The end of one claim. */
struct ClaimOutcome
{
    ClaimOutcomeKind kind = ClaimOutcomeKind::NoQuorum;
    ClaimKey key;
    RequestId attempt;
    /** Acquired: the dispatch must have begun before this time of the entry's monotonic clock. */
    Millis dispatchBy;
    /** HeldBy and BodyDiffers: who has the key. */
    InstanceId holder;
    RequestId heldBy;
    /** NoQuorum: when it may be worth coming back. */
    Millis retryAfter;
};

/** Claims keys for the requests of one entry. A plain state machine; not thread-safe. */
class Claimant
{
public:
    Claimant(const InstanceId &self, const ClaimParameters &parameters);
    ~Claimant();
    Claimant(const Claimant &) = delete;
    Claimant &operator=(const Claimant &) = delete;

    /** The platform's list; used by claims begun and renewed from now on. */
    void setInstances(const InstanceList &list);

    /**
     * Begins a claim, or, for an attempt that gave its claim back, another round of it: one that found the key held
     * by an attempt which then turned out not to have run. @throws Error (Step::Claim) where it is claimed already.
     */
    void begin(Millis now, const Claim &claim, Outbox &outbox);
    /** A vote; late, doubled and foreign ones do no harm. */
    void receive(Millis now, const InstanceId &from, const ClaimVote &vote, Outbox &outbox);
    /** Repeats, gives up, renews. Call it whenever now >= nextDeadline(); a late call gives up rather than hopes. */
    void tick(Millis now, Outbox &outbox);
    Millis nextDeadline() const;
    /** What ended since the last call. */
    std::vector<ClaimOutcome> takeOutcomes();

    /**
     * Whether the attempt may be dispatched at now; true once at most, and it then counts as dispatched. Read the
     * clock for this call: a process that paused between the quorum and here must see how late it is, since the
     * witnesses may have forgotten the claim. False: this call was not run and never will be.
     */
    bool mayDispatch(const RequestId &attempt, Millis now);

    /**
     * Whether an attempt that mayDispatch let go, and that surely never reached its target, may be sent to another
     * one at now: under the same deadline, for the same reason. Changes nothing.
     */
    bool mayRedispatch(const RequestId &attempt, Millis now) const;

    /**
     * Whether no attempt of the key was dispatched within lifetime: true while this one is acquired and in time. A
     * refusal decided now, say by admission, may then say 'not run' of the key and not only of this call.
     */
    bool isKeyUnrun(const RequestId &attempt, Millis now) const;

    /**
     * Gives the key back. Only for an attempt that was surely not dispatched: admission refused it, or nothing of it
     * was written to a target. A dispatched one may be given back only where the target surely never had it.
     */
    void withdraw(Millis now, const RequestId &attempt, Outbox &outbox);
    /**
     * Sends the withdrawal once more, when someone who was told of the attempt asks for its answer: a witness missed
     * it. False where the attempt is not known as withdrawn, whose outcome is then unknown or running.
     */
    bool repeatWithdrawal(Millis now, const RequestId &attempt, Outbox &outbox);

    /**
     * The dispatched attempt's answer ended. Until then its claim is renewed four times in a lifetime, so that it may
     * run longer than that; the key stays claimed for lifetime from the dispatch on, and for at least three quarters
     * of lifetime from the end on. No message is sent for it: most answers end long before a renewal would.
     */
    void finishAttempt(const RequestId &attempt);

    /** Whether an attempt of key is claimed, acquired or dispatched here; its retry joins it without a claim. */
    bool isRunning(const ClaimKey &key) const;
    /** Attempts held in memory, those withdrawn lately included. */
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
