#include "sequoiausher/protocol/codec/messagegenerators.h"

#include "sequoiausher/protocol/codec/messagekind.h"

#include <cstdint>
#include <limits>
#include <type_traits>
#include <utility>

namespace rc {

template<typename Tag>
struct Arbitrary<Sequoiausher::NameOf<Tag>>
{
    static Gen<Sequoiausher::NameOf<Tag>> arbitrary()
    {
        using Name = Sequoiausher::NameOf<Tag>;
        return gen::map(gen::arbitrary<std::string>(), [](std::string text) { return Name{std::move(text)}; });
    }
};

template<typename Tag>
struct Arbitrary<Sequoiausher::Number128<Tag>>
{
    static Gen<Sequoiausher::Number128<Tag>> arbitrary()
    {
        using Number = Sequoiausher::Number128<Tag>;
        return gen::exec([] {
            const auto high = *gen::arbitrary<std::uint64_t>();
            return Number{high, *gen::arbitrary<std::uint64_t>()};
        });
    }
};

template<>
struct Arbitrary<Sequoiausher::Millis>
{
    static Gen<Sequoiausher::Millis> arbitrary()
    {
        return gen::map(gen::arbitrary<std::int32_t>(), [](std::int32_t count) {
            return count == std::numeric_limits<std::int32_t>::max() ? Sequoiausher::Millis::never()
                                                                     : Sequoiausher::Millis{count};
        });
    }
};

template<typename Enum>
requires(Sequoiausher::nameTable<Enum>.size() > 0) struct Arbitrary<Enum>
{
    static Gen<Enum> arbitrary()
    {
        return gen::map(gen::inRange<std::size_t>(0, Sequoiausher::nameTable<Enum>.size()),
                        [](std::size_t row) { return Sequoiausher::nameTable<Enum>.at(row).value; });
    }
};

namespace {

template<typename... Fields>
void fill(Fields &...fields)
{
    ((fields = *gen::arbitrary<Fields>()), ...);
}

} // namespace

#define SEQUOIAUSHER_ARBITRARY(NAME, ...) \
    template<> \
    struct Arbitrary<Sequoiausher::NAME> \
    { \
        static Gen<Sequoiausher::NAME> arbitrary() \
        { \
            return gen::exec([] { \
                Sequoiausher::NAME m; \
                fill(__VA_ARGS__); \
                return m; \
            }); \
        } \
    }

SEQUOIAUSHER_ARBITRARY(LifeNews, m.incarnation, m.state);
SEQUOIAUSHER_ARBITRARY(InstanceNews, m.instance, m.life);
SEQUOIAUSHER_ARBITRARY(TargetNews, m.target, m.life);
SEQUOIAUSHER_ARBITRARY(ShardSum, m.pool, m.shard, m.inFlight, m.targets, m.age);
SEQUOIAUSHER_ARBITRARY(ReachNews, m.instance, m.incarnation, m.refutation, m.suspected);
template<>
struct Arbitrary<Sequoiausher::OrganisationDemand>
{
    static Gen<Sequoiausher::OrganisationDemand> arbitrary()
    {
        return gen::exec([] {
            Sequoiausher::OrganisationDemand m;
            fill(m.organisation, m.age);
            m.perSecond = static_cast<double>(*gen::arbitrary<std::uint32_t>());
            return m;
        });
    }
};
SEQUOIAUSHER_ARBITRARY(Gossip,
                       m.instances,
                       m.targets,
                       m.sums,
                       m.documentsDigest,
                       m.highestRevision,
                       m.reach,
                       m.demands,
                       m.fleetDemands,
                       m.serviceAge);
SEQUOIAUSHER_ARBITRARY(Holding, m.request, m.target);
SEQUOIAUSHER_ARBITRARY(ClaimRecord, m.key, m.attempt, m.round, m.bodyDigest, m.holder, m.age);
SEQUOIAUSHER_ARBITRARY(Document, m.name, m.revision, m.body, m.deleted, m.era);
SEQUOIAUSHER_ARBITRARY(DocumentVersion, m.name, m.revision);
SEQUOIAUSHER_ARBITRARY(ClaimRequest, m.key, m.attempt, m.round, m.bodyDigest);
SEQUOIAUSHER_ARBITRARY(ClaimVote, m.key, m.attempt, m.round, m.verdict, m.holder, m.heldBy, m.retryAfter);
SEQUOIAUSHER_ARBITRARY(ClaimWithdraw, m.key, m.attempt, m.round);
SEQUOIAUSHER_ARBITRARY(ClaimPull, m.pull, m.from);
SEQUOIAUSHER_ARBITRARY(ClaimPage, m.pull, m.giverAbstains, m.giverLearns, m.last, m.next, m.records);
SEQUOIAUSHER_ARBITRARY(ReserveRequest,
                       m.request,
                       m.pool,
                       m.shard,
                       m.chatHash,
                       m.policy,
                       m.boundPercent,
                       m.excluded,
                       m.requestClass,
                       m.prefixHash,
                       m.organisation);
template<>
struct Arbitrary<Sequoiausher::ReserveReply>
{
    static Gen<Sequoiausher::ReserveReply> arbitrary()
    {
        return gen::exec([] {
            Sequoiausher::ReserveReply m;
            fill(m.request, m.verdict, m.retryAfter);
            // An answer names an owner or a target, never both.
            if (m.verdict == Sequoiausher::ReserveVerdict::NotOwner) {
                fill(m.owner);
            } else {
                fill(m.target);
            }
            return m;
        });
    }
};
SEQUOIAUSHER_ARBITRARY(Release, m.request, m.pool, m.shard);
SEQUOIAUSHER_ARBITRARY(HoldingsReport, m.pool, m.shard, m.sequence, m.holdings, m.wantsAnswer);
SEQUOIAUSHER_ARBITRARY(HoldingsDigest, m.pool, m.shard, m.sequence, m.count, m.digest);
SEQUOIAUSHER_ARBITRARY(HoldingsAnswer, m.pool, m.shard, m.wantsReport);
SEQUOIAUSHER_ARBITRARY(Probe, m.sequence, m.gossip);
SEQUOIAUSHER_ARBITRARY(ProbeReply, m.sequence, m.about, m.gossip);
SEQUOIAUSHER_ARBITRARY(IndirectProbe, m.sequence, m.suspect);
SEQUOIAUSHER_ARBITRARY(DocumentPush, m.documents, m.hops);
SEQUOIAUSHER_ARBITRARY(DocumentDigest, m.versions, m.wantsAnswer, m.exchange, m.buckets, m.covered, m.complete);
SEQUOIAUSHER_ARBITRARY(DocumentPull, m.names);
SEQUOIAUSHER_ARBITRARY(AttachRequest, m.attachment, m.key, m.attempt);
SEQUOIAUSHER_ARBITRARY(AttachReply, m.attachment, m.verdict, m.status, m.contentType);
SEQUOIAUSHER_ARBITRARY(AttachChunk, m.attachment, m.offset, m.bytes);
SEQUOIAUSHER_ARBITRARY(AttachEnd, m.attachment, m.complete, m.reason, m.length);
SEQUOIAUSHER_ARBITRARY(AttachCancel, m.attachment);
SEQUOIAUSHER_ARBITRARY(AnswerHead, m.status, m.contentType);
SEQUOIAUSHER_ARBITRARY(KeptAnswer, m.attempt, m.key, m.bodyDigest, m.head, m.length, m.digest, m.age);
SEQUOIAUSHER_ARBITRARY(AnswerFragment, m.answer, m.offset, m.bytes);
SEQUOIAUSHER_ARBITRARY(AnswerPage, m.handover, m.sequence, m.fragments);
SEQUOIAUSHER_ARBITRARY(AnswerPageAck, m.handover, m.sequence);
SEQUOIAUSHER_ARBITRARY(GatewayLoad, m.target, m.inFlight, m.suspected, m.misdirected);
SEQUOIAUSHER_ARBITRARY(GatewayMember, m.instance, m.age, m.strength, m.dataCentre);
SEQUOIAUSHER_ARBITRARY(GatewayPlacement, m.part, m.target);
SEQUOIAUSHER_ARBITRARY(GatewayCrash, m.caller, m.content, m.target, m.age, m.ranFor);
SEQUOIAUSHER_ARBITRARY(GatewayEvacuation, m.dataCentre, m.changedAt, m.isEvacuated);
SEQUOIAUSHER_ARBITRARY(GatewayColdTarget, m.target, m.remaining);
SEQUOIAUSHER_ARBITRARY(GatewayReport,
                       m.sentAt,
                       m.echo,
                       m.configuration,
                       m.proofAge,
                       m.storeAge,
                       m.targets,
                       m.members,
                       m.loads,
                       m.placements,
                       m.leaving,
                       m.wantsReply,
                       m.isResting,
                       m.isHub,
                       m.isReply,
                       m.strength,
                       m.dataCentre,
                       m.isSettled,
                       m.storeEra,
                       m.crashes,
                       m.partCrashes,
                       m.evacuationsDigest,
                       m.evacuations,
                       m.coldTargets,
                       m.readsVersions);
SEQUOIAUSHER_ARBITRARY(StreamKey, m.caller, m.attempt);
SEQUOIAUSHER_ARBITRARY(OriginFinding, m.kind, m.service, m.softwareVersion);
SEQUOIAUSHER_ARBITRARY(GatewayStreamOrigin, m.purpose, m.key, m.finding, m.span);
SEQUOIAUSHER_ARBITRARY(AdmissionPart, m.hash, m.tokens);
SEQUOIAUSHER_ARBITRARY(AdmissionPrompt, m.parts, m.ownTokens, m.boundPercent, m.priority, m.isShortestFirst, m.mayCopy);
SEQUOIAUSHER_ARBITRARY(GatewayAdmissionRequest,
                       m.id,
                       m.service,
                       m.organisation,
                       m.requestClass,
                       m.aim,
                       m.waited,
                       m.timeLeft,
                       m.excluded,
                       m.hedgePercent,
                       m.hedgeWindow,
                       m.hedgeOf,
                       m.prompt);
SEQUOIAUSHER_ARBITRARY(GatewayAdmissionReply,
                       m.id,
                       m.verdict,
                       m.target,
                       m.retryAfter,
                       m.hedgeAfter,
                       m.copyFrom,
                       m.tokensToRead,
                       m.held,
                       m.bound);
SEQUOIAUSHER_ARBITRARY(GatewayAdmissionRelease, m.id, m.outcome, m.elapsed, m.slownessPercent, m.held);

#undef SEQUOIAUSHER_ARBITRARY

} // namespace rc

namespace Sequoiausher {

namespace {

template<typename Message>
KindOfMessage kindOfMessage()
{
    return {
        std::string(nameOf(kindOf(PeerMessage{Message{}}))),
        rc::gen::map(rc::gen::arbitrary<Message>(), [](Message message) { return PeerMessage(std::move(message)); })};
}

template<std::size_t... Index>
std::vector<KindOfMessage> kindsOf(std::index_sequence<Index...>)
{
    return {kindOfMessage<std::variant_alternative_t<Index, PeerMessage>>()...};
}

} // namespace

std::vector<KindOfMessage> everyKind()
{
    return kindsOf(std::make_index_sequence<std::variant_size_v<PeerMessage>>());
}

} // namespace Sequoiausher

namespace rc {

Gen<Sequoiausher::PeerMessage> Arbitrary<Sequoiausher::PeerMessage>::arbitrary()
{
    const std::vector<Sequoiausher::KindOfMessage> kinds = Sequoiausher::everyKind();
    return gen::mapcat(gen::inRange<std::size_t>(0, kinds.size()),
                       [kinds](std::size_t which) { return kinds.at(which).generator; });
}

} // namespace rc
