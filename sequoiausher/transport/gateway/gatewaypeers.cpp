#include "sequoiausher/transport/gateway/gatewaypeers.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/coordination/gateway/storeposition.h"
#include "sequoiausher/protocol/gateway/targetstext.h"
#include "sequoiausher/transport/gateway/placerequest.h"
#include "sequoiausher/transport/peers/peermesh.h"

#include <QByteArray>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr const char *configurationDocument = "gateway/configuration";
constexpr const char *targetsDocument = "gateway/targets";
constexpr const char *targetChangesDocument = "gateway/target-changes";
/** The time after which a document is sent to the same peer again; the first copy may still be on its way. */
constexpr Millis resendInterval{600};
/** The time after which a newer revision is sent, so that of many changes in a row only some are sent. */
constexpr Millis newerPushInterval{250};
/** A link on which nothing arrives for this long has failed; several reports are due in this time. */
constexpr Millis linkSilence{1500};
/** How often the peers that read the store are asked while a taken-up stream waits for a proof. */
constexpr Millis proofAskInterval{150};
constexpr Millis maxRedialPause{800};
/** A gateway whose link has been down for this long is gone, or cut off from its targets too. */
constexpr Millis maxLinkOutage{500};

LinkSettings linkSettings(const GatewayContext &context, Incarnation incarnation)
{
    const GatewaySettings &settings = context.settings;
    LinkSettings links;
    links.maxUnknownPeers = context.connectionMemory().maxUnknownPeers();
    links.maxAccepted = context.connectionMemory().maxPeers();
    links.self = InstanceId{settings.peerAddress};
    links.incarnation = incarnation;
    links.dataCentre = settings.dataCentre;
    links.silence = linkSilence;
    links.redialMost = maxRedialPause;
    links.messageLife = linkSilence;
    links.seed = incarnation;
    return links;
}

/** The capacity of a gateway for other gateways' reports: a twentieth of a core or ten Mbit/s count one; the scarcer
 * decides. */
std::uint16_t strengthOf(const GatewaySettings &settings)
{
    constexpr double shareUnit = 0.05;
    constexpr double linkUnit = 10;
    constexpr double maxStrength = 1000;
    return static_cast<std::uint16_t>(
        std::clamp(std::min(settings.processorShare / shareUnit, settings.linkMbps / linkUnit), 0.0, maxStrength));
}

/**
 * Compresses a document for peers. Without compression, a configuration of half a megabyte would take half a second on
 * a link of 10 Mbit/s for each gateway that it is sent to.
 */
std::string packed(const std::string &text)
{
    constexpr int fastest = 1;
    return qCompress(reinterpret_cast<const uchar *>(text.data()), static_cast<qsizetype>(text.size()), fastest)
        .toStdString();
}

std::string unpacked(const std::string &bytes, const std::string &from)
{
    const QByteArray text
        = qUncompress(reinterpret_cast<const uchar *>(bytes.data()), static_cast<qsizetype>(bytes.size()));
    if (text.isEmpty()) {
        throw Error(Step::Decode, from, "a document cannot be unpacked");
    }
    return text.toStdString();
}

} // namespace

class GatewayPeers::Private : public PeerListener
{
public:
    Private(GatewayContext &sharedContext, Incarnation incarnation, SharedKnowledge &knowledge, PeerUpdates &receiver)
        : context(sharedContext)
        , known(knowledge)
        , updates(receiver)
        , mesh(linkSettings(sharedContext, incarnation), *this)
    {
        this->context.peers.setSelf(strengthOf(sharedContext.settings), sharedContext.settings.dataCentre);
        this->context.sendToPeers = [this](Outbox messages) { this->send(std::move(messages)); };
    }
    ~Private() override
    {
        this->context.sendToPeers = [](const Outbox &) {};
    }
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void send(Outbox messages)
    {
        for (Outgoing &out : messages) {
            this->mesh.send(out.to, std::move(out.message));
        }
    }

