#pragma once

// Which other gateways to ask for a tunnel to a target, and in which order. A gateway of this data centre or of the
// target's comes first, since then the bytes cross between data centres once, as over a direct connection; among
// equally near ones the order is random, so that the requests of a gateway that is cut off spread over all that can
// help.
//
// A gateway that is stopping ends its tunnels with its process, so it comes last, and open tunnels through it take no
// further requests while another gateway goes on.
//
// Gateways do not report what they reach. One that is asked answers within a round trip, and its answer is newer than
// any report could be; one that does not reach a service is not asked again for a while.
//
//     TunnelPeers tunnels(directory, dataCentre);
//     for (const InstanceId &peer : tunnels.candidates(service, targetDataCentre, draw, now)) { ... }
//     tunnels.recordUnreachable(peer, service, now);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/peerdirectory.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Sequoiausher {

/** The gateways that may carry tunnels. Not thread-safe. */
class TunnelPeers
{
public:
    /** The directory outlives this. @param self the data centre of this gateway. */
    TunnelPeers(const PeerDirectory &directory, DataCentreId self);

    /**
     * The gateways to ask, the first one first; at most maxCandidates.
     * @param draw a random number that decides among equally near gateways.
     */
    std::vector<InstanceId>
    candidates(const PoolId &service, const DataCentreId &targetDataCentre, std::uint64_t draw, Millis now) const;
    /** Whether a request may be sent over a tunnel through the peer that is open already. */
    bool isAlive(const InstanceId &peer, Millis now) const;

    /** Records that the peer reaches no target of the service. */
    void recordUnreachable(const InstanceId &peer, const PoolId &service, Millis now);
    /** Records that no connection to the peer could be opened, or that it did not answer. */
    void recordFailure(const InstanceId &peer, Millis now);
    /** Records that the peer opened a tunnel. */
    void recordOpened(const InstanceId &peer, const PoolId &service);

    /** Bounds the time that a fleet in which nobody reaches the target takes to say so. */
    static constexpr std::size_t maxCandidates = 16;

private:
    /** A gateway that was not seen for longer may be gone. */
    Millis longestSilence(Millis now) const;

    const PeerDirectory &directory;
    DataCentreId self;
    std::map<std::pair<InstanceId, PoolId>, Millis> unreachableUntil;
    std::map<InstanceId, Millis> failedUntil;
};

} // namespace Sequoiausher
