#include "sequoiausher/protocol/codec/framewriter.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/codec/generated/peerwire.h"
#include "sequoiausher/protocol/codec/messagekind.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace Sequoiausher::Internal {

namespace {

using flatbuffers::Offset;

constexpr std::size_t longestName = std::numeric_limits<std::uint8_t>::max();
constexpr std::size_t mostIndexes = std::numeric_limits<std::uint16_t>::max();

template<typename Tag>
Wire::Id wireId(const Number128<Tag> &number)
{
    return {number.high, number.low};
}

template<typename Enum>
std::uint8_t wireEnum(Enum value)
{
    return static_cast<std::uint8_t>(value);
}

// Spans travel in 32 bits: the largest stands for Millis::never(), so a longer one (24 days) becomes that.
std::int32_t wireSpan(Millis span)
{
    using Limits = std::numeric_limits<std::int32_t>;
    const std::int64_t count = std::clamp<std::int64_t>(span.count, Limits::min(), Limits::max());
    return static_cast<std::int32_t>(count);
}

[[noreturn]] void refuse(const std::string &reason)
{
    throw Error(Step::Write, "peer frame", reason);
}

} // namespace

class FrameWriter::Private
{
public:
    void add(const ClaimRequest &m);
    void add(const ClaimVote &m);
    void add(const ClaimWithdraw &m);
    void add(const ClaimPull &m);
    void add(const ClaimPage &m);
    void add(const ReserveRequest &m);
    void add(const ReserveReply &m);
    void add(const Release &m);
    void add(const HoldingsReport &m);
    void add(const Probe &m);
    void add(const ProbeReply &m);
    void add(const IndirectProbe &m);
    void add(const DocumentPush &m);
    void add(const DocumentDigest &m);
    void add(const DocumentPull &m);
    void add(const AttachRequest &m);
    void add(const AttachReply &m);
    void add(const AttachChunk &m);
    void add(const AttachEnd &m);
    void add(const AttachCancel &m);
    void add(const HoldingsDigest &m);
    void add(const HoldingsAnswer &m);
    void add(const AnswerPage &m);
    void add(const AnswerPageAck &m);
    void add(const GatewayReport &m);
    void add(const GatewayStreamOrigin &m);
    void add(const GatewayAdmissionRequest &m);
    void add(const GatewayAdmissionReply &m);
    void add(const GatewayAdmissionRelease &m);

    std::string finish();

    std::vector<std::uint8_t> order;

private:
    std::uint16_t index(const std::string &name);
    bool needsOrder() const;
    std::vector<Wire::OrganisationDemand> demands(const std::vector<OrganisationDemand> &given);
    Offset<Wire::Gossip> gossip(const Gossip &gossip);
    template<typename Item>
    Offset<flatbuffers::Vector<const Item *>> structs(const std::vector<Item> &items);
    template<typename Item>
    Offset<flatbuffers::Vector<Offset<Item>>> tables(const std::vector<Offset<Item>> &items);
    template<typename Item>
    Offset<flatbuffers::Vector<Item>> scalars(const std::vector<Item> &items);
    Offset<flatbuffers::Vector<std::uint8_t>> bytes(const std::string &text);

