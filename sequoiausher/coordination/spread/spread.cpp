#include "sequoiausher/coordination/spread/spread.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/spread/configurationstate.h"
#include "sequoiausher/coordination/spread/digestexchange.h"
#include "sequoiausher/coordination/spread/relaytree.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace Sequoiausher {

namespace {

/** Longer than a message takes between two routers. */
constexpr Millis hopAllowance{500};
constexpr std::string_view readerRankKey = "configuration readers";
/** Gives announcements another tree than bodies, so that one dead router does not cut the same peers off from both. */
constexpr std::uint64_t announcementTreeSeed = 1;

std::uint64_t treeKey(const Document &document, std::uint64_t seed)
{
    return hash64(document.name, document.revision * 2 + seed);
}

bool contains(const std::vector<InstanceId> &members, const InstanceId &id)
{
    return std::find(members.begin(), members.end(), id) != members.end();
}

/** An announced document that has not arrived yet. */
struct Awaited
{
    Revision revision = 0;
    InstanceId announcer;
    Millis pullAt;
};

} // namespace

class Spread::Private
{
public:
    Private(InstanceId ownName, std::uint64_t seed, const SpreadSettings &given)
        : self(std::move(ownName))
        , settings(given)
        , random(seed)
        , exchange(settings.pushBytes)
    {
    }

    InstanceId self;
    SpreadSettings settings;
    std::mt19937_64 random;
    DocumentTable table;
    DigestExchange exchange;

    RelayTree tree;
    std::set<InstanceId> reachable;
    std::vector<InstanceId> peers;
    /**
     * This router's position in the rendezvous order for readerRankKey among the listed or the reachable routers,
     * whichever is smaller; maxReaders if the platform does not list this router.
     */
    std::size_t readerRank = 0;

    bool ready = false;
    std::set<InstanceId> syncedWith;
    /** Peers whose answers were incomplete, such as those of peers that are not ready. */
    std::set<InstanceId> unreadyPeers;
    /** All documents that the service lists have been read. */
    bool hasAllServiceDocuments = false;
    std::optional<Millis> firstPeerAt;
    std::map<std::string, Awaited> awaited;
    /** Time by name until which no further pull is sent, because one is in flight. */
    std::map<std::string, Millis> pulling;
    std::optional<Millis> refreshUntil;
    std::optional<Millis> differsSince;
    Millis changedAt;
    Millis nextSync;
    Millis nextCompare;
    Millis lastService;
    bool serviceSeen = false;
    std::optional<Millis> startedAt;
    std::optional<Millis> lastTick;
    std::optional<Millis> aloneSince;
    Millis readDelay;

    std::size_t rankIn(const std::vector<InstanceId> &members) const;
    std::size_t allowedReaders(Millis now) const;
    std::size_t syncTarget(Millis now) const;
    bool isReady(Millis now) const;
    void start(Millis now);
    void recordServiceAnswer(Millis at);
    bool store(Millis now, const Document &document);
    void relayDocuments(const std::vector<Document> &documents, std::uint32_t hops, bool atRoot, Outbox &outbox);
    void sendPull(Millis now, const InstanceId &from, const std::vector<DocumentVersion> &versions, Outbox &outbox);
    void requestComparison(const InstanceId &peer, Outbox &outbox);
    void requestComparisons(Millis now, Outbox &outbox);
    void markSynced(Millis now, const InstanceId &peer);
    bool mayTrustService(Millis now) const;
    void pullOverdue(Millis now, Outbox &outbox);
};

std::size_t Spread::Private::rankIn(const std::vector<InstanceId> &members) const
{
    const auto order = rendezvousTop(members, hash64(readerRankKey), this->settings.maxReaders);
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), this->self) - order.begin());
}

/**
 * While no reader gets an answer, the service may be down, or only the readers may be cut off from the service; then
 * serviceAge grows although other routers could read. The number of readers therefore doubles with each further
 * serviceSilenceTimeout, up to a limit that keeps the read budget.
 */
std::size_t Spread::Private::allowedReaders(Millis now) const
{
    std::size_t allowed = this->settings.readers;
    Millis silent = now - this->lastService;
    while (this->serviceSeen && silent >= this->settings.serviceSilenceTimeout && allowed < this->settings.maxReaders) {
        allowed = std::min(allowed * 2, this->settings.maxReaders);
        silent = silent - this->settings.serviceSilenceTimeout;
    }
    return allowed;
}

std::size_t Spread::Private::syncTarget(Millis now) const
{
    const bool needsSeveralPeers = this->startedAt && now - *this->startedAt < this->settings.syncTimeout;
    return needsSeveralPeers ? std::min(this->settings.syncPeers, this->peers.size()) : 1;
}