    void received(const InstanceId &from, Incarnation incarnation, PeerMessage message) override;
    void linkChanged(const InstanceId &peer, Incarnation incarnation, bool up) override;
    /** The position of a revision that a peer reported; without an era, the peer is taken to be in the current one. */
    Revision positionOf(std::uint64_t era, Revision revision) const;
    void receive(const InstanceId &from, const GatewayReport &report);
    void receive(const Document &document, const InstanceId &from);
    void sendReports(Millis now);
    /** Asks who reads the store how far it is known, where a taken-up stream waits for that. */
    void askForProof(Millis now);
    GatewayReport reportFor(const InstanceId &peer, Millis now);
    void addEvacuations(GatewayReport &report, const InstanceId &peer) const;
    /** Merges the reported evacuations. @return whether the peer and this gateway now know the same ones. */
    bool receiveEvacuations(const InstanceId &from, const GatewayReport &report, Revision at);
    /** @param has the position up to which the peer's list of targets is complete. */
    void pushTo(const InstanceId &peer, const GatewayReport &report, Revision has, Millis now);
    void pushTargets(const InstanceId &peer, Revision has, Millis now);
    /**
     * The document in the format for peers whose lists are complete up to has; it is the same for most peers, so it is
     * cached.
     */
    const Document &targetsFrom(Revision has, TargetsFormat format);
    void push(const InstanceId &peer, Document document, Millis now);
    void followPeers();
    /** Takes back the places that an earlier process of the peer held. */
    void recordIncarnation(const InstanceId &peer, Incarnation sender);
    /** Takes back the places of gateways that are gone. */
    void releaseLostPlaces(Millis now);
    /** Records when this gateway learnt of changes of targets. */
    void recordChanges(Millis now);
    /** Whether a peer whose list is complete up to has is overdue to learn of the next change. */
    bool isLate(Revision has, Millis now) const;

    /** A change of targets, and when this gateway learnt of it. */
    struct KnownChange
    {
        Revision revision = 0;
        Millis at;
    };
    struct Pushed
    {
        Revision revision = 0;
        std::uint64_t era = 0;
        Millis at;
    };

    GatewayContext &context;
    SharedKnowledge &known;
    PeerUpdates &updates;
    PeerMesh mesh;
    std::vector<InstanceId> wanted;
    std::map<std::pair<InstanceId, std::string>, Pushed> pushed;
    Revision packedRevision = 0;
    std::string packedConfiguration;
    /** By the position from which each document leads to the current list, and its format. */
    std::map<std::pair<Revision, TargetsFormat>, Document> packedTargets;
    /** What each peer reads, by its last report. */
    std::map<InstanceId, TargetsFormat> formats;
    Revision packedTargetsAt = 0;
    Millis packedExpiryAt;
    std::deque<KnownChange> knownChanges;
    /** The digest of each peer's evacuations, by its last report. */
    std::map<InstanceId, std::uint64_t> evacuationDigests;
    std::map<InstanceId, Incarnation> incarnations;
    /** The peers whose links are down, and since when. */
    std::map<InstanceId, Millis> lostLinks;
    Millis nextRoundAt;
    Millis nextProofAskAt;
    std::uint64_t round = 0;
};

Revision SharedKnowledge::completeUpTo() const
{
    return std::min(this->targets.revision(), this->evacuations.completeUpTo());
}

GatewayPeers::GatewayPeers(GatewayContext &context,
                           Incarnation incarnation,
                           SharedKnowledge &known,
                           PeerUpdates &updates)
    : d(std::make_unique<Private>(context, incarnation, known, updates))
{
}

GatewayPeers::~GatewayPeers() = default;

void GatewayPeers::listen()
{
    const GatewaySettings &settings = this->d->context.settings;
    const bool isForwarded = !settings.peerListenAddress.empty();
    this->d->mesh.listen(parsePeerAddress(isForwarded ? settings.peerListenAddress : settings.peerAddress));
    this->d->followPeers();
}

std::size_t GatewayPeers::connectionCount() const
{
    return this->d->mesh.connectionCount();
}

std::uint64_t GatewayPeers::sentBytes() const
{
    return this->d->mesh.counters().totalSent;
}