    flatbuffers::FlatBufferBuilder builder;
    std::unordered_map<std::string, std::uint16_t> indexes;
    std::string names;
    std::vector<std::uint8_t> nameLengths;
    std::vector<Wire::Refusal> refusals;
    std::vector<std::uint16_t> excluded;
    /** Parallel to reserveRequests. */
    std::vector<std::uint64_t> prefixHashes;
    std::vector<Wire::ClaimRequest> claimRequests;
    std::vector<Wire::ClaimVote> claimVotes;
    std::vector<Wire::ClaimWithdraw> claimWithdraws;
    std::vector<Wire::ClaimPull> claimPulls;
    std::vector<Offset<Wire::ClaimPage>> claimPages;
    std::vector<Wire::ReserveRequest> reserveRequests;
    std::vector<Wire::ReserveReply> reserveReplies;
    std::vector<Wire::Release> releases;
    std::vector<Offset<Wire::HoldingsReport>> holdingsReports;
    std::vector<Offset<Wire::Probe>> probes;
    std::vector<Offset<Wire::ProbeReply>> probeReplies;
    std::vector<Wire::IndirectProbe> indirectProbes;
    std::vector<Offset<Wire::DocumentPush>> documentPushes;
    std::vector<Offset<Wire::DocumentDigest>> documentDigests;
    std::vector<Offset<Wire::DocumentPull>> documentPulls;
    std::vector<Wire::AttachRequest> attachRequests;
    std::vector<Offset<Wire::AttachReply>> attachReplies;
    std::vector<Offset<Wire::AttachChunk>> attachChunks;
    std::vector<Offset<Wire::AttachEnd>> attachEnds;
    std::vector<Wire::AttachCancel> attachCancels;
    std::vector<Wire::HoldingsDigest> holdingsDigests;
    std::vector<Wire::HoldingsAnswer> holdingsAnswers;
    std::vector<Offset<Wire::AnswerPage>> answerPages;
    std::vector<Wire::AnswerPageAck> answerPageAcks;
    std::vector<Offset<Wire::GatewayReport>> gatewayReports;
    std::vector<Wire::GatewayStreamOrigin> gatewayStreamOrigins;
    std::vector<Wire::GatewayAdmissionRequest> gatewayAdmissionRequests;
    std::vector<Wire::GatewayAdmissionReply> gatewayAdmissionReplies;
    std::vector<Wire::GatewayAdmissionRelease> gatewayAdmissionReleases;
    std::vector<std::uint16_t> admissionExcluded;
    std::vector<Wire::AdmissionPart> admissionParts;
};

std::uint16_t FrameWriter::Private::index(const std::string &name)
{
    if (name.empty()) {
        return 0;
    }
    const auto known = this->indexes.find(name);
    if (known != this->indexes.end()) {
        return known->second;
    }
    if (name.size() > longestName) {
        refuse("a name is longer than 255 bytes: " + name.substr(0, 32) + "...");
    }
    if (this->nameLengths.size() >= mostIndexes) {
        refuse("more than 65535 names");
    }
    this->names += name;
    this->nameLengths.push_back(static_cast<std::uint8_t>(name.size()));
    const auto fresh = static_cast<std::uint16_t>(this->nameLengths.size());
    this->indexes.emplace(name, fresh);
    return fresh;
}

// An empty vector is left out: a null offset costs no byte.
template<typename Item>
Offset<flatbuffers::Vector<const Item *>> FrameWriter::Private::structs(const std::vector<Item> &items)
{
    return items.empty() ? 0 : this->builder.CreateVectorOfStructs(items);
}

template<typename Item>
Offset<flatbuffers::Vector<Offset<Item>>> FrameWriter::Private::tables(const std::vector<Offset<Item>> &items)
{
    return items.empty() ? 0 : this->builder.CreateVector(items);
}

template<typename Item>
Offset<flatbuffers::Vector<Item>> FrameWriter::Private::scalars(const std::vector<Item> &items)
{
    return items.empty() ? 0 : this->builder.CreateVector(items);
}

Offset<flatbuffers::Vector<std::uint8_t>> FrameWriter::Private::bytes(const std::string &text)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(text.data());
    return text.empty() ? 0 : this->builder.CreateVector(data, text.size());
}

void FrameWriter::Private::add(const ClaimRequest &m)
{
    this->claimRequests.emplace_back(wireId(m.key), wireId(m.attempt), m.bodyDigest, m.round);
}

void FrameWriter::Private::add(const ClaimVote &m)
{
    const bool refuses = m.heldBy != RequestId{} || m.retryAfter != Millis{0};
    this->claimVotes.emplace_back(
        wireId(m.key), wireId(m.attempt), m.round, this->index(m.holder.value), wireEnum(m.verdict), refuses);
    if (refuses) {
        this->refusals.emplace_back(wireId(m.heldBy), wireSpan(m.retryAfter));
    }
}

void FrameWriter::Private::add(const ClaimWithdraw &m)
{
    this->claimWithdraws.emplace_back(wireId(m.key), wireId(m.attempt), m.round);
}

