#include "sequoiausher/coordination/gateway/tunnelpeers.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <tuple>

namespace Sequoiausher {

namespace {

/** How long a gateway that did not reach a service is not asked for it. */
constexpr Millis unreachableTime{1000};
/** How long a gateway that could not be reached is not asked at all. */
constexpr Millis failureTime{2000};
/** A gateway that was not seen for this long may be gone, where all gateways report to each other. */
constexpr Millis maxSilence{1500};
/** The same where hubs pass the reports on, some of them only every few rounds. */
constexpr Millis maxSilenceWithHubs{4000};

} // namespace

TunnelPeers::TunnelPeers(const PeerDirectory &peers, DataCentreId own) : directory(peers), self(std::move(own))
{
}

std::vector<InstanceId> TunnelPeers::candidates(const PoolId &service,
                                                const DataCentreId &targetDataCentre,
                                                std::uint64_t draw,
                                                Millis now) const
{
    using Ranked = std::tuple<bool, bool, std::uint64_t, InstanceId>;
    const Millis longest = this->longestSilence(now);
    std::vector<Ranked> ranked;
    for (const GatewayMember &member : this->directory.members(now)) {
        const auto failed = this->failedUntil.find(member.instance);
        const auto unreachable = this->unreachableUntil.find({member.instance, service});
        const bool hasFailed = failed != this->failedUntil.end() && now < failed->second;
        const bool isCutOff = unreachable != this->unreachableUntil.end() && now < unreachable->second;
        if (member.age > longest || hasFailed || isCutOff) {
            continue;
        }
        const bool isFar = member.dataCentre != this->self && member.dataCentre != targetDataCentre;
        const bool isLeaving = this->directory.isLeaving(member.instance, now);
        ranked.emplace_back(isLeaving, isFar, hash64(member.instance.value, draw), member.instance);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<InstanceId> all;
    for (const Ranked &each : ranked) {
        if (all.size() == maxCandidates) {
            break;
        }
        all.push_back(std::get<InstanceId>(each));
    }
    return all;
}

bool TunnelPeers::isAlive(const InstanceId &peer, Millis now) const
{
    const auto failed = this->failedUntil.find(peer);
    if (failed != this->failedUntil.end() && now < failed->second) {
        return false;
    }
    if (this->directory.isLeaving(peer, now) && this->directory.hasStayingPeer(now)) {
        return false;
    }
    return this->directory.silence(peer, now) <= this->longestSilence(now);
}

Millis TunnelPeers::longestSilence(Millis now) const
{
    return this->directory.hasHubs(now) ? maxSilenceWithHubs : maxSilence;
}

void TunnelPeers::recordUnreachable(const InstanceId &peer, const PoolId &service, Millis now)
{
    std::erase_if(this->unreachableUntil, [now](const auto &entry) { return now >= entry.second; });
    this->unreachableUntil[{peer, service}] = now + unreachableTime;
}

void TunnelPeers::recordFailure(const InstanceId &peer, Millis now)
{
    std::erase_if(this->failedUntil, [now](const auto &entry) { return now >= entry.second; });
    this->failedUntil[peer] = now + failureTime;
}

void TunnelPeers::recordOpened(const InstanceId &peer, const PoolId &service)
{
    this->unreachableUntil.erase({peer, service});
    this->failedUntil.erase(peer);
}

} // namespace Sequoiausher
