#pragma once

// Decides how long a gateway waits for the answer of a watch at the store before it starts a new call. A watch without
// an answer looks the same whether nothing has changed or its answer was lost. A read of the configuration uses another
// connection and carries the revision of the store, so a watch that has not reported that revision soon after is
// abandoned.
//
//     WatchDeadline deadline(limitStoreTimes(StoreTimes(), leaveBound));
//     deadline.recordStoreRevision(revision, took, now);
//     if (deadline.isOverdue(callBegunAt, now)) {
//         deadline.recordAbandonedCall();     // and start a new call on another connection
//     }
//     deadline.recordReportedUpTo(revision);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <optional>

namespace Sequoiausher {

/** The timeouts and intervals of calls to the store. */
struct StoreTimes
{
    /** The timeout of a call. */
    Millis callTimeout{1200};
    /** How long the store holds a watch without a change. */
    Millis watchTime{1400};
    /** How long the answer of a watch may take beyond watchTime. */
    Millis watchDelay{500};
    /** The configuration is read again once its proof (see Freshness) is this old. */
    Millis proofInterval{800};
    /** The delay of the next watch after an answer with a change, since changes come in series. */
    Millis batchDelay{150};
    /** How much later than a read a watch may report a change that the read has shown. */
    Millis overdueAfter{275};
    /** The least time from the start of a failed call to the next call; doubled with each further failure. */
    Millis firstPause{100};
};

/**
 * Returns the given times, shortened where necessary. The result lets a gateway without any other source of information
 * learn of a leaving target within leaveBound, even if any two successive calls to the store get no answer.
 */
StoreTimes limitStoreTimes(StoreTimes longest, Millis leaveBound);

/** Detects calls that are overdue to report a known change. Not thread-safe. */
class WatchDeadline
{
public:
    explicit WatchDeadline(const StoreTimes &times);

    /** Sets the times for changes that become known from now on. */
    void setTimes(const StoreTimes &times);
    /** Records that a read that took the given time returned revision as the revision of the store. */
    void recordStoreRevision(Revision revision, Millis took, Millis now);
    /** Records that the store has reported all changes up to revision. */
    void recordReportedUpTo(Revision revision);
    /** Whether a call that began at begunAt should have reported a known change by now. */
    bool isOverdue(Millis begunAt, Millis now) const;
    /** Records that a call was abandoned. The next one gets twice the time, since the store may only be slow. */
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
    /** The first change that is known to be in the store and that no watch has reported. */
    std::optional<Change> unreported;
};

} // namespace Sequoiausher
