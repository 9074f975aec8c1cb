#pragma once

// The witness of one router: records which attempt claimed which idempotency key, and votes on new claims.
//
//     Witness witness(self, parameters, now);
//     // names is the platform's list, not the result of the router's own failure detection
//     witness.setInstances(now, makeInstanceList(names));
//     witness.receive(now, from, claimRequest, outbox);    // a ClaimVote goes to from
//     ... witness.tick(now, outbox) whenever now >= witness.nextDeadline(now)
//
// A witness grants a key to one attempt, and to no other attempt until the first one withdraws or
// ClaimParameters::claimRetention() has passed. It abstains if it may have lost or never received a claim of the key,
// see handover.h. It also abstains for new keys while its store is full; it never evicts a claim for another one.
//
// Guarantee (docs/design/at-most-once.md): two quorums of a key share a witness that remembers the first claim while
// 2 * quorum > witnesses + d + f. Here d is the number of members by which the witness sets of two claims differ, not
// counting members that received the claim by a hand-over. f is the number of witnesses that vote although they have
// forgotten a claim; hand-overs and abstentions keep f at 0.

#include "sequoiausher/coordination/claims/claimparameters.h"
#include "sequoiausher/coordination/claims/instancelist.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>

namespace Sequoiausher {

/** Votes on claims. A plain state machine; not thread-safe. */
class Witness
{
public:
    /** @param startedAt start time of this process on its own monotonic clock. */
    Witness(const InstanceId &self, const ClaimParameters &parameters, Millis startedAt);
    ~Witness();
    Witness(const Witness &) = delete;
    Witness &operator=(const Witness &) = delete;

    /** Sets the platform's list of instances. Call it whenever the list has been read. */
    void setInstances(Millis now, const InstanceList &list);

    /** Sends a vote to from. If another attempt holds the key, the vote names it even if this witness may not grant. */
    void receive(Millis now, const InstanceId &from, const ClaimRequest &request, Outbox &outbox);
    /**
     * Frees the key if the attempt holds it in this or an earlier round. The withdrawal is stored in case its claim
     * request arrives later, and is forwarded to the instances that recently received the claim by handOverClaims() or
     * by a page.
     */
    void receive(Millis now, const InstanceId &from, const ClaimWithdraw &withdrawal, Outbox &outbox);
    /** Sends one page of the claims for which from may be a witness. */
    void receive(Millis now, const InstanceId &from, const ClaimPull &pull, Outbox &outbox);
    /** Stores the claims of a page, whether it was requested or not, and requests the next page if there is one. */
    void receive(Millis now, const InstanceId &from, const ClaimPage &page, Outbox &outbox);

    /** Sends the pulls that are due and removes expired records. */
    void tick(Millis now, Outbox &outbox);
    /** When tick is due next. */
    Millis nextDeadline(Millis now) const;

    /**
     * For a planned stop: sends every claim to the instance that becomes a witness of the key once this one is removed
     * from the list. The witness continues to vote. Call it when the drain begins, and again just before the process
     * exits.
     */
    void handOverClaims(Millis now, Outbox &outbox);

    /**
     * Lets a fresh witness vote at once. Safe only if the operator states in the platform's list, for exactly this
     * incarnation, that no request was dispatched within the last claimRetention(), as at the first start of a fleet. A
     * restarted witness has another incarnation, so that the same statement does not apply to it.
     */
    void assumeNoPriorClaims();

    /** Whether this witness would grant key if no attempt held it. */
    bool mayVote(Millis now, const ClaimKey &key) const;
    /**
     * Whether claims from before the start of this process may be missing. A fresh witness abstains for each key whose
     * claims it has not received by a hand-over.
     */
    bool isFresh(Millis now) const;
    /** The number of stored claims and withdrawals. */
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