void GatewayPeers::reportSoon()
{
    this->d->nextRoundAt = Millis{0};
}

void GatewayPeers::tick(Millis now)
{
    this->d->recordChanges(now);
    this->d->context.admissionClient.tick(now);
    this->d->askForProof(now);
    if (now >= this->d->nextRoundAt) {
        this->d->nextRoundAt = now + reportInterval;
        this->d->followPeers();
        this->d->sendReports(now);
        this->d->releaseLostPlaces(now);
    }
}

void GatewayPeers::Private::followPeers()
{
    std::vector<InstanceId> peers = this->context.peers.peers();
    if (peers == this->wanted) {
        return;
    }
    this->wanted = std::move(peers);
    PeerAddresses addresses;
    for (const InstanceId &peer : this->wanted) {
        try {
            addresses.emplace(peer, parsePeerAddress(peer.value));
        } catch (const Error &error) {
            this->context.log.warning(LogPart::Peers, "a peer has no address", {{"why", error.what()}});
        }
    }
    this->mesh.setPeers(addresses);
    this->context.log.info(LogPart::Peers, "peers changed", {{"count", std::to_string(this->wanted.size())}});
}

void GatewayPeers::Private::sendReports(Millis now)
{
    this->context.board.setOtherGateways(this->context.peers.members(now).size());
    for (const DueReport &due : this->context.peers.takeDueReports(now)) {
        GatewayReport report = this->reportFor(due.peer, now);
        report.wantsReply = due.wantsReply;
        this->mesh.send(due.peer, std::move(report));
    }
    this->context.board.beginRound();
    this->round += 1;
}

void GatewayPeers::Private::askForProof(Millis now)
{
    if (now < this->nextProofAskAt || !this->context.origins.awaitsProof(now)
        || this->context.duty.hasRecentStoreAnswer(now)) {
        return;
    }
    this->nextProofAskAt = now + proofAskInterval;
    const std::vector<InstanceId> hubs = this->context.peers.statedHubs();
    for (const InstanceId &peer : hubs.empty() ? this->wanted : hubs) {
        GatewayReport report = this->reportFor(peer, now);
        report.wantsReply = true;
        this->mesh.send(peer, std::move(report));
    }
}

GatewayReport GatewayPeers::Private::reportFor(const InstanceId &peer, Millis now)
{
    const PeerDirectory &directory = this->context.peers;
    GatewayReport report;
    report.sentAt = now;
    report.echo = directory.newestReportFrom(peer);
    report.configuration = this->context.revision();
    report.proofAge = this->context.proofAge(now);
    // A list with entries that may be gone is no proof, so the others read the store themselves.
    report.storeAge = this->known.targets.hasMissing() ? Millis::never() : this->context.duty.knowledgeAge(now);
    report.targets = revisionOf(this->known.targets.revision());
    report.storeEra = eraOf(this->known.targets.revision());
    report.leaving = this->context.stop.isBegun();
    report.isHub = directory.isHub(now);
    report.isResting = this->context.duty.mayFollowPeers(this->context.storeRole(now), now)
        || !this->context.duty.hasRecentStoreAnswer(now);
    report.isSettled = !report.isResting && this->known.targets.isSettled(now);
    report.strength = strengthOf(this->context.settings);
    report.dataCentre = this->context.settings.dataCentre;
    const bool isToHub = directory.statedHub(peer);
    const UpdateScope scope = !report.isHub ? UpdateScope::Own : isToHub ? UpdateScope::Group : UpdateScope::All;
    CrashNews news = this->context.quarantine.reportFor(peer, scope, now);
    report.crashes = std::move(news.requests);
    report.partCrashes = std::move(news.parts);
    report.placements = this->context.parts.takeUpdates(peer, scope);
    this->addEvacuations(report, peer);
    report.coldTargets = this->context.board.coldTargets(now);
    report.readsVersions = true;
    if (!report.isHub) {
        report.loads = this->context.board.ownLoads(now);
        report.members = directory.hasHubs(now) ? std::vector<GatewayMember>() : directory.members(now);
        return report;
    }
    // Hubs get the reports of each other's gateways from each other; a gateway gets all others' reports from its hub.
    std::vector<InstanceId> without = isToHub ? directory.statedHubs() : std::vector<InstanceId>();
    without.push_back(peer);
    report.loads = this->context.board.loads(without, now);
    if (report.echo == Millis{0} || this->round % roundsPerMemberList == 0) {
        report.members = directory.members(now);
    }
    return report;
}

