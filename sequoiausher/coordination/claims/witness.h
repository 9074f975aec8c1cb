#pragma once

// One router's part as a witness: it remembers which attempt claimed which idempotency key, and votes on new claims.
//
//     Witness witness(self, parameters, now);
//     witness.setInstances(now, makeInstanceList(names));  // the platform's list, never a suspicion of our own
//     witness.receive(now, from, claimRequest, outbox);    // a ClaimVote goes to from
//     ... witness.tick(now, outbox) whenever now >= witness.nextDeadline(now)
//
// A key is granted to one attempt and to no other until that attempt withdraws or ClaimParameters::claimRetention()
// passes. A witness abstains where it may have forgotten or never known a claim: see handover.h. It also abstains for
// new keys while its store is full; it never forgets one claim for another.
//
// What holds, and when (docs/design/at-most-once.md): two quorums of a key meet in a witness that remembers while
// 2 * quorum > witnesses + d + f. d: members by which the witness sets of two claims differ, without counting those
// that learnt by hand-over. f: witnesses that vote though they forgot; hand-over and abstaining keep it at 0.

#include "sequoiausher/coordination/claims/claimparameters.h"
#include "sequoiausher/coordination/claims/instancelist.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>

namespace Sequoiausher {

/** Votes on claims. A plain state machine; not thread-safe. */
class Witness
{
public:
    /** @param startedAt when this process began, on its own monotonic clock. */
    Witness(const InstanceId &self, const ClaimParameters &parameters, Millis startedAt);
    ~Witness();
    Witness(const Witness &) = delete;
    Witness &operator=(const Witness &) = delete;

    /** The platform's list, whenever it is read. */
    void setInstances(Millis now, const InstanceList &list);

    /** Votes to from. A claim held already is told even where the witness abstains from granting. */
    void receive(Millis now, const InstanceId &from, const ClaimRequest &request, Outbox &outbox);
    /**
     * Frees the key if the attempt holds it under this or an earlier round; remembered against a late claim. Passed
     * on to those that were given the claim lately, by leave() or a page.
     */
    void receive(Millis now, const InstanceId &from, const ClaimWithdraw &withdrawal, Outbox &outbox);
    /** Hands over one page of what from may have to know. */
    void receive(Millis now, const InstanceId &from, const ClaimPull &pull, Outbox &outbox);
    /** Takes in a page, asked for or not, and asks for the next. */
    void receive(Millis now, const InstanceId &from, const ClaimPage &page, Outbox &outbox);

    /** Sends the pulls that are due and drops what has expired. */
    void tick(Millis now, Outbox &outbox);
    /** When tick next has work. */
    Millis nextDeadline(Millis now) const;

    /**
     * On a planned stop: sends every claim to the instance that becomes the key's witness once this one is off the
     * list. Votes go on; call it when the drain begins and once more just before the process ends.
     */
    void handOverClaims(Millis now, Outbox &outbox);

    /**
     * Votes at once although fresh. Safe only where the operator says, in the platform's list and for this very
     * incarnation, that no request was dispatched within the last claimRetention(): a first start of a fleet. A witness
     * that restarts has another incarnation, so that the same words do not free it.
     */
    void assumeNoPriorClaims();

    /** Whether it would grant a free key. */
    bool mayVote(Millis now, const ClaimKey &key) const;
    /** It knows nothing from before its start, and abstains for all keys that it has not learnt. */
    bool isFresh(Millis now) const;
    /** Claims and withdrawals held. */
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