void FrameWriter::Private::add(const ClaimPull &m)
{
    this->claimPulls.emplace_back(m.pull, wireId(m.from));
}

void FrameWriter::Private::add(const ClaimPage &m)
{
    std::vector<Wire::ClaimRecord> records;
    records.reserve(m.records.size());
    for (const ClaimRecord &r : m.records) {
        records.emplace_back(
            wireId(r.key), wireId(r.attempt), r.bodyDigest, r.round, wireSpan(r.age), this->index(r.holder.value));
    }
    const Wire::Id next = wireId(m.next);
    this->claimPages.push_back(Wire::CreateClaimPage(
        this->builder, m.pull, m.giverAbstains, m.giverLearns, m.last, &next, this->structs(records)));
}

void FrameWriter::Private::add(const ReserveRequest &m)
{
    if (m.excluded.size() > mostIndexes) {
        refuse("more than 65535 targets excluded");
    }
    this->reserveRequests.emplace_back(wireId(m.request),
                                       m.chatHash,
                                       m.shard,
                                       m.boundPercent,
                                       this->index(m.pool.value),
                                       static_cast<std::uint16_t>(m.excluded.size()),
                                       wireEnum(m.policy),
                                       wireEnum(m.requestClass),
                                       m.organisation);
    this->prefixHashes.push_back(m.prefixHash);
    for (const TargetId &target : m.excluded) {
        this->excluded.push_back(this->index(target.value));
    }
}

void FrameWriter::Private::add(const ReserveReply &m)
{
    // No answer names both, so the owner takes the target's place; routers that know no owner there look away from it.
    const std::string &name = m.verdict == ReserveVerdict::NotOwner ? m.owner.value : m.target.value;
    this->reserveReplies.emplace_back(
        wireId(m.request), wireSpan(m.retryAfter), this->index(name), wireEnum(m.verdict));
}

void FrameWriter::Private::add(const Release &m)
{
    this->releases.emplace_back(wireId(m.request), m.shard, this->index(m.pool.value));
}

void FrameWriter::Private::add(const HoldingsReport &m)
{
    // Two vectors in place of one of structs: 18 bytes for a holding, where alignment would make it 24.
    std::vector<Wire::Id> requests;
    std::vector<std::uint16_t> targets;
    for (const Holding &holding : m.holdings) {
        requests.push_back(wireId(holding.request));
        targets.push_back(this->index(holding.target.value));
    }
    const auto requestsAt = this->structs(requests);
    const auto targetsAt = this->scalars(targets);
    this->holdingsReports.push_back(Wire::CreateHoldingsReport(
        this->builder, this->index(m.pool.value), m.shard, m.sequence, requestsAt, targetsAt, m.wantsAnswer));
}

std::vector<Wire::OrganisationDemand> FrameWriter::Private::demands(const std::vector<OrganisationDemand> &given)
{
    std::vector<Wire::OrganisationDemand> demands;
    for (const OrganisationDemand &demand : given) {
        demands.emplace_back(demand.perSecond, wireSpan(demand.age), this->index(demand.organisation.value));
    }
    return demands;
}

Offset<Wire::Gossip> FrameWriter::Private::gossip(const Gossip &gossip)
{
    std::vector<Wire::LifeNews> instances;
    for (const InstanceNews &news : gossip.instances) {
        instances.emplace_back(news.life.incarnation, this->index(news.instance.value), wireEnum(news.life.state));
    }
    std::vector<Wire::LifeNews> targets;
    for (const TargetNews &news : gossip.targets) {
        targets.emplace_back(news.life.incarnation, this->index(news.target.value), wireEnum(news.life.state));
    }
    std::vector<Wire::ShardSum> sums;
    for (const ShardSum &sum : gossip.sums) {
        sums.emplace_back(sum.shard, sum.inFlight, sum.targets, wireSpan(sum.age), this->index(sum.pool.value));
    }
    std::vector<Wire::ReachNews> reach;
    for (const ReachNews &news : gossip.reach) {
        reach.emplace_back(news.incarnation, news.refutation, this->index(news.instance.value), news.suspected);
    }
    const auto demands = this->demands(gossip.demands);
    const auto fleetDemands = this->demands(gossip.fleetDemands);
    const auto instancesAt = this->structs(instances);
    const auto targetsAt = this->structs(targets);
    const auto sumsAt = this->structs(sums);
    const auto reachAt = this->structs(reach);
    const auto demandsAt = this->structs(demands);
    const auto fleetDemandsAt = this->structs(fleetDemands);
    return Wire::CreateGossip(this->builder,
                              instancesAt,
                              targetsAt,
                              sumsAt,
                              reachAt,
                              gossip.documentsDigest,
                              gossip.highestRevision,
                              wireSpan(gossip.serviceAge),
                              demandsAt,
                              fleetDemandsAt);
}

