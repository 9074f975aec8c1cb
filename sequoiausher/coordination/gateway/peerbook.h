#pragma once

// Which gateways there are. The settings name a few, which may be stale or down; all others are learnt from the reports
// of those. A gateway is known by the address at which it takes its peers' links.
//
//     PeerBook book(self, seeds, seed);
//     book.heardFrom(peer, report, now);
//     for (const InstanceId &peer : book.due(now)) { send(peer, reportFor(peer)); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** How often a round of reports goes out. */
inline constexpr Millis reportInterval{300};

/** The known gateways. Not thread-safe. */
class PeerBook
{
public:
    /** @param seed for the order in which a large fleet is told. */
    PeerBook(InstanceId self, const std::vector<InstanceId> &seeds, std::uint64_t seed);
    ~PeerBook();

    void setSeeds(const std::vector<InstanceId> &seeds);
    /** A report arrived. */
    void heardFrom(const InstanceId &peer, const GatewayReport &report, Millis now);

    /** To whom this round's reports go: all peers of a small fleet, some of a large one, in turn. */
    std::vector<InstanceId> due(Millis now);
    /** Those who may be sent to: seeds and whoever was heard of lately. */
    std::vector<InstanceId> peers() const;
    /** Those heard from within a few seconds, with this gateway. */
    std::vector<InstanceId> members(Millis now) const;
    /**
     * How many gateways the fleet has at most, for shares of what all may do together. Those that were heard of within
     * a minute count, since one that is cut off may still be at work; before the first report there may be many.
     */
    std::size_t fleetSize(Millis now) const;
    /** sentAt of the newest report from peer; 0 for none. */
    Millis newestFrom(const InstanceId &peer) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
