#include "sequoiausher/coordination/gateway/peerdirectory.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace Sequoiausher {

namespace {

/** A gateway that was seen within this time is a live member. */
constexpr Millis memberTtl{5000};
/** A gateway that was not seen for this long is forgotten, since machines are replaced under other addresses. */
constexpr Millis peerTtl{60000};
/** Up to this many gateways all report to all; with more, 200 reports a second would be sent and received. */
constexpr std::size_t maxFleetWithoutHubs = 10;
constexpr std::size_t minHubs = 4;
/**
 * A gateway with less strength than the strongest gateway's strength divided by this is a hub only if there are too few
 * others.
 */
constexpr unsigned int weakStrengthDivisor = 2;
/**
 * After this many rounds at a hub of another data centre a gateway tries its own again: by then the lists are up to
 * date.
 */
constexpr std::size_t maxRoundsAtRemoteHub = 16;
/** A gateway changes to the next hub once its hub has left this many consecutive reports unanswered. */
constexpr std::uint32_t maxUnansweredReports = 2;
/** How long the list of hubs is cached: less than one round, so that each round uses an up-to-date list. */
constexpr Millis hubListTtl{250};
/** The time after the first report in which a gateway learns of all others: a hub sends its list every few rounds. */
constexpr Millis fleetDiscoveryTime{2000};
/** The fleet size that is assumed before the first report. */
constexpr std::size_t assumedFleetSize = 12;

} // namespace

class PeerDirectory::Private
{
public:
    struct PeerRecord
    {
        /** When any gateway last received a report from the peer. */
        Millis lastSeenAt;
        Millis newestSentAt;
        /** The peer has received a report since this gateway started. */
        bool isReached = false;
        bool isHub = false;
        /**
         * When its last own report came that stated that it stops; absent if the last one did not. Unknown of gateways
         * that only others report.
         */
        std::optional<Millis> leavingAt;
        std::uint16_t strength = 0;
        DataCentreId dataCentre;
        /** The hash of the peer's name. */
        std::uint64_t hash = 0;

        /** A gateway that is seen after it fell silent itself has started again, and reports to another hub. */
        bool isLeaving(Millis now) const
        {
            return this->leavingAt && now - *this->leavingAt < memberTtl;
        }
    };

    /**
     * Returns the hubs in the order that all gateways share. The list is cached, because computing it visits every
     * name.
     */
    const std::vector<InstanceId> &hubs(Millis now)
    {
        if (!this->hasHubList || now - this->hubsUpdatedAt >= hubListTtl) {
            this->hasHubList = true;
            this->hubsUpdatedAt = now;
            this->currentHubs = this->findHubs(now);
            const auto found = std::find(this->currentHubs.begin(), this->currentHubs.end(), this->self);
            this->selfIsHub = found != this->currentHubs.end();
            this->selfRank = static_cast<std::size_t>(found - this->currentHubs.begin());
        }
        return this->currentHubs;
    }

    /** The properties that decide which gateways are hubs, collected once for each sort. */
    struct Candidate
    {
        std::uint16_t strength = 0;
        std::uint64_t hash = 0;
        const InstanceId *instance = nullptr;
        const DataCentreId *dataCentre = nullptr;
        /** Too weak to be a hub while there are stronger candidates. */
        bool isWeak = false;
        /** The rank among the candidates of the same data centre, 0 first. */
        std::size_t rankInDataCentre = 0;
    };

    static bool isStronger(const Candidate &a, const Candidate &b)
    {
        return a.strength != b.strength ? a.strength > b.strength : a.hash < b.hash;
    }

    /**
     * Orders the first candidate of each data centre before the second of each, and so on; weak candidates come last.
     */
    static bool hasHubPriority(const Candidate &a, const Candidate &b)
    {
        if (a.isWeak != b.isWeak) {
            return b.isWeak;
        }
        return !a.isWeak && a.rankInDataCentre != b.rankInDataCentre ? a.rankInDataCentre < b.rankInDataCentre
                                                                     : isStronger(a, b);
    }

    std::vector<Candidate> liveCandidates(Millis now) const
    {
        std::vector<Candidate> all{{this->strength, hash64(this->self.value), &this->self, &this->dataCentre}};
        for (const auto &[peer, record] : this->known) {
            if (now - record.lastSeenAt < memberTtl) {
                all.push_back({record.strength, record.hash, &peer, &record.dataCentre});
            }
        }
        return all;
    }