void FrameWriter::Private::add(const Probe &m)
{
    const auto gossipAt = this->gossip(m.gossip);
    this->probes.push_back(Wire::CreateProbe(this->builder, m.sequence, gossipAt));
}

void FrameWriter::Private::add(const ProbeReply &m)
{
    const auto gossipAt = this->gossip(m.gossip);
    const std::uint16_t about = this->index(m.about.value);
    this->probeReplies.push_back(Wire::CreateProbeReply(this->builder, m.sequence, about, gossipAt));
}

void FrameWriter::Private::add(const IndirectProbe &m)
{
    this->indirectProbes.emplace_back(m.sequence, this->index(m.suspect.value));
}

void FrameWriter::Private::add(const DocumentPush &m)
{
    std::vector<Offset<Wire::Document>> documents;
    for (const Document &document : m.documents) {
        const auto name = this->builder.CreateString(document.name);
        const auto body = this->bytes(document.body);
        documents.push_back(
            Wire::CreateDocument(this->builder, name, document.revision, body, document.deleted, document.era));
    }
    const auto documentsAt = this->tables(documents);
    this->documentPushes.push_back(Wire::CreateDocumentPush(this->builder, documentsAt, m.hops));
}

void FrameWriter::Private::add(const DocumentDigest &m)
{
    std::vector<Offset<Wire::DocumentVersion>> versions;
    for (const DocumentVersion &version : m.versions) {
        const auto name = this->builder.CreateString(version.name);
        versions.push_back(Wire::CreateDocumentVersion(this->builder, name, version.revision));
    }
    const auto versionsAt = this->tables(versions);
    const auto bucketsAt = this->scalars(m.buckets);
    const auto coveredAt = this->scalars(m.covered);
    this->documentDigests.push_back(Wire::CreateDocumentDigest(
        this->builder, versionsAt, m.wantsAnswer, m.exchange, bucketsAt, coveredAt, m.complete));
}

void FrameWriter::Private::add(const DocumentPull &m)
{
    const auto wanted = m.names.empty() ? 0 : this->builder.CreateVectorOfStrings(m.names);
    this->documentPulls.push_back(Wire::CreateDocumentPull(this->builder, wanted));
}

void FrameWriter::Private::add(const AttachRequest &m)
{
    this->attachRequests.emplace_back(wireId(m.attachment), wireId(m.key), wireId(m.attempt));
}

void FrameWriter::Private::add(const AttachReply &m)
{
    const Wire::Id attachment = wireId(m.attachment);
    const auto type = this->builder.CreateString(m.contentType);
    this->attachReplies.push_back(
        Wire::CreateAttachReply(this->builder, &attachment, wireEnum(m.verdict), m.status, type));
}

void FrameWriter::Private::add(const AttachChunk &m)
{
    const Wire::Id attachment = wireId(m.attachment);
    const auto body = this->bytes(m.bytes);
    this->attachChunks.push_back(Wire::CreateAttachChunk(this->builder, &attachment, m.offset, body));
}

void FrameWriter::Private::add(const AttachEnd &m)
{
    const Wire::Id attachment = wireId(m.attachment);
    const auto reason = this->builder.CreateString(m.reason);
    this->attachEnds.push_back(Wire::CreateAttachEnd(this->builder, &attachment, m.complete, reason, m.length));
}

void FrameWriter::Private::add(const AttachCancel &m)
{
    this->attachCancels.emplace_back(wireId(m.attachment));
}

