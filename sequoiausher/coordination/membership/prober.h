#pragma once

// Which router is probed when, and which probes went unanswered: one per period, mostly in the own data centre, each
// router once before any twice.
//
//     const std::optional<InstanceId> peer = prober.pickPeer(random, unreachable);
//     prober.recordProbe(now, sequence, *peer);
//     for (const InstanceId &peer : prober.tick(now, outbox, random)) { ... suspect it ... }

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

/** Not thread-safe. Two rings, shuffled anew after each round, bound how long a router waits for its probe. */
class Prober
{
public:
    explicit Prober(const ProberSettings &settings);
    ~Prober();

    /** Other routers in the own data centre and in others. */
    void setPeers(std::vector<InstanceId> near, std::vector<InstanceId> far);

    /** The router to probe in this period; std::nullopt where there is no other. */
    std::optional<InstanceId> pickPeer(std::mt19937_64 &random, const std::vector<InstanceId> &unreachable);

    /** A probe with this number went out. */
    void recordProbe(Millis now, std::uint64_t sequence, const InstanceId &peer);

    /** An answer to a probe came, directly or through a relay; false where none is open. */
    bool recordReply(std::uint64_t sequence);

    /** Sends indirect probes for those overdue, and gives the routers that did not answer these either. */
    std::vector<InstanceId> tick(Millis now, std::mt19937_64 &random, Outbox &outbox);

    /** Forgets open probes: this process slept, and the answers may have come and gone. */
    void discardOpenProbes();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
