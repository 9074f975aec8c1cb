#pragma once

// How long a gateway waits for the store before it asks anew. A watch that hears nothing looks the same whether nothing
// has changed or its answer was lost. A reading of the configuration goes over another connection and carries the
// store's revision, so a watch that has not told of that revision soon after is given up.
//
//     WatchDeadline timeout(limitStoreTimes(StoreTimes(), leaveBound));
//     timeout.recordStoreRevision(revision, took, now);
//     if (timeout.isOverdue(callBegunAt, now)) {
//         timeout.recordAbandonedCall();      // and ask anew, over another connection
//     }
//     timeout.recordReportedUpTo(revision);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <optional>

namespace Sequoiausher {

/** The spans in which a gateway calls the store. */
struct StoreTimes
{
    /** How long a call may take. */
    Millis callTimeout{1200};
    /** How long one watch waits at the store. */
    Millis watchTime{1400};
    /** How long the answer of a watch may take beyond that. */
    Millis watchDelay{500};
    /** How old the proof of the configuration may get before it is read again. */
    Millis proofInterval{800};
    /** Changes come in rows: after an answer that told of one, the next watch begins so much later. */
    Millis batchDelay{150};
    /** How much later than a reading a watch may tell of what the reading has seen. */
    Millis overdueAfter{275};
    /** From the begin of a call that failed to the next one, at least; doubled with each further failure. */
    Millis firstPause{100};
};

/**
 * The given spans, shortened where that is needed for a gateway that nobody else tells anything to hear of a leaving
 * target within leaveBound, though any two calls to the store in a row get no answer.
 */
StoreTimes limitStoreTimes(StoreTimes longest, Millis leaveBound);

/** Whether a call that should have told of a change is overdue. Not thread-safe. */
class WatchDeadline
{
public:
    explicit WatchDeadline(const StoreTimes &times);

    /** For changes that become known from now on. */
    void setTimes(const StoreTimes &times);
    /** A reading that took so long said that the store is at revision. */
    void recordStoreRevision(Revision revision, Millis took, Millis now);
    /** The store told of all changes up to revision. */
    void recordReportedUpTo(Revision revision);
    /** Whether a call that began at begunAt should have told of a known change by now. */
    bool isOverdue(Millis begunAt, Millis now) const;
    /** A call was given up; the next one gets twice as long, since the store may only be slow. */
    void recordAbandonedCall();

private:
    struct Change
    {
        Revision revision = 0;
        Millis knownAt;
        Millis timeout;
    };

    Millis overdueAfter;
    Revision reportedUpTo = 0;
    /** The first change that is known to be in the store, and that no watch has told of. */
    std::optional<Change> unreported;
};

} // namespace Sequoiausher
