#pragma once

// How many requests a gateway may send to a cold target. A target that has just started bears few requests a second
// from all gateways together and crashes well above that. It states how long it stays cold, and a warm target may turn
// cold again.
//
// The gateways know of each other's requests only half a second late, when a cold target may already have got too many.
// So the requests a second that a service's targets bear are divided beforehand (FleetShares). In a fleet with more
// gateways than requests a second, the first ones get one request a second each and the others none. A gateway that is
// cut off keeps counting the others for a minute, so the shares of a fleet that splits do not grow; one that has just
// started sends nothing to cold targets until it has had time to hear of all others. The margin of the rule above the
// limit covers the rest: a gateway that does not know d others may wrongly be among the first ones for as many targets
// as d of them would be.
//
//     SharedColdTargetLimit limit(directory, ColdTargetUse::Share);
//     limit.setServiceLimits({{PoolId{"llm"}, 14}});
//     if (sentInLastSecond < limit.requestsPerSecond(target, now)) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/fleetshares.h"

#include <cstdint>
#include <limits>
#include <map>

namespace Sequoiausher {

/** What cold targets are used for. */
enum class ColdTargetUse {
    /** They get requests like any other target, within the gateway's share. */
    Share,
    /** They get requests within the gateway's share, where no other target may get them. */
    LastResort,
    /** They get requests like any other target, without a limit. */
    Unlimited,
};

template<>
inline constexpr auto nameTable<ColdTargetUse> = std::to_array<NameEntry<ColdTargetUse>>({
    {ColdTargetUse::Share, "share"},
    {ColdTargetUse::LastResort, "last-resort"},
    {ColdTargetUse::Unlimited, "unlimited"},
});

/** The limit for each cold target. Not thread-safe. */
class ColdTargetLimit
{
public:
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    ColdTargetLimit() = default;
    ColdTargetLimit(const ColdTargetLimit &) = delete;
    ColdTargetLimit &operator=(const ColdTargetLimit &) = delete;
    virtual ~ColdTargetLimit() = default;

    /**
     * Returns the number of requests that this gateway may send in any second to the target while it is cold.
     * @param targetHash hash64 of the target's id.
     */
    virtual std::uint32_t requestsPerSecond(const PoolId &service, std::uint64_t targetHash, Millis now) = 0;
    /** Whether cold targets are used only where no other target may get the request. */
    virtual bool isLastResort() const = 0;
};

/** This gateway's share of the limit of each service, by the gateways that it knows. */
class SharedColdTargetLimit : public ColdTargetLimit
{
public:
    /** The directory outlives it. */
    SharedColdTargetLimit(const PeerDirectory &directory, ColdTargetUse use);

    void setUse(ColdTargetUse use);
    /** Sets the requests a second that a cold target of each service bears; services without a limit are left out. */
    void setServiceLimits(std::map<PoolId, std::uint32_t> limits);
    std::uint32_t requestsPerSecond(const PoolId &service, std::uint64_t targetHash, Millis now) override;
    bool isLastResort() const override;

private:
    ColdTargetUse use;
    std::map<PoolId, std::uint32_t> limits;
    FleetShares shares;
};

} // namespace Sequoiausher