    std::vector<InstanceId> findHubs(Millis now) const
    {
        std::vector<Candidate> all = this->liveCandidates(now);
        if (all.size() <= maxFleetWithoutHubs) {
            return {};
        }
        std::sort(all.begin(), all.end(), isStronger);
        std::map<DataCentreId, std::size_t> nextRank;
        for (Candidate &candidate : all) {
            candidate.isWeak = candidate.strength * weakStrengthDivisor < all.front().strength;
            candidate.rankInDataCentre = nextRank[*candidate.dataCentre]++;
        }
        // The count makes each hub answer about four times as many gateways as there are hubs.
        const auto root = static_cast<std::size_t>(std::lround(std::sqrt(static_cast<double>(all.size())) / 2));
        const std::size_t count = std::min(std::max(minHubs, root), all.size());
        std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count), all.end(), hasHubPriority);
        std::vector<InstanceId> hubs;
        for (std::size_t i = 0; i < count; ++i) {
            hubs.push_back(*all[i].instance);
        }
        return hubs;
    }

    bool isInOwnDataCentre(const InstanceId &peer) const
    {
        const auto found = this->known.find(peer);
        return found != this->known.end() && found->second.dataCentre == this->dataCentre;
    }

    /** Whether this gateway uses a hub of another data centre and should try one of its own again. */
    bool shouldReturnToOwnDataCentre(const std::vector<InstanceId> &all) const
    {
        return this->roundsAtHub >= maxRoundsAtRemoteHub && !this->isInOwnDataCentre(this->hub)
            && std::any_of(all.begin(), all.end(), [this](const InstanceId &candidate) {
                   return this->isInOwnDataCentre(candidate);
               });
    }

    /** Returns the hub to use after the current one. */
    const InstanceId &nextHub(const std::vector<InstanceId> &all) const
    {
        std::vector<const InstanceId *> ownDataCentreHubs;
        std::vector<const InstanceId *> remoteHubs;
        for (const InstanceId &candidate : all) {
            if (candidate != this->hub) {
                (this->isInOwnDataCentre(candidate) ? ownDataCentreHubs : remoteHubs).push_back(&candidate);
            }
        }
        // A failed hub of the own data centre may stay listed for seconds, so the hub after it is one of another data
        // centre.
        const bool usesOwnDataCentre
            = remoteHubs.empty() || (!ownDataCentreHubs.empty() && !this->isInOwnDataCentre(this->hub));
        const std::vector<const InstanceId *> &from = usesOwnDataCentre ? ownDataCentreHubs : remoteHubs;
        const std::uint64_t order = hash64(this->self.value, this->hubOrderSeed) + this->hubChanges;
        return from.empty() ? all.front() : *from[order % from.size()];
    }

    /** A list of the strongest gateways, in the rendezvous order of one key. */
    struct StrongestList
    {
        std::vector<InstanceId> gateways;
        Millis at;
    };

    std::vector<InstanceId> findStrongest(std::uint64_t key, Millis now) const
    {
        std::uint16_t most = this->strength;
        for (const auto &[peer, record] : this->known) {
            most = now - record.lastSeenAt < maxMemberAge ? std::max(most, record.strength) : most;
        }
        std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
        if (this->strength * weakStrengthDivisor >= most) {
            ranked.emplace_back(rendezvousWeight(hash64(this->self.value), key), this->self);
        }
        for (const auto &[peer, record] : this->known) {
            if (now - record.lastSeenAt < maxMemberAge && record.strength * weakStrengthDivisor >= most) {
                ranked.emplace_back(rendezvousWeight(record.hash, key), peer);
            }
        }
        std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
        std::vector<InstanceId> gateways;
        for (auto &[weight, gateway] : ranked) {
            gateways.push_back(std::move(gateway));
        }
        return gateways;
    }

    PeerRecord &findOrAddRecord(const InstanceId &peer)
    {
        const auto [entry, isNew] = this->known.try_emplace(peer);
        if (isNew) {
            entry->second.hash = hash64(peer.value);
        }
        return entry->second;
    }

    InstanceId self;
    std::set<InstanceId> seeds;
    std::map<InstanceId, PeerRecord> known;
    std::uint64_t hubOrderSeed = 0;
    std::uint16_t strength = 0;
    DataCentreId dataCentre;
    bool hasReceivedReport = false;
    bool hasReceivedReply = false;
    std::optional<Millis> firstReportAt;
    /** When this gateway sent its first reports. */
    std::optional<Millis> firstRoundAt;
    /** The hub that this gateway reports to, and the number of its consecutive reports that the hub left unanswered. */
    InstanceId hub;
    std::uint32_t unansweredReports = 0;
    std::size_t roundsAtHub = 0;
    std::uint64_t hubChanges = 0;
    std::vector<InstanceId> currentHubs;
    bool hasHubList = false;
    bool selfIsHub = false;
    std::size_t selfRank = 0;
    Millis hubsUpdatedAt;
    std::map<std::uint64_t, StrongestList> strongest;
};

