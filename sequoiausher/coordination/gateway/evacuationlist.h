#pragma once

// The data centres under evacuation, as one gateway knows them: their targets get no new requests until the operator
// takes the evacuation back. Each data centre has the position of the store at which its state last changed, and of two
// states the one at the later position holds. So lists of the store, its events and the states that peers report can be
// merged in any order, and late ones change nothing.
//
//     EvacuationList list;
//     list.replaceAll({{DataCentreId{"a"}, position, true}}, listPosition, now);
//     list.write({DataCentreId{"b"}, position, true});
//     list.merge(report.evacuations, now);
//     if (list.isEvacuated(target.dataCentre)) { ... }
//
// After the store was restored from a copy, the copy may lack an evacuation, which the operator then requests again.
// Until there was time for that, its absence from the store does not end the evacuation.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Sequoiausher {

/** How long after the list of a restored store an evacuation that it lacks may take to be requested again. */
inline constexpr Millis lostEvacuationGrace{2300};

/** The states of all data centres that were ever evacuated. Not thread-safe. */
class EvacuationList
{
public:
    /**
     * Replaces the list by the evacuations that the store lists at the position. Evacuations that it does not list have
     * ended, except for those of later positions.
     */
    void replaceAll(const std::vector<GatewayEvacuation> &evacuated, Revision at, Millis now);
    /** Applies one change of the store. */
    void write(const GatewayEvacuation &change);
    /**
     * Applies the states that a peer reported. An evacuation that is older than this gateway's last list of the store,
     * and not in that list, has ended.
     */
    void merge(const std::vector<GatewayEvacuation> &reported, Millis now);
    /** Records that all changes of the store up to the position are applied. */
    void setCompleteUpTo(Revision at);
    /** Ends evacuations that a restored store lacks and that were not requested again in time. */
    void tick(Millis now);

    bool isEvacuated(const DataCentreId &dataCentre) const;
    /** The data centres that are evacuated. */
    std::set<DataCentreId> evacuated() const;
    /** All states, ended evacuations among them, ordered by data centre. */
    std::vector<GatewayEvacuation> states() const;
    /** A hash of all states, never 0. */
    std::uint64_t digest() const;
    /** The position up to which all changes are applied; 0 if nothing is known. */
    Revision completeUpTo() const;

private:
    struct State
    {
        Revision changedAt = 0;
        bool isEvacuated = false;
    };

    void set(const GatewayEvacuation &change);
    /** Ends the evacuations that the last list of the store shows to be over. */
    void endUnlisted(Millis now);

    std::map<DataCentreId, State> all;
    Revision complete = 0;
    /** The last list of the store: its position, when it was read, and the data centres in it. */
    Revision listPosition = 0;
    Millis listedAt;
    std::set<DataCentreId> listed;
};

} // namespace Sequoiausher
