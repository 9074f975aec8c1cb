#include "sequoiausher/transport/gateway/gatewaypeers.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/gateway/targetstext.h"
#include "sequoiausher/transport/peers/peermesh.h"

#include <map>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr const char *configurationDocument = "gateway/configuration";
constexpr const char *targetsDocument = "gateway/targets";
/** A peer that is behind is sent the same revision again only after so long: the first may be on its way. */
constexpr Millis pushInterval{600};
/** A gateway whose store is silent for so long learns its targets from peers, and one with a younger word gives them.
 */
constexpr Millis storeIsSilent{1500};
constexpr Millis storeIsThere{1400};
/** A link on which nothing is heard for so long has gone silent; reports come several times in it. */
constexpr Millis linkSilence{1500};
constexpr Millis longestRedial{800};

LinkSettings linkSettings(const GatewaySettings &settings, Incarnation incarnation)
{
    LinkSettings links;
    links.self = InstanceId{settings.peerAddress};
    links.incarnation = incarnation;
    links.dataCentre = settings.dataCentre;
    links.silence = linkSilence;
    links.redialMost = longestRedial;
    links.messageLife = linkSilence;
    links.seed = incarnation;
    return links;
}

} // namespace

class GatewayPeers::Private : public PeerListener
{
public:
    Private(GatewayContext &shared, Incarnation incarnation, FirstHand &knows, PeerNews &hears)
        : context(shared)
        , known(knows)
        , news(hears)
        , mesh(linkSettings(shared.settings, incarnation), *this)
    {
    }

    void received(const InstanceId &from, Incarnation incarnation, PeerMessage message) override;
    void linkChanged(const InstanceId &peer, Incarnation incarnation, bool up) override;
    void receive(const InstanceId &from, const GatewayReport &report);
    void receive(const Document &document, const InstanceId &from);
    void sendReports(Millis now);
    void pushTo(const InstanceId &peer, const GatewayReport &report, Millis now);
    void push(const InstanceId &peer, Document document, Millis now);
    Millis storeAge(Millis now) const;
    void followPeers();

    struct Pushed
    {
        Revision revision = 0;
        Millis at;
    };

    GatewayContext &context;
    FirstHand &known;
    PeerNews &news;
    PeerMesh mesh;
    std::vector<InstanceId> wanted;
    std::map<std::pair<InstanceId, std::string>, Pushed> pushed;
    Millis nextRoundAt;
};

GatewayPeers::GatewayPeers(GatewayContext &context, Incarnation incarnation, FirstHand &known, PeerNews &news)
    : d(std::make_unique<Private>(context, incarnation, known, news))
{
}

GatewayPeers::~GatewayPeers() = default;

void GatewayPeers::listen()
{
    this->d->mesh.listen(parsePeerAddress(this->d->context.settings.peerAddress));
    this->d->followPeers();
}

std::uint64_t GatewayPeers::sentBytes() const
{
    return this->d->mesh.counters().totalSent;
}

void GatewayPeers::tick(Millis now)
{
    if (now >= this->d->nextRoundAt) {
        this->d->nextRoundAt = now + reportInterval;
        this->d->followPeers();
        this->d->sendReports(now);
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
        addresses.emplace(peer, parsePeerAddress(peer.value));
    }
    this->mesh.setPeers(addresses);
    this->context.log.info(LogPart::Peers, "peers changed", {{"count", std::to_string(this->wanted.size())}});
}

Millis GatewayPeers::Private::storeAge(Millis now) const
{
    return this->known.storeAnsweredAt == Millis{0} ? Millis::never() : now - this->known.storeAnsweredAt;
}

void GatewayPeers::Private::sendReports(Millis now)
{
    GatewayReport report;
    report.sentAt = now;
    report.configuration = this->context.revision();
    report.proofAge = this->context.proofAge(now);
    report.storeAge = this->storeAge(now);
    report.targets = this->known.targetsRevision;
    report.members = this->context.peers.members(now);
    report.loads = this->context.board.takeLoads(now);
    report.placements = this->context.parts.takeNews();
    report.leaving = this->context.isStopping;
    for (const InstanceId &peer : this->context.peers.due(now)) {
        report.echo = this->context.peers.newestFrom(peer);
        this->mesh.send(peer, report);
    }
}

void GatewayPeers::Private::received(const InstanceId &from, Incarnation /*incarnation*/, PeerMessage message)
{
    try {
        if (const auto *report = std::get_if<GatewayReport>(&message)) {
            this->receive(from, *report);
        } else if (const auto *push = std::get_if<DocumentPush>(&message)) {
            for (const Document &document : push->documents) {
                this->receive(document, from);
            }
        }
    } catch (const Error &error) {
        this->context.log.warning(
            LogPart::Peers, "a peer's message cannot be used", {{"peer", from.value}, {"why", error.what()}});
    }
}

void GatewayPeers::Private::receive(const InstanceId &from, const GatewayReport &report)
{
    const Millis now = Millis::monotonicNow();
    for (const InstanceId &member : report.members) {
        // A name that is no address would stop the next round.
        parsePeerAddress(member.value);
    }
    this->context.peers.heardFrom(from, report, now);
    this->context.freshness.vouched(report.configuration, report.proofAge, report.echo);
    this->context.board.peerReported(from, report.loads, now);
    for (const GatewayPlacement &placement : report.placements) {
        this->context.parts.heard(placement.part, placement.target, now);
    }
    this->pushTo(from, report, now);
}

void GatewayPeers::Private::pushTo(const InstanceId &peer, const GatewayReport &report, Millis now)
{
    if (report.configuration < this->known.configurationRevision) {
        this->push(
            peer, {configurationDocument, this->known.configurationRevision, this->known.configuration, false}, now);
    }
    const bool needsTargets = report.storeAge > storeIsSilent && report.targets < this->known.targetsChangedAt;
    if (needsTargets && this->storeAge(now) < storeIsThere) {
        this->push(peer, {targetsDocument, this->known.targetsRevision, toText(this->known.targets), false}, now);
    }
}

void GatewayPeers::Private::push(const InstanceId &peer, Document document, Millis now)
{
    Pushed &last = this->pushed[{peer, document.name}];
    if (last.revision == document.revision && now - last.at < pushInterval) {
        return;
    }
    last = {document.revision, now};
    this->mesh.send(peer, DocumentPush{{std::move(document)}, 0});
}

void GatewayPeers::Private::receive(const Document &document, const InstanceId &from)
{
    if (document.name == configurationDocument && document.revision > this->context.revision()) {
        this->news.configurationOffered(document.body, document.revision);
    } else if (document.name == targetsDocument && this->storeAge(Millis::monotonicNow()) > storeIsSilent
               && document.revision > this->known.targetsRevision) {
        this->news.targetsOffered(parseTargetsText(document.body, "gateway " + from.value), document.revision);
    }
}

void GatewayPeers::Private::linkChanged(const InstanceId &peer, Incarnation incarnation, bool up)
{
    this->context.log.info(LogPart::Peers,
                           up ? "peer regained" : "peer lost",
                           {{"peer", peer.value}, {"incarnation", std::to_string(incarnation)}});
}

} // namespace Sequoiausher