PeerDirectory::PeerDirectory(InstanceId self, const std::vector<InstanceId> &seeds, std::uint64_t hubOrderSeed)
    : d(std::make_unique<Private>())
{
    this->d->self = std::move(self);
    this->d->hubOrderSeed = hubOrderSeed;
    this->setSeeds(seeds);
}

PeerDirectory::~PeerDirectory() = default;

void PeerDirectory::setSeeds(const std::vector<InstanceId> &seeds)
{
    this->d->seeds = std::set<InstanceId>(seeds.begin(), seeds.end());
    this->d->seeds.erase(this->d->self);
}

void PeerDirectory::setSelf(std::uint16_t strength, const DataCentreId &dataCentre)
{
    this->d->strength = strength;
    this->d->dataCentre = dataCentre;
}

Millis PeerDirectory::ownEcho(Millis echo, Millis now) const
{
    // An earlier one is of a report from before a restart of this gateway, a later one of a report from before its
    // machine's clock began anew.
    const bool isOwn = this->d->firstRoundAt && echo >= *this->d->firstRoundAt && echo <= now;
    return isOwn ? echo : Millis{0};
}

void PeerDirectory::recordReport(const InstanceId &peer, const GatewayReport &report, Millis now)
{
    this->d->hasReceivedReport = true;
    this->d->firstReportAt = this->d->firstReportAt.value_or(now);
    if (peer == this->d->hub) {
        this->d->unansweredReports = 0;
    }
    Private::PeerRecord &known = this->d->findOrAddRecord(peer);
    known.lastSeenAt = now;
    known.newestSentAt = report.sentAt;
    known.isReached = this->ownEcho(report.echo, now) != Millis{0};
    this->d->hasReceivedReply = this->d->hasReceivedReply || known.isReached;
    known.isHub = report.isHub;
    known.leavingAt = report.leaving ? std::optional(now) : std::nullopt;
    known.strength = report.strength;
    known.dataCentre = report.dataCentre;
    for (const GatewayMember &member : report.members) {
        if (member.instance != this->d->self && member.age < peerTtl) {
            Private::PeerRecord &other = this->d->findOrAddRecord(member.instance);
            other.lastSeenAt = std::max(other.lastSeenAt, now - member.age);
            other.strength = member.strength;
            other.dataCentre = member.dataCentre;
        }
    }
    std::erase_if(this->d->known, [now](const auto &entry) { return now - entry.second.lastSeenAt > peerTtl; });
}

std::vector<DueReport> PeerDirectory::takeDueReports(Millis now)
{
    this->d->firstRoundAt = this->d->firstRoundAt.value_or(now);
    std::vector<DueReport> reports;
    const std::vector<InstanceId> &hubs = this->d->hubs(now);
    if (hubs.empty()) {
        for (const InstanceId &peer : this->peers()) {
            reports.push_back({peer, !this->d->hasReceivedReport});
        }
        return reports;
    }
    if (this->d->selfIsHub) {
        for (const InstanceId &hub : hubs) {
            if (hub != this->d->self) {
                reports.push_back({hub, false});
            }
        }
        return reports;
    }
    const bool isGone = std::find(hubs.begin(), hubs.end(), this->d->hub) == hubs.end();
    if (isGone || this->d->unansweredReports >= maxUnansweredReports || this->d->shouldReturnToOwnDataCentre(hubs)) {
        this->d->hub = this->d->nextHub(hubs);
        this->d->hubChanges += 1;
        this->d->unansweredReports = 0;
        this->d->roundsAtHub = 0;
    }
    this->d->roundsAtHub += 1;
    reports.push_back({this->d->hub, true});
    if (this->d->unansweredReports > 0 && hubs.size() > 1) {
        // Connects to the next hub early, so that the link exists if the current hub is gone.
        reports.push_back({this->d->nextHub(hubs), true});
    }
    this->d->unansweredReports += 1;
    return reports;
}

bool PeerDirectory::mustReply(const InstanceId &peer, const GatewayReport &report, Millis now) const
{
    // Two gateways that both consider the other no hub would answer each other's replies endlessly.
    if (report.isReply || report.wantsReply) {
        return !report.isReply;
    }
    const std::vector<InstanceId> &hubs = this->d->hubs(now);
    return !hubs.empty() && std::find(hubs.begin(), hubs.end(), peer) == hubs.end();
}

bool PeerDirectory::hasHubs(Millis now) const
{
    return !this->d->hubs(now).empty();
}

bool PeerDirectory::isHub(Millis now) const
{
    this->d->hubs(now);
    return this->d->selfIsHub;
}

