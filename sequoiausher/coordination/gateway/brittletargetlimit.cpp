#include "sequoiausher/coordination/gateway/brittletargetlimit.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** How long an announcement holds if no answer of the service follows it: nobody may get one while all reject. */
constexpr Millis announcementTtl{30000};
/** The part of the rejections that is not divided, at least one, if there are enough. */
constexpr std::uint32_t undividedPart = 8;
constexpr std::uint32_t minDividedWithRest = 3;
/** What a gateway may cause that hears of no other gateway. */
constexpr std::uint32_t rejectionsOfLoneGateway = 1;

std::uint32_t dividedRejections(std::uint32_t perSecond)
{
    return perSecond >= minDividedWithRest ? perSecond - std::max<std::uint32_t>(perSecond / undividedPart, 1)
                                           : perSecond;
}

} // namespace

BrittleTargetLimit::BrittleTargetLimit(const PeerDirectory &peers) : directory(peers), places(peers), rejections(peers)
{
}

void BrittleTargetLimit::recordAnnouncement(const PoolId &service, std::optional<std::uint32_t> perSecond, Millis now)
{
    if (perSecond) {
        this->announcements[service] = {*perSecond, now};
    } else {
        this->announcements.erase(service);
    }
}

std::optional<BrittleTargetShare>
BrittleTargetLimit::shareOf(const PoolId &service, std::uint64_t targetHash, std::uint32_t slots, Millis now)
{
    const auto found = this->announcements.find(service);
    if (found == this->announcements.end() || now - found->second.at >= announcementTtl) {
        return std::nullopt;
    }
    if (this->directory.hasPeers() && this->directory.members(now).empty()) {
        return BrittleTargetShare{0, rejectionsOfLoneGateway};
    }
    return BrittleTargetShare{
        this->places.shareOf(slots, targetHash, now),
        this->rejections.shareOf(dividedRejections(found->second.perSecond), targetHash, now),
    };
}

} // namespace Sequoiausher
