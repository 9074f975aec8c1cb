#pragma once

// Which share of a fleet's traffic this gateway carries, for limits that the gateways divide among themselves. Callers
// may come through one gateway for some seconds, so equal shares would refuse them while most of a limit is unused.
//
// Reports reach the others after up to three rounds. So that the shares add up to no more than one while the traffic
// moves, a gateway counts its own requests as those that it had in each of the last three rounds.
//
//     TrafficShare share;
//     share.recordRound(ownInFlight, othersInFlight);   // with each round of reports
//     const double part = share.of(peers.fleetSize(now));

#include <array>
#include <cstddef>

namespace Sequoiausher {

/** The share of one gateway. Not thread-safe. */
class TrafficShare
{
public:
    /** Records the requests in flight as they stand in the present round of reports. */
    void recordRound(double own, double others);
    /**
     * Returns this gateway's share, 0 to 1; the same share for each gateway where there is no traffic.
     * @param gateways number of known gateways, this one included; 0 counts as one.
     */
    double of(std::size_t gateways) const;

private:
    /** This gateway's requests in flight in the last rounds. */
    std::array<double, 3> recentOwn{};
    std::size_t rounds = 0;
    double averageOwn = 0;
    double averageAll = 0;
};

} // namespace Sequoiausher