std::optional<std::size_t> PeerDirectory::hubRank(Millis now) const
{
    return this->isHub(now) ? std::optional(this->d->selfRank) : std::nullopt;
}

bool PeerDirectory::comesBefore(const InstanceId &peer, Millis now) const
{
    const std::vector<InstanceId> &hubs = this->d->hubs(now);
    const auto position = std::find(hubs.begin(), hubs.end(), peer);
    return position != hubs.end() && static_cast<std::size_t>(position - hubs.begin()) < this->d->selfRank;
}

bool PeerDirectory::statedHub(const InstanceId &peer) const
{
    const auto found = this->d->known.find(peer);
    return found != this->d->known.end() && found->second.isHub;
}

std::vector<InstanceId> PeerDirectory::statedHubs() const
{
    std::vector<InstanceId> all;
    for (const auto &[peer, known] : this->d->known) {
        if (known.isHub) {
            all.push_back(peer);
        }
    }
    return all;
}

std::vector<InstanceId> PeerDirectory::peers() const
{
    std::set<InstanceId> all = this->d->seeds;
    for (const auto &[peer, known] : this->d->known) {
        all.insert(peer);
    }
    all.erase(this->d->self);
    return {all.begin(), all.end()};
}

bool PeerDirectory::hasPeers() const
{
    return !this->d->seeds.empty() || !this->d->known.empty();
}

bool PeerDirectory::hasReached(const InstanceId &peer) const
{
    const auto found = this->d->known.find(peer);
    return found != this->d->known.end() && found->second.isReached;
}

bool PeerDirectory::hasReceivedReply() const
{
    return this->d->hasReceivedReply;
}

bool PeerDirectory::isLeaving(const InstanceId &peer, Millis now) const
{
    const auto found = this->d->known.find(peer);
    return found != this->d->known.end() && found->second.isLeaving(now);
}

bool PeerDirectory::hasStayingPeer(Millis now) const
{
    return this->successor(now) != StopSuccessor::None;
}

StopSuccessor PeerDirectory::successor(Millis now) const
{
    StopSuccessor best = StopSuccessor::None;
    for (const auto &[peer, record] : this->d->known) {
        if (now - record.lastSeenAt >= memberTtl || record.isLeaving(now)) {
            continue;
        }
        if (record.dataCentre == this->d->dataCentre) {
            return StopSuccessor::Neighbour;
        }
        best = StopSuccessor::Elsewhere;
    }
    return best;
}

std::vector<GatewayMember> PeerDirectory::members(Millis now) const
{
    std::vector<GatewayMember> all;
    for (const auto &[peer, known] : this->d->known) {
        if (now - known.lastSeenAt < memberTtl) {
            all.push_back({peer, now - known.lastSeenAt, known.strength, known.dataCentre});
        }
    }
    return all;
}

std::size_t PeerDirectory::liveCount(Millis now) const
{
    return 1
        + static_cast<std::size_t>(
               std::count_if(this->d->known.begin(), this->d->known.end(), [now](const auto &entry) {
                   return now - entry.second.lastSeenAt < memberTtl;
               }));
}

std::size_t PeerDirectory::fleetSize(Millis /*now*/) const
{
    const std::size_t known = this->d->known.size() + 1;
    return this->d->hasReceivedReport ? known : std::max(known, assumedFleetSize);
}

bool PeerDirectory::knowsFleet(Millis now) const
{
    return !this->hasPeers() || (this->d->firstReportAt && now - *this->d->firstReportAt >= fleetDiscoveryTime);
}

const std::vector<InstanceId> &PeerDirectory::strongestByRendezvous(std::uint64_t key, Millis now)
{
    const auto [found, isNew] = this->d->strongest.try_emplace(key);
    if (isNew || now - found->second.at >= hubListTtl) {
        found->second = {this->d->findStrongest(key, now), now};
    }
    return found->second.gateways;
}

std::size_t PeerDirectory::rendezvousRank(std::uint64_t key) const
{
    const std::uint64_t own = rendezvousWeight(hash64(this->d->self.value), key);
    return static_cast<std::size_t>(
        std::count_if(this->d->known.begin(), this->d->known.end(), [own, key](const auto &entry) {
            return rendezvousWeight(entry.second.hash, key) > own;
        }));
}

Millis PeerDirectory::silence(const InstanceId &peer, Millis now) const
{
    const auto found = this->d->known.find(peer);
    return found != this->d->known.end() ? now - found->second.lastSeenAt : Millis::never();
}

Millis PeerDirectory::newestReportFrom(const InstanceId &peer) const
{
    const auto found = this->d->known.find(peer);
    return found != this->d->known.end() ? found->second.newestSentAt : Millis{0};
}

} // namespace Sequoiausher
