#pragma once

// How many rejections a gateway may cause at a target that crashes when it has to reject more than a few requests in a
// second. Targets announce that in their answers, all targets of a service at the same time.
//
// A gateway knows its own requests exactly and those of the others only late, when the target may have crashed already.
// So both what a target runs at once and the rejections a second that it bears are divided beforehand (FleetShares).
// Within its places a gateway's requests are not rejected, as long as all keep to theirs. Beyond them it may cause its
// share of the rejections, where a request that may still be rejected counts as if it were. The shares add up to less
// than the target bears; the rest is for gateways that have just started, whose first rejection tells them of the
// limit. A gateway that hears of no other one may cause one rejection.
//
//     BrittleTargetLimit limit(directory);
//     limit.recordAnnouncement(service, 4, now);
//     if (const auto share = limit.shareOf(service, targetHash, slots, now)) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/fleetshares.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Sequoiausher {

/** What one gateway may use of a brittle target. */
struct BrittleTargetShare
{
    /** Requests in flight that the target has room for. */
    std::uint32_t places = 0;
    std::uint32_t rejectionsPerSecond = 0;

    bool operator==(const BrittleTargetShare &) const = default;
};

/** The limit for each target of the services that announced one. Not thread-safe. */
class BrittleTargetLimit
{
public:
    /** The directory outlives this. */
    explicit BrittleTargetLimit(const PeerDirectory &directory);

    /** @param perSecond the rejections in a second that a target of the service bears; none for any number. */
    void recordAnnouncement(const PoolId &service, std::optional<std::uint32_t> perSecond, Millis now);
    /**
     * Returns this gateway's share of the target; none where there is no limit.
     * @param targetHash hash64 of the target's id. @param slots the requests that the target runs at once.
     */
    std::optional<BrittleTargetShare>
    shareOf(const PoolId &service, std::uint64_t targetHash, std::uint32_t slots, Millis now);

private:
    struct Announcement
    {
        std::uint32_t perSecond = 0;
        Millis at;
    };

    const PeerDirectory &directory;
    FleetShares places;
    FleetShares rejections;
    std::map<PoolId, Announcement> announcements;
};

} // namespace Sequoiausher