void FrameWriter::Private::add(const HoldingsDigest &m)
{
    this->holdingsDigests.emplace_back(m.sequence, m.digest, m.count, m.shard, this->index(m.pool.value));
}

void FrameWriter::Private::add(const HoldingsAnswer &m)
{
    this->holdingsAnswers.emplace_back(m.shard, this->index(m.pool.value), m.wantsReport);
}

void FrameWriter::Private::add(const AnswerPage &m)
{
    std::vector<Offset<Wire::AnswerFragment>> fragments;
    for (const AnswerFragment &fragment : m.fragments) {
        const KeptAnswer &answer = fragment.answer;
        const Wire::Id attempt = wireId(answer.attempt);
        const Wire::Id key = wireId(answer.key);
        const auto type = this->builder.CreateString(answer.head.contentType);
        const auto body = this->bytes(fragment.bytes);
        fragments.push_back(Wire::CreateAnswerFragment(this->builder,
                                                       &attempt,
                                                       &key,
                                                       answer.bodyDigest,
                                                       answer.head.status,
                                                       type,
                                                       answer.length,
                                                       answer.digest,
                                                       wireSpan(answer.age),
                                                       fragment.offset,
                                                       body));
    }
    this->answerPages.push_back(Wire::CreateAnswerPage(this->builder, m.handover, m.sequence, this->tables(fragments)));
}

void FrameWriter::Private::add(const AnswerPageAck &m)
{
    this->answerPageAcks.emplace_back(m.handover, m.sequence);
}

void FrameWriter::Private::add(const GatewayReport &m)
{
    std::vector<Wire::GatewayMember> members;
    std::vector<std::uint16_t> memberDataCentres;
    for (const GatewayMember &member : m.members) {
        members.emplace_back(wireSpan(member.age), this->index(member.instance.value), member.strength);
        memberDataCentres.push_back(this->index(member.dataCentre.value));
    }
    std::vector<Wire::GatewayLoad> loads;
    for (const GatewayLoad &load : m.loads) {
        loads.emplace_back(load.inFlight, this->index(load.target.value), load.suspected, load.misdirected);
    }
    std::vector<Wire::GatewayPlacement> placements;
    for (const GatewayPlacement &placement : m.placements) {
        placements.emplace_back(placement.part, this->index(placement.target.value));
    }
    const auto wireCrashes = [this](const std::vector<GatewayCrash> &all) {
        std::vector<Wire::GatewayCrash> crashes;
        for (const GatewayCrash &crash : all) {
            crashes.emplace_back(crash.caller,
                                 crash.content,
                                 wireSpan(crash.age),
                                 wireSpan(crash.ranFor),
                                 this->index(crash.target.value));
        }
        return crashes;
    };
    std::vector<Wire::GatewayEvacuation> evacuations;
    for (const GatewayEvacuation &evacuation : m.evacuations) {
        evacuations.emplace_back(
            evacuation.changedAt, this->index(evacuation.dataCentre.value), evacuation.isEvacuated);
    }
    const auto crashesAt = this->structs(wireCrashes(m.crashes));
    const auto partCrashesAt = this->structs(wireCrashes(m.partCrashes));
    std::vector<Wire::GatewayColdTarget> coldTargets;
    for (const GatewayColdTarget &cold : m.coldTargets) {
        coldTargets.emplace_back(wireSpan(cold.remaining), this->index(cold.target.value));
    }
    const auto evacuationsAt = this->structs(evacuations);
    const auto coldTargetsAt = this->structs(coldTargets);
    const auto membersAt = this->structs(members);
    const auto placementsAt = this->structs(placements);
    const auto loadsAt = this->structs(loads);
    const auto dataCentreAt = this->builder.CreateString(m.dataCentre.value);
    const auto memberDataCentresAt = this->builder.CreateVector(memberDataCentres);
    this->gatewayReports.push_back(Wire::CreateGatewayReport(this->builder,
                                                             static_cast<std::uint64_t>(m.sentAt.count),
                                                             static_cast<std::uint64_t>(m.echo.count),
                                                             m.configuration,
                                                             wireSpan(m.proofAge),
                                                             m.targets,
                                                             membersAt,
                                                             loadsAt,
                                                             m.leaving,
                                                             wireSpan(m.storeAge),
                                                             placementsAt,
                                                             m.wantsReply,
                                                             m.isResting,
                                                             m.isHub,
                                                             m.isReply,
                                                             m.strength,
                                                             dataCentreAt,
                                                             memberDataCentresAt,
                                                             m.isSettled,
                                                             m.storeEra,
                                                             crashesAt,
                                                             m.evacuationsDigest,
                                                             evacuationsAt,
                                                             coldTargetsAt,
                                                             m.readsVersions,
                                                             partCrashesAt));
}

