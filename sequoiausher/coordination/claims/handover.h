#pragma once

// Tracks the claims that a witness may have missed: decides for each key whether the witness may vote, and pulls the
// missing claims from the other instances.
//
//     Handover handover(self, parameters, now);       // fresh: has no claims
//     handover.setInstances(now, makeInstanceList(names));
//     handover.mayVote(now, key);                     // false until enough claims were pulled or time has passed
//
// A list of instances that was replaced within the last parameters.claimRetention() is a gap: the witness did not
// receive the claims of keys for which it was no witness under that list. A start is a gap with the empty list, under
// which it was a witness of no key. A gap closes for a key when
//   - the witness was among the key's witnesses under the gap's list, or
//   - claimRetention() has passed since the list was replaced, so that all claims made under it have expired, or
//   - all but maxMissing of the key's other witnesses have handed over their claims, pulled settleTime after the gap
//     began. At a start these are the witnesses by the present list, otherwise those by the gap's list.
//
// The reason for settleTime: an attempt that counted a vote from before the gap is dispatched at most dispatchWindow
// after that vote, and by then its whole quorum has recorded the claim. An instance that is asked later hands it over.
//
// In a fleet of more than maxHandoverInstances no claims are pulled, and gaps close by time: each witness then shares
// thousands of claims with each of a thousand others, and pulling them takes longer than waiting.
//
// How many witnesses may be missing (see WitnessQuorum): with 5 witnesses and a quorum of 4, one of the key's other
// witnesses, even if one more member of the claim's quorum is not on this witness's list. One dead instance therefore
// does not stop a hand-over. If two of a key's other witnesses cannot be asked, the witness abstains for that key for
// claimRetention(); the key's other witnesses still vote.

#include "sequoiausher/coordination/claims/claimparameters.h"
#include "sequoiausher/coordination/claims/instancelist.h"
#include "sequoiausher/coordination/messages/claimmessages.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** A pull that has to be sent now. */
struct DuePull
{
    InstanceId to;
    ClaimPull pull;
};

/** The gaps in the claims of one witness. */
class Handover
{
public:
    Handover(const InstanceId &self, const ClaimParameters &parameters, Millis startedAt);
    ~Handover();
    Handover(const Handover &) = delete;
    Handover &operator=(const Handover &) = delete;

    /** Sets the platform's list of instances. Setting the same list again has no effect. */
    void setInstances(Millis now, const InstanceList &list);
    const InstanceList &instances() const;

    /** Whether this instance is a witness of key by its list, and no gap is open for the key. */
    bool mayVote(Millis now, const ClaimKey &key) const;
    /** The delay after which mayVote is expected to return true. */
    Millis retryAfter(Millis now, const ClaimKey &key) const;
    /** Whether the gap of the start is open. A fresh witness's pages do not close the gaps of others. */
    bool isFresh(Millis now) const;
    /** Whether any gap is open. */
    bool hasOpenGap(Millis now) const;

    /** Closes the gap of the start. Witness::assumeNoPriorClaims describes when this is safe. */
    void closeStartGap();

    /** Returns the pulls that are due, and marks them as sent. */
    std::vector<DuePull> takeDuePulls(Millis now);
    /** When the next pull is due or the next gap closes by time; Millis::never() if there is neither. */
    Millis nextDeadline(Millis now) const;
    /**
     * Handles a page of claims from another instance, the giver.
     * @param allStored whether all its records could be stored; otherwise the page does not count.
     * @return whether the page answers the current pull, so that takeDuePulls may return the pull of the next page.
     */
    bool receivePage(Millis now, const InstanceId &from, const ClaimPage &page, bool allStored);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
