#pragma once

// What a witness may not know, and how it learns it: decides for each key whether the witness may vote, and asks the
// other instances for the claims that it lacks.
//
//     Handover handover(self, parameters, now);       // fresh: knows nothing
//     handover.setInstances(now, makeInstanceList(names));
//     handover.mayVote(now, key);                     // false, until it has learnt or waited long enough
//
// A list that was replaced within the last parameters.claimRetention() is a gap: the witness does not know the claims
// of the keys that it did not witness under that list. A start is a gap with the empty list: no key was witnessed. A
// gap closes for a key when
//   - the witness was among the key's witnesses under the gap's list, or
//   - claimRetention() has passed since the list was replaced: whatever was claimed then is forgotten by everyone, or
//   - all but maxMissing of the key's other witnesses handed over what they know, asked settleTime after the gap began.
//     At a start these are the witnesses by the present list; otherwise those by the gap's list.
//
// Why settleTime: an attempt that counted a vote from before the gap is dispatched at most dispatchWindow after that
// vote, and by then its whole quorum has recorded it. Whoever is asked later than that gives it.
//
// In a fleet of more than maxHandoverInstances nobody is asked, and gaps close by time: each witness then has thousands
// of claims with each of a thousand others, and asking for them takes longer than waiting.
//
// What may be missing (WitnessQuorum::handover): with the shipped 5 and 4, one witness of a key, while one of them
// differs from those that the claim was made with. So one dead instance does not stop a hand-over. Where two of a
// key's other witnesses cannot be asked, the learner abstains for that key for claimRetention(); its others still vote.

#include "sequoiausher/coordination/claims/claimparameters.h"
#include "sequoiausher/coordination/claims/instancelist.h"
#include "sequoiausher/coordination/messages/claimmessages.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** A pull to be sent. */
struct DuePull
{
    InstanceId to;
    ClaimPull pull;
};

/** The gaps in one witness's knowledge. */
class Handover
{
public:
    Handover(const InstanceId &self, const ClaimParameters &parameters, Millis startedAt);
    ~Handover();
    Handover(const Handover &) = delete;
    Handover &operator=(const Handover &) = delete;

    /** The platform's list, whenever it is read; the same list again changes nothing. */
    void setInstances(Millis now, const InstanceList &list);
    const InstanceList &instances() const;

    /** Whether this witness is one of the key's by its list and knows every claim of the key that it must. */
    bool mayVote(Millis now, const ClaimKey &key) const;
    /** How long until mayVote is expected to be true. */
    Millis retryAfter(Millis now, const ClaimKey &key) const;
    /** Nothing from before its start is known, so what it hands over does not count. */
    bool isFresh(Millis now) const;
    /** Some gap is open. */
    bool hasOpenGap(Millis now) const;

    /** Closes the gap of the start; see Witness::assumeNoPriorClaims for when this is safe. */
    void closeStartGap();

    /** The pulls to be sent now; marks them as sent. */
    std::vector<DuePull> takeDuePulls(Millis now);
    /** When due or the gaps next change; Millis::never() without any. */
    Millis nextDeadline(Millis now) const;
    /**
     * A page arrived. @param allStored all its records could be stored; otherwise the giver does not count.
     * @return whether it answers a present pull, so that due has the next page to ask for.
     */
    bool receivePage(Millis now, const InstanceId &from, const ClaimPage &page, bool allStored);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