void GatewayPeers::Private::addEvacuations(GatewayReport &report, const InstanceId &peer) const
{
    const EvacuationList &evacuations = this->known.evacuations;
    report.evacuationsDigest = evacuations.completeUpTo() > 0 ? evacuations.digest() : 0;
    const auto reported = this->evacuationDigests.find(peer);
    if (reported == this->evacuationDigests.end() || reported->second != evacuations.digest()) {
        report.evacuations = evacuations.states();
    }
}

bool GatewayPeers::Private::receiveEvacuations(const InstanceId &from, const GatewayReport &report, Revision at)
{
    this->evacuationDigests[from] = report.evacuationsDigest;
    if (!report.evacuations.empty()) {
        this->updates.evacuationsOffered(report.evacuations, from);
    }
    const bool isSame = report.evacuationsDigest == this->known.evacuations.digest();
    if (isSame) {
        // The list of targets of a peer that does not read the store itself may be ahead of its evacuations. Then they
        // are known, but a watch has to begin at an earlier position.
        constexpr Revision oldestPosition = 1;
        this->known.evacuations.setCompleteUpTo(report.isResting ? oldestPosition : at);
    }
    return isSame;
}

void GatewayPeers::Private::received(const InstanceId &from, Incarnation sender, PeerMessage message)
{
    this->recordIncarnation(from, sender);
    try {
        if (const auto *report = std::get_if<GatewayReport>(&message)) {
            this->receive(from, *report);
        } else if (const auto *push = std::get_if<DocumentPush>(&message)) {
            for (const Document &document : push->documents) {
                this->receive(document, from);
            }
        } else if (const auto *origin = std::get_if<GatewayStreamOrigin>(&message)) {
            this->send(this->context.origins.receive(from, *origin, Millis::monotonicNow()));
        } else if (const auto *asked = std::get_if<GatewayAdmissionRequest>(&message)) {
            this->mesh.send(from, decideAsOwner(this->context, from, *asked, Millis::monotonicNow()));
        } else if (const auto *reply = std::get_if<GatewayAdmissionReply>(&message)) {
            this->send(this->context.admissionClient.receive(from, *reply));
        } else if (const auto *release = std::get_if<GatewayAdmissionRelease>(&message)) {
            releaseAsOwner(this->context, from, *release, Millis::monotonicNow());
        }
    } catch (const Error &error) {
        this->context.log.warning(
            LogPart::Peers, "a peer's message cannot be used", {{"peer", from.value}, {"why", error.what()}});
    }
}

void GatewayPeers::Private::recordIncarnation(const InstanceId &peer, Incarnation sender)
{
    const auto [latest, isNew] = this->incarnations.try_emplace(peer, sender);
    if (!isNew && latest->second < sender) {
        // The earlier process ended with all of its requests.
        latest->second = sender;
        releaseAllAsOwner(this->context, peer);
    }
}

void GatewayPeers::Private::releaseLostPlaces(Millis now)
{
    for (const InstanceId &holder : placeHolders(this->context)) {
        const bool isSelf = holder == InstanceId{this->context.settings.peerAddress};
        // A gateway that asks before its first report is not known yet.
        const Millis silence = this->context.peers.silence(holder, now);
        const auto lost = this->lostLinks.find(holder);
        const bool isLinkDown = lost != this->lostLinks.end() && now - lost->second >= maxLinkOutage;
        const bool isSilent = silence != Millis::never() && silence >= maxMemberAge;
        if (!isSelf && (isLinkDown || isSilent)) {
            releaseAllAsOwner(this->context, holder);
        }
    }
}