void FrameWriter::Private::add(const GatewayStreamOrigin &m)
{
    this->gatewayStreamOrigins.emplace_back(m.key.caller,
                                            m.key.attempt,
                                            wireSpan(m.span),
                                            this->index(m.finding.service.value),
                                            this->index(m.finding.softwareVersion),
                                            wireEnum(m.purpose),
                                            wireEnum(m.finding.kind));
}

void FrameWriter::Private::add(const GatewayAdmissionRequest &m)
{
    if (m.excluded.size() > mostIndexes || m.prompt.parts.size() > mostIndexes) {
        refuse("more than 65535 targets excluded, or parts of a prompt");
    }
    for (const TargetId &target : m.excluded) {
        this->admissionExcluded.push_back(this->index(target.value));
    }
    for (const AdmissionPart &part : m.prompt.parts) {
        this->admissionParts.emplace_back(part.hash, part.tokens);
    }
    this->gatewayAdmissionRequests.emplace_back(m.id,
                                                m.hedgeOf,
                                                m.organisation,
                                                wireSpan(m.aim),
                                                wireSpan(m.waited),
                                                wireSpan(m.timeLeft),
                                                wireSpan(m.hedgeWindow),
                                                m.prompt.ownTokens,
                                                this->index(m.service.value),
                                                static_cast<std::uint16_t>(m.excluded.size()),
                                                m.hedgePercent,
                                                static_cast<std::uint16_t>(m.prompt.parts.size()),
                                                m.prompt.boundPercent,
                                                wireEnum(m.requestClass),
                                                m.prompt.priority,
                                                m.prompt.isShortestFirst,
                                                m.prompt.mayCopy);
}

void FrameWriter::Private::add(const GatewayAdmissionReply &m)
{
    this->gatewayAdmissionReplies.emplace_back(m.id,
                                               wireSpan(m.retryAfter),
                                               wireSpan(m.hedgeAfter),
                                               m.tokensToRead,
                                               this->index(m.target.value),
                                               this->index(m.copyFrom.value),
                                               wireEnum(m.verdict),
                                               m.held,
                                               m.bound);
}

void FrameWriter::Private::add(const GatewayAdmissionRelease &m)
{
    this->gatewayAdmissionReleases.emplace_back(
        m.id, wireSpan(m.elapsed), m.slownessPercent, wireEnum(m.outcome), m.held);
}

// Without the order, a router of the first version would not see the messages of a kind that it does not know.
bool FrameWriter::Private::needsOrder() const
{
    constexpr auto highestOfFirstVersion = static_cast<std::uint8_t>(MessageKind::AttachCancel);
    const bool mixed
        = std::adjacent_find(this->order.begin(), this->order.end(), std::not_equal_to<>{}) != this->order.end();
    return mixed || (!this->order.empty() && this->order.front() > highestOfFirstVersion);
}

