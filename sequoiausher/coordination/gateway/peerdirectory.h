#pragma once

// Which gateways there are, and who reports to whom. The settings name a few, which may be stale or down; all others
// are learnt from reports. A gateway is known by the address at which it takes its peers' links.
//
// In a small fleet everybody reports to everybody. In a large one that would cost each gateway hundreds of messages a
// second, so a few are hubs: each gateway reports to one hub, which answers with what all others said, and the hubs
// report to each other. Hubs are the strongest members of each data centre, among equal ones the first in the order of
// a hash that all gateways share, and a gateway prefers one of its own data centre: so what one says crosses between
// data centres once, from hub to hub. Nobody elects them, and whoever is asked for a reply gives one, so a difference
// between two lists costs a little freshness and nothing else.
//
//     PeerDirectory directory(self, seeds, seed);
//     directory.recordReport(peer, report, now);
//     for (const DueReport &due : directory.takeDueReports(now)) { send(due.peer, reportFor(due)); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** How often a round of reports goes out. */
inline constexpr Millis reportInterval{300};

/** One report of a round. */
struct DueReport
{
    InstanceId peer;
    /** The peer shall answer at once. */
    bool wantsReply = false;
};

/** The known gateways. Not thread-safe. */
class PeerDirectory
{
public:
    /** @param seed for the order in which this gateway prefers hubs. */
    PeerDirectory(InstanceId self, const std::vector<InstanceId> &seeds, std::uint64_t seed);
    ~PeerDirectory();

    void setSeeds(const std::vector<InstanceId> &seeds);
    /** How much this gateway can carry beside its callers' requests, and where it stands. */
    void setSelf(std::uint16_t strength, const DataCentreId &dataCentre);
    /** A report arrived. */
    void recordReport(const InstanceId &peer, const GatewayReport &report, Millis now);

    /** To whom this round's reports go. */
    std::vector<DueReport> takeDueReports(Millis now);
    /**
     * Whether the report is to be answered at once: it asks for it, or its sender has not heard of enough gateways to
     * know how large the fleet is, and so reports to everybody it knows or takes itself for a hub.
     */
    bool mustReply(const InstanceId &peer, const GatewayReport &report, Millis now) const;
    /** Whether there are so many that hubs carry the reports. */
    bool hasHubs(Millis now) const;
    /** Whether this gateway is one of them. */
    bool isHub(Millis now) const;
    /** This gateway's place in the order of the hubs, 0 first; absent where it is none of them. */
    std::optional<std::size_t> hubRank(Millis now) const;
    /** Whether the peer is a hub that comes before this gateway in the order of the hubs. */
    bool comesBefore(const InstanceId &peer, Millis now) const;
    /** Whether peer said that it is one. */
    bool isHub(const InstanceId &peer) const;
    /** Those peers that said so. */
    std::vector<InstanceId> hubPeers() const;

    /** Those who may be sent to: seeds and whoever was heard of lately. */
    std::vector<InstanceId> peers() const;
    bool hasPeers() const;
    /** Those heard of within a few seconds, without this gateway. */
    std::vector<GatewayMember> members(Millis now) const;
    /**
     * How many gateways the fleet has at most, for shares of what all may do together. Those that were heard of within
     * a minute count, since one that is cut off may still be at work; before the first report there may be many.
     */
    std::size_t fleetSize(Millis now) const;
    /** sentAt of the newest report from peer; 0 for none. */
    Millis newestReportFrom(const InstanceId &peer) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
