#include "sequoiausher/coordination/gateway/peerbook.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Sequoiausher {

namespace {

/** A gateway that was heard of so lately is at work. */
constexpr Millis memberLife{5000};
/** One that was not heard of for so long is forgotten: machines are replaced under other addresses. */
constexpr Millis memory{60000};
/** Up to so many peers are told in each round; beyond, each round tells some of them in turn. */
constexpr std::size_t smallFleet = 8;
constexpr std::size_t largeFleetFanout = 6;
/** What a fleet may have before anything is known of it. */
constexpr std::size_t unknownFleetSize = 12;

} // namespace

class PeerBook::Private
{
public:
    struct Known
    {
        /** When anybody last heard from it. */
        Millis heardAt;
        Millis newestSentAt;
        bool hasSpoken = false;
    };

    InstanceId self;
    std::set<InstanceId> seeds;
    std::map<InstanceId, Known> known;
    std::uint64_t seed = 0;
    std::size_t round = 0;
    /** Present once a peer has answered, or once there was time enough for it. */
    Millis firstHeardAt;
};

PeerBook::PeerBook(InstanceId self, const std::vector<InstanceId> &seeds, std::uint64_t seed)
    : d(std::make_unique<Private>())
{
    this->d->self = std::move(self);
    this->d->seed = seed;
    this->setSeeds(seeds);
}

PeerBook::~PeerBook() = default;

void PeerBook::setSeeds(const std::vector<InstanceId> &seeds)
{
    this->d->seeds = std::set<InstanceId>(seeds.begin(), seeds.end());
    this->d->seeds.erase(this->d->self);
}

void PeerBook::heardFrom(const InstanceId &peer, const GatewayReport &report, Millis now)
{
    if (this->d->firstHeardAt == Millis{0}) {
        this->d->firstHeardAt = now;
    }
    Private::Known &known = this->d->known[peer];
    known.heardAt = now;
    known.newestSentAt = report.sentAt;
    known.hasSpoken = true;
    for (const InstanceId &member : report.members) {
        if (member == this->d->self) {
            continue;
        }
        // Second hand, so a little older: else two gateways would keep a third alive by each other's word.
        Private::Known &other = this->d->known[member];
        other.heardAt = std::max(other.heardAt, now - memberLife);
    }
    std::erase_if(this->d->known, [now](const auto &entry) { return now - entry.second.heardAt > memory; });
}

std::vector<InstanceId> PeerBook::due(Millis /*now*/)
{
    std::vector<InstanceId> all = this->peers();
    if (all.size() <= smallFleet) {
        return all;
    }
    // An order of its own for each gateway, so that not all of them tell the same few at once.
    std::sort(all.begin(), all.end(), [this](const InstanceId &a, const InstanceId &b) {
        return hash64(a.value, this->d->seed) < hash64(b.value, this->d->seed);
    });
    std::vector<InstanceId> some;
    for (std::size_t i = 0; i < largeFleetFanout; ++i) {
        some.push_back(all[(this->d->round + i) % all.size()]);
    }
    this->d->round = (this->d->round + largeFleetFanout) % all.size();
    return some;
}

std::vector<InstanceId> PeerBook::peers() const
{
    std::set<InstanceId> all = this->d->seeds;
    for (const auto &[peer, known] : this->d->known) {
        all.insert(peer);
    }
    all.erase(this->d->self);
    return {all.begin(), all.end()};
}

std::vector<InstanceId> PeerBook::members(Millis now) const
{
    std::vector<InstanceId> all{this->d->self};
    for (const auto &[peer, known] : this->d->known) {
        if (known.hasSpoken && now - known.heardAt < memberLife) {
            all.push_back(peer);
        }
    }
    return all;
}

std::size_t PeerBook::fleetSize(Millis /*now*/) const
{
    const std::size_t known = this->d->known.size() + 1;
    return this->d->firstHeardAt == Millis{0} ? std::max(known, unknownFleetSize) : known;
}

Millis PeerBook::newestFrom(const InstanceId &peer) const
{
    const auto found = this->d->known.find(peer);
    return found != this->d->known.end() ? found->second.newestSentAt : Millis{0};
}

} // namespace Sequoiausher