/**
 * After a pause a process handles messages before its next tick detects the pause. If the process counted as ready
 * then, a new router that compares with it would start with documents from before the pause.
 */
bool Spread::Private::isReady(Millis now) const
{
    const bool wasPaused = this->lastTick && now - *this->lastTick > this->settings.maxTickGap;
    const bool refreshing = this->refreshUntil && now < *this->refreshUntil;
    return (this->ready || this->mayTrustService(now)) && !wasPaused && !refreshing;
}

void Spread::Private::start(Millis now)
{
    if (this->startedAt) {
        return;
    }
    this->startedAt = now;
    this->aloneSince = now;
    this->lastService = now;
    const auto span = static_cast<std::uint64_t>(std::max<std::int64_t>(this->settings.maxReadDelay.count, 1));
    this->readDelay = Millis{static_cast<std::int64_t>(this->random() % span)};
}

void Spread::Private::recordServiceAnswer(Millis at)
{
    this->lastService = std::max(this->lastService, at);
    this->serviceSeen = true;
}

bool Spread::Private::store(Millis now, const Document &document)
{
    if (!this->table.learn(document)) {
        return false;
    }
    this->changedAt = now;
    this->pulling.erase(document.name);
    const auto waited = this->awaited.find(document.name);
    if (waited != this->awaited.end() && waited->second.revision <= document.revision) {
        this->awaited.erase(waited);
    }
    this->exchange.markReceived(document);
    return true;
}

/**
 * Sends bodies to the children in one tree and announcements without bodies to the children in another. If the parent
 * of a peer in the first tree died, or the push was lost, the peer gets the announcement and pulls the document after
 * announcedPullDelay. Without announcements, the peer would run the old configuration for seconds until a digest
 * differs.
 */
void Spread::Private::relayDocuments(const std::vector<Document> &documents,
                                     std::uint32_t hops,
                                     bool atRoot,
                                     Outbox &outbox)
{
    // A router that is not ready yet relays documents that came along a tree, but not the many old ones that it pulls
    // or reads from the service; these have hops 1 here.
    const bool fromTree = hops > 1;
    if ((!this->ready && !fromTree) || hops > this->settings.maxHops) {
        return;
    }
    const ReachableTest isReachable = [this](const InstanceId &id) { return this->reachable.count(id) > 0; };
    std::map<InstanceId, std::vector<Document>> bodies;
    std::map<InstanceId, std::vector<DocumentVersion>> announcements;
    for (const Document &document : documents) {
        for (const InstanceId &start : atRoot ? std::vector{InstanceId{}, this->self} : std::vector{this->self}) {
            for (const auto &child :
                 this->tree.children(start, treeKey(document, 0), this->settings.fanOut, isReachable)) {
                bodies[child].push_back(document);
            }
            for (const auto &child : this->tree.children(
                     start, treeKey(document, announcementTreeSeed), this->settings.fanOut, isReachable)) {
                announcements[child].push_back({document.name, document.revision});
            }
        }
    }
    bodies.erase(this->self);
    announcements.erase(this->self);
    for (const auto &[child, batch] : bodies) {
        addPushes(child, batch, hops, this->settings.pushBytes, outbox);
    }
    for (auto &[child, versions] : announcements) {
        DocumentDigest announcement;
        announcement.versions = std::move(versions);
        outbox.push_back({child, std::move(announcement)});
    }
}

void Spread::Private::sendPull(Millis now,
                               const InstanceId &from,
                               const std::vector<DocumentVersion> &versions,
                               Outbox &outbox)
{
    DocumentPull wanted;
    for (const DocumentVersion &version : versions) {
        const auto running = this->pulling.find(version.name);
        const bool isPending = running != this->pulling.end() && now < running->second;
        if (isPending || this->table.revisionOf(version.name) >= version.revision) {
            continue;
        }
        this->pulling[version.name] = now + this->settings.pullTimeout;
        wanted.names.push_back(version.name);
    }
    if (!wanted.names.empty()) {
        outbox.push_back({from, std::move(wanted)});
    }
}

void Spread::Private::requestComparison(const InstanceId &peer, Outbox &outbox)
{
    outbox.push_back({peer, this->exchange.start(peer, this->random(), this->table)});
}

