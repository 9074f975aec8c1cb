#pragma once

// The known gateways, and which of them report to which. The settings name a few gateways, which may be stale or down;
// all others are learnt from reports. A gateway is identified by the address at which it accepts its peers' links.
//
// In a small fleet all gateways report to all. In a large one that would cost each gateway hundreds of messages a
// second, so a few gateways are hubs: each gateway reports to one hub, which replies with the reports of all others,
// and the hubs report to each other. Hubs are the strongest members of each data centre, with ties broken by the order
// of a hash that all gateways share. A gateway prefers a hub of its own data centre, so each report crosses between
// data centres once, from hub to hub. Hubs are not elected, and a gateway that is asked for a reply always gives one,
// so a difference between two gateways' lists only makes some reports a little older.
//
//     PeerDirectory directory(self, seeds, hubOrderSeed);
//     directory.recordReport(peer, report, now);
//     for (const DueReport &due : directory.takeDueReports(now)) { send(due.peer, reportFor(due)); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/stopschedule.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** The interval between two rounds of reports. */
inline constexpr Millis reportInterval{300};
/**
 * A hub sends the list of members in each n-th round: with 300 gateways the list takes 12 KB of a report, and a member
 * that was seen counts for much longer.
 */
inline constexpr std::uint64_t roundsPerMemberList = 4;
/**
 * What is known of a live gateway is younger than this. A gateway reports to its hub, the hub lists it for the other
 * hubs, and these list it for their gateways: two lists and three reports, and one more report for each that comes
 * late.
 */
inline constexpr Millis maxMemberAge = reportInterval * static_cast<std::int64_t>(2 * roundsPerMemberList + 6);

/** One report of a round. */
struct DueReport
{
    InstanceId peer;
    /** The peer must reply at once. */
    bool wantsReply = false;
};

/** The known gateways. Not thread-safe. */
class PeerDirectory
{
public:
    /** @param hubOrderSeed determines the order in which this gateway prefers hubs. */
    PeerDirectory(InstanceId self, const std::vector<InstanceId> &seeds, std::uint64_t hubOrderSeed);
    ~PeerDirectory();

    void setSeeds(const std::vector<InstanceId> &seeds);
    /**
     * Sets this gateway's strength, which is its capacity for other work than its callers' requests, and its data
     * centre.
     */
    void setSelf(std::uint16_t strength, const DataCentreId &dataCentre);
    /** Records a report from a peer. */
    void recordReport(const InstanceId &peer, const GatewayReport &report, Millis now);
    /**
     * When this process sent the report that a peer's report answers. @return 0 if the peer answers a report of an
     * earlier process, or of this machine before its clock began anew: its time means nothing here.
     */
    Millis ownEcho(Millis echo, Millis now) const;

    /** Returns the peers that this round's reports go to, and counts the report to this gateway's hub as unanswered. */
    std::vector<DueReport> takeDueReports(Millis now);
    /**
     * Whether the report must be answered at once: either it asks for a reply, or its sender knows too few gateways to
     * determine the size of the fleet, and so reports to all gateways it knows or considers itself a hub. A reply is
     * never answered.
     */
    bool mustReply(const InstanceId &peer, const GatewayReport &report, Millis now) const;
    /** Whether the fleet is large enough for hubs. */
    bool hasHubs(Millis now) const;
    /** Whether this gateway is a hub. */
    bool isHub(Millis now) const;
    /** This gateway's place in the order of the hubs, 0 first; absent where it is no hub. */
    std::optional<std::size_t> hubRank(Millis now) const;
    /** Whether the peer is a hub that comes before this gateway in the order of the hubs. */
    bool comesBefore(const InstanceId &peer, Millis now) const;
    /** Whether the peer's last report, a few seconds old at most, stated that it is stopping. */
    bool isLeaving(const InstanceId &peer, Millis now) const;
    /** Whether a gateway was seen within a few seconds that did not state that it is stopping. */
    bool hasStayingPeer(Millis now) const;
    /** Which gateways that do not stop were seen within a few seconds. */
    StopSuccessor successor(Millis now) const;
    /** Whether the peer's last report stated that it is a hub. */
    bool statedHub(const InstanceId &peer) const;
    /** The peers whose last report stated that they are hubs. */
    std::vector<InstanceId> statedHubs() const;

    /** The peers that reports may be sent to: the seeds and all gateways that were seen recently. */
    std::vector<InstanceId> peers() const;
    bool hasPeers() const;
    /** Whether the peer's last report shows that it has received a report of this gateway since this one started. */
    bool hasReached(const InstanceId &peer) const;
    /** Whether any peer has sent a report since it received one of this gateway. */
    bool hasReceivedReply() const;
    /** The gateways that were seen within a few seconds, without this gateway. */
    std::vector<GatewayMember> members(Millis now) const;
    /** The number of members(), and this gateway. */
    std::size_t liveCount(Millis now) const;
    /**
     * The maximum number of gateways in the fleet, for shares of fleet-wide limits. Gateways that were seen within a
     * minute count, because a gateway that is cut off may still be running. Before the first report at least 12
     * gateways are assumed.
     */
    std::size_t fleetSize(Millis now) const;
    /**
     * Whether this gateway had time to hear of all others since its first report; true without peers. Until then the
     * size of the fleet may be underestimated.
     */
    bool knowsFleet(Millis now) const;
    /**
     * The strongest live gateways of the fleet, this one included, in the rendezvous order of the key. All gateways
     * that know the same members get the same order. Cached for a quarter of a second for each key.
     */
    const std::vector<InstanceId> &strongestByRendezvous(std::uint64_t key, Millis now);
    /** How many gateways of fleetSize() come before this one in the rendezvous order of the key. */
    std::size_t rendezvousRank(std::uint64_t key) const;
    /** Time since any gateway received a report from the peer, as in GatewayMember; never() for an unknown peer. */
    Millis silence(const InstanceId &peer, Millis now) const;
    /** sentAt of the newest report from the peer; 0 for none. */
    Millis newestReportFrom(const InstanceId &peer) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