void GatewayPeers::Private::receive(const InstanceId &from, const GatewayReport &report)
{
    const Millis now = Millis::monotonicNow();
    this->context.origins.recordContact(now);
    this->updates.eraOffered(report.storeEra, from);
    const Revision targets = this->positionOf(report.storeEra, report.targets);
    this->context.board.recordPeerCold(report.coldTargets, now);
    const bool hasSameEvacuations = this->receiveEvacuations(from, report, targets);
    this->context.peers.recordReport(from, report, now);
    this->formats[from] = report.readsVersions ? TargetsFormat::Versioned : TargetsFormat::Plain;
    const Millis echo = this->context.peers.ownEcho(report.echo, now);
    this->context.freshness.recordPeerProof(report.configuration, report.proofAge, echo);
    const bool isHub = this->context.peers.isHub(now);
    if (report.isHub && !isHub) {
        // Each hub reports the sums of all gateways, so the sums of a second hub would count everything twice.
        this->context.board.forgetOtherPeers(from);
    }
    this->context.board.updatePeerLoads(from, report.loads, now);
    const UpdateScope scope = !isHub ? UpdateScope::Own : report.isHub ? UpdateScope::All : UpdateScope::Group;
    for (const GatewayPlacement &placement : report.placements) {
        this->context.parts.recordPeerPlacement(from, placement.part, placement.target, now, scope);
    }
    const CrashNews news{report.crashes, report.partCrashes};
    this->context.logRefused(this->context.quarantine.mergeReport(from, news, now, scope), from.value);
    this->context.quarantine.recordPeerState(from, this->context.peers.hasReached(from));
    const bool comesBefore = this->context.peers.comesBefore(from, now);
    // What the peer read of the store counts here only if all of it has arrived.
    const Millis storeAge = hasSameEvacuations ? report.storeAge : Millis::never();
    this->context.duty.recordPeerReport({storeAge, echo, report.isHub, !report.isResting, comesBefore, targets}, now);
    if (report.isSettled) {
        this->known.targets.confirmSettledByPeer(targets, echo);
    }
    this->pushTo(from, report, targets, now);
    if (this->context.peers.mustReply(from, report, now)) {
        GatewayReport reply = this->reportFor(from, now);
        reply.isReply = true;
        if (!reply.isHub) {
            reply.members = this->context.peers.members(now);
        }
        this->mesh.send(from, std::move(reply));
    }
}

Revision GatewayPeers::Private::positionOf(std::uint64_t era, Revision revision) const
{
    if (revision == 0) {
        return 0;
    }
    return storePosition(era != 0 ? era : eraOf(this->known.targets.revision()), revision);
}

void GatewayPeers::Private::pushTo(const InstanceId &peer, const GatewayReport &report, Revision has, Millis now)
{
    if (report.configuration < this->known.configurationRevision) {
        if (this->packedRevision != this->known.configurationRevision) {
            this->packedRevision = this->known.configurationRevision;
            this->packedConfiguration = packed(this->known.configuration);
        }
        this->push(peer, {configurationDocument, this->packedRevision, this->packedConfiguration, false}, now);
    }
    // A gateway that starts while the store is unavailable has no list at all; an old one is better than none.
    const bool hasNone = has == 0 && !this->known.targets.empty();
    // A gateway that reads the store itself learns of changes by itself, unless its own calls are not answered.
    const bool counts = report.isResting || this->isLate(has, now);
    if (hasNone || (counts && this->context.duty.mayShareKnowledge(now))) {
        this->pushTargets(peer, has, now);
    }
}

void GatewayPeers::Private::recordChanges(Millis now)
{
    constexpr std::size_t mostChanges = 64;
    const Revision lastChange = this->known.targets.lastChangeRevision();
    if (this->knownChanges.empty() || this->knownChanges.back().revision != lastChange) {
        this->knownChanges.push_back({lastChange, now});
    }
    if (this->knownChanges.size() > mostChanges) {
        this->knownChanges.pop_front();
    }
}