void Spread::Private::requestComparisons(Millis now, Outbox &outbox)
{
    this->nextSync = now + this->settings.syncInterval;
    std::vector<InstanceId> others;
    std::copy_if(this->peers.begin(), this->peers.end(), std::back_inserter(others), [this](const InstanceId &peer) {
        return this->syncedWith.count(peer) == 0;
    });
    for (std::size_t i = 0; i < this->settings.syncRequestPeers && !others.empty(); ++i) {
        const std::size_t chosen = this->random() % others.size();
        this->requestComparison(others[chosen], outbox);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void Spread::Private::markSynced(Millis now, const InstanceId &peer)
{
    this->syncedWith.insert(peer);
    this->refreshUntil.reset();
    this->ready = this->ready || this->syncedWith.size() >= this->syncTarget(now);
}

/**
 * The service may be stale for long while peers have newer documents. A new router that relied on the service alone
 * would run old rules until it compared with a peer. So the service is enough only if no peer can help: there is no
 * peer, the peers asked are not ready themselves (as when all routers start at once), or no peer answers.
 */
bool Spread::Private::mayTrustService(Millis now) const
{
    const bool waitsForPeers = this->firstPeerAt && now - *this->firstPeerAt < this->settings.syncTimeout;
    const std::size_t enough = std::min(this->settings.syncRequestPeers, this->peers.size());
    return this->hasAllServiceDocuments && (!waitsForPeers || this->unreadyPeers.size() >= enough);
}

void Spread::Private::pullOverdue(Millis now, Outbox &outbox)
{
    std::map<InstanceId, std::vector<DocumentVersion>> overdue;
    for (auto &[name, entry] : this->awaited) {
        if (now >= entry.pullAt) {
            overdue[entry.announcer].push_back({name, entry.revision});
        }
    }
    for (const auto &[announcer, versions] : overdue) {
        this->sendPull(now, announcer, versions, outbox);
        for (const DocumentVersion &version : versions) {
            this->awaited.erase(version.name);
        }
    }
}

Spread::Spread(InstanceId self, std::uint64_t seed, const SpreadSettings &settings)
    : d(std::make_unique<Private>(std::move(self), seed, settings))
{
}
Spread::~Spread() = default;

void Spread::setFleet(Millis now, const FleetView &view)
{
    this->d->start(now);
    if (this->d->tree.members() != view.listed) {
        this->d->tree = RelayTree(view.listed);
    }
    this->d->reachable = {view.reachable.begin(), view.reachable.end()};
    this->d->peers.clear();
    for (const InstanceId &peer : view.reachable) {
        if (peer != this->d->self) {
            this->d->peers.push_back(peer);
        }
    }
    this->d->readerRank = std::min(this->d->rankIn(view.listed), this->d->rankIn(view.reachable));
    if (!contains(view.listed, this->d->self)) {
        this->d->readerRank = this->d->settings.maxReaders;
    }
    if (!this->d->peers.empty()) {
        this->d->aloneSince.reset();
        if (!this->d->firstPeerAt) {
            this->d->firstPeerAt = now;
            this->d->nextSync = now;
        }
    } else if (!this->d->aloneSince) {
        this->d->aloneSince = now;
    }
}

bool Spread::isReader(Millis now) const
{
    return this->d->readerRank < this->d->allowedReaders(now);
}

ReadPlan Spread::readPlan(Millis now) const
{
    if (!this->d->startedAt) {
        return ReadPlan::Nothing;
    }
    const bool knowsList = !this->d->tree.members().empty();
    if (knowsList && this->isReader(now)) {
        return ReadPlan::Watch;
    }
    if (!this->d->aloneSince) {
        return ReadPlan::Nothing;
    }
    const Millis alone = now - *this->d->aloneSince;
    if (alone >= this->d->settings.isolationTimeout + this->d->readDelay) {
        return ReadPlan::Watch;
    }
    return !knowsList && alone >= this->d->readDelay ? ReadPlan::Instances : ReadPlan::Nothing;
}

std::vector<std::string> Spread::selectNamesToRead(const std::vector<DocumentVersion> &listed) const
{
    std::vector<std::string> names;
    for (const DocumentVersion &version : listed) {
        if (!isLastGoodName(version.name) && this->d->table.revisionOf(version.name) < version.revision) {
            names.push_back(version.name);
        }
    }
    return names;
}

void Spread::serviceAnswered(Millis now)
{
    this->d->recordServiceAnswer(now);
}

void Spread::addServiceDocuments(Millis now, const std::vector<Document> &documents, bool isComplete, Outbox &outbox)
{
    this->d->recordServiceAnswer(now);
    std::vector<Document> fresh;
    for (const Document &document : documents) {
        if (!isLastGoodName(document.name) && this->d->store(now, document)) {
            fresh.push_back(document);
        }
    }
    this->d->relayDocuments(fresh, 1, true, outbox);
    if (isComplete) {
        // ready is set by the next tick at the earliest, because it is never reset: the documents read may include the
        // list of instances, and so name peers to compare with. isReady() may return true before that.
        this->d->hasAllServiceDocuments = true;
        this->d->refreshUntil.reset();
    }
}

void Spread::storeLastGood(Millis now, const std::vector<Document> &lastGood)
{
    for (const Document &document : lastGood) {
        this->d->store(now, document);
    }
}

void Spread::receive(Millis now, const InstanceId &from, const DocumentPush &push, Outbox &outbox)
{
    std::vector<Document> fresh;
    for (const Document &document : push.documents) {
        if (this->d->store(now, document)) {
            fresh.push_back(document);
        }
    }
    this->d->relayDocuments(fresh, push.hops + 1, false, outbox);
    if (this->d->exchange.finishIfComplete(from)) {
        this->d->markSynced(now, from);
    }
}

void Spread::receive(Millis now, const InstanceId &from, const DocumentDigest &digest, Outbox &outbox)
{
    if (digest.wantsAnswer) {
        outbox.push_back({from, this->d->exchange.answerRequest(digest, this->d->table, this->d->isReady(now))});
        return;
    }
    if (digest.exchange == 0) {
        for (const DocumentVersion &version : digest.versions) {
            const bool known = this->d->table.revisionOf(version.name) >= version.revision;
            const auto waited = this->d->awaited.find(version.name);
            if (!known && (waited == this->d->awaited.end() || waited->second.revision < version.revision)) {
                this->d->awaited[version.name] = {version.revision, from, now + this->d->settings.announcedPullDelay};
            }
        }
        return;
    }
    if (!this->d->exchange.acceptAnswer(from, digest, this->d->table)) {
        return;
    }
    if (!digest.complete && !this->d->ready) {
        this->d->unreadyPeers.insert(from);
    }
    this->d->sendPull(now, from, digest.versions, outbox);
    const auto newer = this->d->exchange.newerThan(digest, this->d->table);
    if (!newer.empty()) {
        addPushes(from, newer, 0, this->d->settings.pushBytes, outbox);
    }
    if (this->d->exchange.finishIfComplete(from)) {
        this->d->markSynced(now, from);
    }
}

void Spread::receive(Millis now, const InstanceId &from, const DocumentPull &pull, Outbox &outbox)
{
    static_cast<void>(now);
    std::vector<Document> found;
    for (const std::string &name : pull.names) {
        if (const DocumentPointer document = this->d->table.find(name)) {
            found.push_back(*document);
        }
    }
    addPushes(from, found, 0, this->d->settings.pushBytes, outbox);
}

void Spread::receiveGossip(Millis now, const InstanceId &from, const Gossip &gossip, Outbox &outbox)
{
    if (gossip.serviceAge.count >= 0) {
        // Without the allowance, an age that two routers send each other would never grow: each hop would lose the time
        // that the message took, and a silent service would not be detected.
        this->d->recordServiceAnswer(now - gossip.serviceAge - hopAllowance);
    }
    if (gossip.documentsDigest == this->d->table.digest()) {
        this->d->differsSince.reset();
        return;
    }
    if (!this->d->differsSince) {
        this->d->differsSince = now;
    }
    if (now < this->d->nextCompare) {
        return;
    }
    const bool settled = now - this->d->changedAt >= this->d->settings.repairQuietPeriod;
    if (settled || now - *this->d->differsSince >= this->d->settings.mismatchTimeout) {
        this->d->differsSince.reset();
        this->d->nextCompare = now + this->d->settings.compareInterval;
        this->d->requestComparison(from, outbox);
    }
}

void Spread::tick(Millis now, Outbox &outbox)
{
    this->d->start(now);
    this->d->pullOverdue(now, outbox);
    this->d->lastTick = now;
    this->d->ready = this->d->ready || this->d->mayTrustService(now);
    if (!this->d->isReady(now) && now >= this->d->nextSync) {
        this->d->requestComparisons(now, outbox);
    }
}

void Spread::resumeAfterPause(Millis now, Outbox &outbox)
{
    this->d->refreshUntil = now + this->d->settings.refreshTimeout;
    this->d->awaited.clear();
    this->d->pulling.clear();
    this->d->syncedWith.clear();
    this->d->exchange.clear();
    this->d->requestComparisons(now, outbox);
}

bool Spread::isReady(Millis now) const
{
    return this->d->isReady(now);
}

const DocumentTable &Spread::documents() const
{
    return this->d->table;
}

DocumentSummary Spread::summary(Millis now) const
{
    const Millis age = this->d->serviceSeen ? now - this->d->lastService : Millis{-1};
    return {this->d->table.digest(), this->d->table.highestRevision(), age};
}

} // namespace Sequoiausher
