#pragma once

// Chooses the router to probe in each period and tracks which probes went unanswered. Most probes stay in the own data
// centre. Among the routers of the own data centre, and among all others, each is probed once before any is probed
// again; probes of unreachable routers come on top.
//
//     const std::optional<InstanceId> peer = prober.pickPeer(random, unreachable);
//     prober.recordProbe(now, sequence, *peer);
//     for (const InstanceId &peer : prober.tick(now, random, outbox)) { ... suspect peer ... }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace Sequoiausher {

struct ProberSettings
{
    Millis probeTimeout;
    Millis indirectTimeout;
    std::size_t indirectProbes = 0;
    int ownDataCentrePercent = 0;
    std::uint32_t unreachableProbePeriods = 1;
};

/**
 * Two rings, one for the own data centre and one for all others, are shuffled anew after each round. They bound how
 * long a router goes without a probe. Not thread-safe.
 */
class Prober
{
public:
    explicit Prober(const ProberSettings &settings);
    ~Prober();

    /** Sets the other routers: near ones are in the own data centre, far ones in other data centres. */
    void setPeers(std::vector<InstanceId> near, std::vector<InstanceId> far);

    /** Returns the router to probe in this period; std::nullopt where there is no other router. */
    std::optional<InstanceId> pickPeer(std::mt19937_64 &random, const std::vector<InstanceId> &unreachable);

    /** Records that a probe with this sequence number was sent to peer; it is open until answered or timed out. */
    void recordProbe(Millis now, std::uint64_t sequence, const InstanceId &peer);

    /** Records the answer to a probe, direct or through a relay; returns false where no such probe is open. */
    bool recordReply(std::uint64_t sequence);

    /** Sends indirect probes for overdue probes, and returns the routers whose indirect probes timed out as well. */
    std::vector<InstanceId> tick(Millis now, std::mt19937_64 &random, Outbox &outbox);

    /** Discards all open probes; for use after a pause of this process, when their answers may have been lost. */
    void discardOpenProbes();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