bool GatewayPeers::Private::isLate(Revision has, Millis now) const
{
    const auto next = std::find_if(this->knownChanges.begin(),
                                   this->knownChanges.end(),
                                   [has](const KnownChange &each) { return each.revision > has; });
    return next != this->knownChanges.end() && now - next->at >= storeTimesOf(this->context.settings).overdueAfter;
}

void GatewayPeers::Private::pushTargets(const InstanceId &peer, Revision has, Millis now)
{
    const TargetList &list = this->known.targets;
    const Millis toldAt = this->pushed[{peer, targetChangesDocument}].at;
    const bool isBehind = has < list.lastChangeRevision();
    // Entries that did not come back after an outage are removed without a change in the store.
    const bool lacksExpiry = has == list.revision() && list.lastExpiryAt() > toldAt;
    // An entry that is only kept because it may come back must not count as one of the current revision.
    const bool isUncertain = list.hasMissing() && has > 0;
    if (isUncertain || (!isBehind && !lacksExpiry)) {
        return;
    }
    this->push(peer, this->targetsFrom(has, this->formats[peer]), now);
}

const Document &GatewayPeers::Private::targetsFrom(Revision has, TargetsFormat format)
{
    const TargetList &list = this->known.targets;
    if (this->packedTargetsAt != list.shareableRevision() || this->packedExpiryAt != list.lastExpiryAt()) {
        this->packedTargetsAt = list.shareableRevision();
        this->packedExpiryAt = list.lastExpiryAt();
        this->packedTargets.clear();
    }
    const auto [entry, isNew] = this->packedTargets.try_emplace({has, format});
    if (isNew) {
        const std::optional<TargetChanges> changes = list.findChangesSince(has);
        // Changes never lead from one era into another.
        const std::string text = changes
            ? toText({revisionOf(changes->from), revisionOf(changes->to), changes->written, changes->gone}, format)
            : toText(list.targets(), format);
        const Revision at = list.shareableRevision();
        entry->second
            = {changes ? targetChangesDocument : targetsDocument, revisionOf(at), packed(text), false, eraOf(at)};
    }
    return entry->second;
}

void GatewayPeers::Private::push(const InstanceId &peer, Document document, Millis now)
{
    Pushed &last = this->pushed[{peer, document.name}];
    const bool isSame = last.revision == document.revision && last.era == document.era;
    if (last.revision != 0 && now - last.at < (isSame ? resendInterval : newerPushInterval)) {
        return;
    }
    last = {document.revision, document.era, now};
    this->mesh.send(peer, DocumentPush{{std::move(document)}, 0});
}

void GatewayPeers::Private::receive(const Document &document, const InstanceId &from)
{
    if (document.name == configurationDocument && document.revision > this->context.revision()) {
        this->updates.configurationOffered(unpacked(document.body, "gateway " + from.value), document.revision);
        return;
    }
    const std::string sender = "gateway " + from.value;
    const Revision has = this->known.targets.revision();
    const Revision at = this->positionOf(document.era, document.revision);
    if (document.name == targetsDocument && at > has) {
        this->updates.targetsOffered(parseTargetsText(unpacked(document.body, sender), sender), at);
    } else if (document.name == targetChangesDocument && at >= has) {
        TargetChanges changes = parseTargetChanges(unpacked(document.body, sender), sender);
        changes.from = this->positionOf(document.era, changes.from);
        changes.to = at;
        this->updates.targetChangesOffered(changes);
    }
}

void GatewayPeers::Private::linkChanged(const InstanceId &peer, Incarnation incarnation, bool up)
{
    this->context.log.info(LogPart::Peers,
                           up ? "peer regained" : "peer lost",
                           {{"peer", peer.value}, {"incarnation", std::to_string(incarnation)}});
    const Millis now = Millis::monotonicNow();
    this->context.engineOwner.setLost(peer, !up);
    if (up) {
        this->lostLinks.erase(peer);
        return;
    }
    this->lostLinks[peer] = now;
    this->context.admissionClient.recordLinkLost(peer, now);
    // A hub's report is that of many gateways, which have not ended with it.
    if (!this->context.peers.statedHub(peer)) {
        this->context.board.markPeerLost(peer, now);
    }
}

} // namespace Sequoiausher