std::string FrameWriter::Private::finish()
{
    const auto claimRequestsAt = this->structs(this->claimRequests);
    const auto claimVotesAt = this->structs(this->claimVotes);
    const auto reserveRequestsAt = this->structs(this->reserveRequests);
    const auto reserveRepliesAt = this->structs(this->reserveReplies);
    const auto releasesAt = this->structs(this->releases);
    const auto namesAt = this->bytes(this->names);
    const auto nameLengthsAt = this->scalars(this->nameLengths);
    const auto orderAt = this->needsOrder() ? this->scalars(this->order) : 0;
    const auto refusalsAt = this->structs(this->refusals);
    const auto excludedAt = this->scalars(this->excluded);
    const auto claimWithdrawsAt = this->structs(this->claimWithdraws);
    const auto probesAt = this->tables(this->probes);
    const auto probeRepliesAt = this->tables(this->probeReplies);
    const auto indirectProbesAt = this->structs(this->indirectProbes);
    const auto holdingsReportsAt = this->tables(this->holdingsReports);
    const auto attachRequestsAt = this->structs(this->attachRequests);
    const auto attachRepliesAt = this->tables(this->attachReplies);
    const auto attachChunksAt = this->tables(this->attachChunks);
    const auto attachEndsAt = this->tables(this->attachEnds);
    const auto attachCancelsAt = this->structs(this->attachCancels);
    const auto documentPushesAt = this->tables(this->documentPushes);
    const auto documentDigestsAt = this->tables(this->documentDigests);
    const auto documentPullsAt = this->tables(this->documentPulls);
    const auto claimPullsAt = this->structs(this->claimPulls);
    const auto claimPagesAt = this->tables(this->claimPages);
    const auto holdingsDigestsAt = this->structs(this->holdingsDigests);
    const auto holdingsAnswersAt = this->structs(this->holdingsAnswers);
    const auto answerPagesAt = this->tables(this->answerPages);
    const auto answerPageAcksAt = this->structs(this->answerPageAcks);
    const bool hasPrefixes = std::any_of(
        this->prefixHashes.begin(), this->prefixHashes.end(), [](std::uint64_t hash) { return hash != 0; });
    const auto prefixHashesAt = hasPrefixes ? this->scalars(this->prefixHashes) : 0;
    const auto gatewayReportsAt = this->tables(this->gatewayReports);
    const auto gatewayStreamOriginsAt = this->structs(this->gatewayStreamOrigins);
    const auto gatewayAdmissionRequestsAt = this->structs(this->gatewayAdmissionRequests);
    const auto gatewayAdmissionRepliesAt = this->structs(this->gatewayAdmissionReplies);
    const auto gatewayAdmissionReleasesAt = this->structs(this->gatewayAdmissionReleases);
    const auto admissionExcludedAt = this->scalars(this->admissionExcluded);
    const auto admissionPartsAt = this->structs(this->admissionParts);
    this->builder.Finish(Wire::CreateFrame(this->builder,
                                           claimRequestsAt,
                                           claimVotesAt,
                                           reserveRequestsAt,
                                           reserveRepliesAt,
                                           releasesAt,
                                           namesAt,
                                           nameLengthsAt,
                                           orderAt,
                                           refusalsAt,
                                           excludedAt,
                                           claimWithdrawsAt,
                                           probesAt,
                                           probeRepliesAt,
                                           indirectProbesAt,
                                           holdingsReportsAt,
                                           attachRequestsAt,
                                           attachRepliesAt,
                                           attachChunksAt,
                                           attachEndsAt,
                                           attachCancelsAt,
                                           documentPushesAt,
                                           documentDigestsAt,
                                           documentPullsAt,
                                           claimPullsAt,
                                           claimPagesAt,
                                           holdingsDigestsAt,
                                           holdingsAnswersAt,
                                           answerPagesAt,
                                           answerPageAcksAt,
                                           prefixHashesAt,
                                           gatewayReportsAt,
                                           gatewayStreamOriginsAt,
                                           gatewayAdmissionRequestsAt,
                                           gatewayAdmissionRepliesAt,
                                           gatewayAdmissionReleasesAt,
                                           admissionExcludedAt,
                                           admissionPartsAt));
    const auto *data = reinterpret_cast<const char *>(this->builder.GetBufferPointer());
    return {data, this->builder.GetSize()};
}

FrameWriter::FrameWriter() : d(std::make_unique<Private>())
{
}

FrameWriter::~FrameWriter() = default;

void FrameWriter::add(const PeerMessage &message)
{
    this->d->order.push_back(wireEnum(kindOf(message)));
    std::visit([this](const auto &m) { this->d->add(m); }, message);
}

std::string FrameWriter::finish()
{
    return this->d->finish();
}

} // namespace Sequoiausher::Internal
