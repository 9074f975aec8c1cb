#include "sequoiausher/protocol/codec/framereader.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/codec/generated/peerwire.h"
#include "sequoiausher/protocol/codec/messagekind.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <string_view>
#include <utility>

namespace Sequoiausher::Internal {

namespace {

template<typename Number>
Number numberOf(const Wire::Id *id)
{
    return id != nullptr ? Number{id->high(), id->low()} : Number{};
}

template<typename Number>
Number numberOf(const Wire::Id &id)
{
    return Number{id.high(), id.low()};
}

template<typename Enum>
std::optional<Enum> enumOf(std::uint8_t raw)
{
    for (const auto &entry : nameTable<Enum>) {
        if (static_cast<std::uint8_t>(entry.value) == raw) {
            return entry.value;
        }
    }
    return std::nullopt;
}

Millis spanOf(std::int32_t raw)
{
    return raw == std::numeric_limits<std::int32_t>::max() ? Millis::never() : Millis{raw};
}

std::string textOf(const flatbuffers::String *text)
{
    return text != nullptr ? text->str() : std::string();
}

std::string_view viewOf(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    return bytes != nullptr ? std::string_view(reinterpret_cast<const char *>(bytes->data()), bytes->size())
                            : std::string_view();
}

std::string bytesOf(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    return std::string(viewOf(bytes));
}

/** What a vector of Item holds: a scalar, or the struct that Item points to. */
template<typename Item>
struct StoredAs
{
    using Type = Item;
};

template<typename Struct>
struct StoredAs<const Struct *>
{
    using Type = Struct;
};

template<typename Item>
bool isAligned(const flatbuffers::Vector<Item> *items)
{
    return reinterpret_cast<std::uintptr_t>(items->Data()) % alignof(typename StoredAs<Item>::Type) == 0;
}

} // namespace

class FrameReader::Private
{
public:
    Private(const Wire::Frame &verified, std::string from);

    std::optional<PeerMessage> read(std::uint8_t kind);
    std::optional<std::uint8_t> nextKind();

    std::size_t skipped = 0;

private:
    using Read = std::optional<PeerMessage> (Private::*)();

    std::optional<PeerMessage> claimRequest();
    std::optional<PeerMessage> claimVote();
    std::optional<PeerMessage> claimWithdraw();
    std::optional<PeerMessage> claimPull();
    std::optional<PeerMessage> claimPage();
    std::optional<PeerMessage> reserveRequest();
    std::optional<PeerMessage> reserveReply();
    std::optional<PeerMessage> release();
    std::optional<PeerMessage> holdingsReport();
    std::optional<PeerMessage> probe();
    std::optional<PeerMessage> probeReply();
    std::optional<PeerMessage> indirectProbe();
    std::optional<PeerMessage> documentPush();
    std::optional<PeerMessage> documentDigest();
    std::optional<PeerMessage> documentPull();
    std::optional<PeerMessage> attachRequest();
    std::optional<PeerMessage> attachReply();
    std::optional<PeerMessage> attachChunk();
    std::optional<PeerMessage> attachEnd();
    std::optional<PeerMessage> attachCancel();
    std::optional<PeerMessage> holdingsDigest();
    std::optional<PeerMessage> holdingsAnswer();
    std::optional<PeerMessage> answerPage();
    std::optional<PeerMessage> answerPageAck();
    std::optional<PeerMessage> gatewayReport();
    std::optional<PeerMessage> gatewayStreamOrigin();
    std::optional<PeerMessage> gatewayAdmissionRequest();
    std::optional<PeerMessage> gatewayAdmissionReply();
    std::optional<PeerMessage> gatewayAdmissionRelease();

    [[noreturn]] void refuse(const std::string &reason) const;
    /** Refuses a vector whose items are not aligned; every other access to a vector comes after this one. */
    template<typename Item>
    std::size_t sizeOf(const flatbuffers::Vector<Item> *items) const;
    template<typename Item>
    std::vector<Item> scalarsOf(const flatbuffers::Vector<Item> *items) const;
    void indexNames();
    std::string name(std::uint16_t index) const;
    /** The next item of a kind's vector. */
    template<typename Item>
    auto take(MessageKind kind, const flatbuffers::Vector<Item> *items);
    using WireDemands = flatbuffers::Vector<const Wire::OrganisationDemand *>;
    std::vector<OrganisationDemand> demands(const WireDemands *wire) const;
    std::size_t countOf(MessageKind kind) const;
    std::uint64_t prefixHash() const;
    std::optional<Gossip> gossip(const Wire::Gossip *wire) const;
    /** std::nullopt where a state is of a later version. */
    std::optional<LifeNews> lifeOf(const Wire::LifeNews &news) const;

    const Wire::Frame &frame;
    std::string peer;
    std::vector<std::string_view> names;
    std::array<std::size_t, messageKindLimit> taken{};
    std::size_t position = 0;
    std::size_t refusalsTaken = 0;
    std::size_t excludedTaken = 0;
    std::size_t admissionExcludedTaken = 0;
    std::size_t admissionPartsTaken = 0;
    /** Reads the parts of the next request's prompt. */
    std::vector<AdmissionPart> admissionParts(std::size_t count);
};

FrameReader::Private::Private(const Wire::Frame &verified, std::string from) : frame(verified), peer(std::move(from))
{
    this->indexNames();
}

void FrameReader::Private::refuse(const std::string &reason) const
{
    throw Error(Step::Decode, this->peer, reason);
}

template<typename Item>
std::size_t FrameReader::Private::sizeOf(const flatbuffers::Vector<Item> *items) const
{
    if (items == nullptr) {
        return 0;
    }
    // Goes wrong if left out: the verifier checks the place of the length alone, so that a peer could have structs read
    // at any multiple of 4 bytes, which is undefined, and stops the process on a machine that checks alignment.
    if (items->size() > 0 && !isAligned(items)) {
        this->refuse("items are not aligned");
    }
    return items->size();
}

template<typename Item>
std::vector<Item> FrameReader::Private::scalarsOf(const flatbuffers::Vector<Item> *items) const
{
    return this->sizeOf(items) > 0 ? std::vector<Item>(items->begin(), items->end()) : std::vector<Item>();
}

void FrameReader::Private::indexNames()
{
    const std::string_view all = viewOf(this->frame.names());
    std::size_t at = 0;
    this->names.emplace_back();
    for (std::size_t i = 0; i < this->sizeOf(this->frame.name_lengths()); ++i) {
        const std::size_t length = this->frame.name_lengths()->Get(static_cast<flatbuffers::uoffset_t>(i));
        if (length > all.size() - at) {
            this->refuse("the names run past their end");
        }
        this->names.push_back(all.substr(at, length));
        at += length;
    }
}

std::string FrameReader::Private::name(std::uint16_t index) const
{
    if (index >= this->names.size()) {
        this->refuse("a name is missing");
    }
    return std::string(this->names[index]);
}

template<typename Item>
auto FrameReader::Private::take(MessageKind kind, const flatbuffers::Vector<Item> *items)
{
    std::size_t &index = this->taken.at(static_cast<std::size_t>(kind));
    if (index >= this->sizeOf(items)) {
        this->refuse("fewer messages than announced of kind " + std::string(nameOf(kind)));
    }
    return items->Get(static_cast<flatbuffers::uoffset_t>(index++));
}

std::size_t FrameReader::Private::countOf(MessageKind kind) const
{
    const Wire::Frame &f = this->frame;
    const std::array<std::size_t, messageKindLimit> counts{0,
                                                           this->sizeOf(f.claim_requests()),
                                                           this->sizeOf(f.claim_votes()),
                                                           this->sizeOf(f.claim_withdraws()),
                                                           this->sizeOf(f.claim_pulls()),
                                                           this->sizeOf(f.claim_pages()),
                                                           this->sizeOf(f.reserve_requests()),
                                                           this->sizeOf(f.reserve_replies()),
                                                           this->sizeOf(f.releases()),
                                                           this->sizeOf(f.holdings_reports()),
                                                           this->sizeOf(f.probes()),
                                                           this->sizeOf(f.probe_replies()),
                                                           this->sizeOf(f.indirect_probes()),
                                                           this->sizeOf(f.document_pushes()),
                                                           this->sizeOf(f.document_digests()),
                                                           this->sizeOf(f.document_pulls()),
                                                           this->sizeOf(f.attach_requests()),
                                                           this->sizeOf(f.attach_replies()),
                                                           this->sizeOf(f.attach_chunks()),
                                                           this->sizeOf(f.attach_ends()),
                                                           this->sizeOf(f.attach_cancels()),
                                                           this->sizeOf(f.holdings_digests()),
                                                           this->sizeOf(f.holdings_answers()),
                                                           this->sizeOf(f.answer_pages()),
                                                           this->sizeOf(f.answer_page_acks()),
                                                           this->sizeOf(f.gateway_reports())};
    return counts.at(static_cast<std::size_t>(kind));
}

std::optional<std::uint8_t> FrameReader::Private::nextKind()
{
    const auto *order = this->frame.order();
    if (order != nullptr) {
        if (this->position >= order->size()) {
            return std::nullopt;
        }
        return order->Get(static_cast<flatbuffers::uoffset_t>(this->position++));
    }
    for (const auto &entry : nameTable<MessageKind>) {
        if (this->taken.at(static_cast<std::size_t>(entry.value)) < this->countOf(entry.value)) {
            return static_cast<std::uint8_t>(entry.value);
        }
    }
    return std::nullopt;
}

std::optional<PeerMessage> FrameReader::Private::read(std::uint8_t kind)
{
    static constexpr std::array<Read, messageKindLimit> reads{nullptr,
                                                              &Private::claimRequest,
                                                              &Private::claimVote,
                                                              &Private::claimWithdraw,
                                                              &Private::claimPull,
                                                              &Private::claimPage,
                                                              &Private::reserveRequest,
                                                              &Private::reserveReply,
                                                              &Private::release,
                                                              &Private::holdingsReport,
                                                              &Private::probe,
                                                              &Private::probeReply,
                                                              &Private::indirectProbe,
                                                              &Private::documentPush,
                                                              &Private::documentDigest,
                                                              &Private::documentPull,
                                                              &Private::attachRequest,
                                                              &Private::attachReply,
                                                              &Private::attachChunk,
                                                              &Private::attachEnd,
                                                              &Private::attachCancel,
                                                              &Private::holdingsDigest,
                                                              &Private::holdingsAnswer,
                                                              &Private::answerPage,
                                                              &Private::answerPageAck,
                                                              &Private::gatewayReport,
                                                              &Private::gatewayStreamOrigin,
                                                              &Private::gatewayAdmissionRequest,
                                                              &Private::gatewayAdmissionReply,
                                                              &Private::gatewayAdmissionRelease};
    if (kind >= reads.size() || reads.at(kind) == nullptr) {
        return std::nullopt;
    }
    return (this->*reads.at(kind))();
}

std::optional<PeerMessage> FrameReader::Private::claimRequest()
{
    const auto *m = this->take(MessageKind::ClaimRequest, this->frame.claim_requests());
    return ClaimRequest{numberOf<ClaimKey>(m->key()), numberOf<RequestId>(m->attempt()), m->round(), m->body_digest()};
}

std::optional<PeerMessage> FrameReader::Private::claimVote()
{
    const auto *m = this->take(MessageKind::ClaimVote, this->frame.claim_votes());
    ClaimVote vote;
    vote.key = numberOf<ClaimKey>(m->key());
    vote.attempt = numberOf<RequestId>(m->attempt());
    vote.round = m->round();
    vote.holder.value = this->name(m->holder());
    if (m->refuses()) {
        if (this->refusalsTaken >= this->sizeOf(this->frame.refusals())) {
            this->refuse("a refusal is missing");
        }
        const auto *refusal = this->frame.refusals()->Get(static_cast<flatbuffers::uoffset_t>(this->refusalsTaken++));
        vote.heldBy = numberOf<RequestId>(refusal->held_by());
        vote.retryAfter = spanOf(refusal->retry_after());
    }
    const auto verdict = enumOf<ClaimVerdict>(m->verdict());
    if (!verdict.has_value()) {
        return std::nullopt;
    }
    vote.verdict = *verdict;
    return vote;
}

std::optional<PeerMessage> FrameReader::Private::claimWithdraw()
{
    const auto *m = this->take(MessageKind::ClaimWithdraw, this->frame.claim_withdraws());
    return ClaimWithdraw{numberOf<ClaimKey>(m->key()), numberOf<RequestId>(m->attempt()), m->round()};
}

std::optional<PeerMessage> FrameReader::Private::claimPull()
{
    const auto *m = this->take(MessageKind::ClaimPull, this->frame.claim_pulls());
    return ClaimPull{m->pull(), numberOf<ClaimKey>(m->from())};
}

std::optional<PeerMessage> FrameReader::Private::claimPage()
{
    const auto *m = this->take(MessageKind::ClaimPage, this->frame.claim_pages());
    ClaimPage page{m->pull(), m->giver_abstains(), m->giver_learns(), m->last(), numberOf<ClaimKey>(m->next()), {}};
    for (std::size_t i = 0; i < this->sizeOf(m->records()); ++i) {
        const auto *r = m->records()->Get(static_cast<flatbuffers::uoffset_t>(i));
        page.records.push_back({numberOf<ClaimKey>(r->key()),
                                numberOf<RequestId>(r->attempt()),
                                r->round(),
                                r->body_digest(),
                                InstanceId{this->name(r->holder())},
                                spanOf(r->age())});
    }
    return page;
}

/** Of the reservation taken last. */
std::uint64_t FrameReader::Private::prefixHash() const
{
    const auto *hashes = this->frame.prefix_hashes();
    if (sizeOf(hashes) == 0) {
        return 0;
    }
    const std::size_t index = this->taken.at(static_cast<std::size_t>(MessageKind::ReserveRequest)) - 1;
    if (index >= hashes->size()) {
        this->refuse("the hash of a prefix is missing");
    }
    return hashes->Get(static_cast<flatbuffers::uoffset_t>(index));
}

std::optional<PeerMessage> FrameReader::Private::reserveRequest()
{
    const auto *m = this->take(MessageKind::ReserveRequest, this->frame.reserve_requests());
    ReserveRequest request;
    request.request = numberOf<RequestId>(m->request());
    request.pool.value = this->name(m->pool());
    request.shard = m->shard();
    request.chatHash = m->chat_hash();
    request.prefixHash = this->prefixHash();
    request.boundPercent = m->bound_percent();
    request.organisation = m->organisation();
    if (m->excluded_count() > this->sizeOf(this->frame.excluded()) - this->excludedTaken) {
        this->refuse("an excluded target is missing");
    }
    for (std::size_t i = 0; i < m->excluded_count(); ++i) {
        const auto index = static_cast<flatbuffers::uoffset_t>(this->excludedTaken++);
        request.excluded.push_back(TargetId{this->name(this->frame.excluded()->Get(index))});
    }
    const auto policy = enumOf<PolicyKind>(m->policy());
    const auto requestClass = enumOf<RequestClass>(m->request_class());
    if (!policy.has_value() || !requestClass.has_value()) {
        return std::nullopt;
    }
    request.policy = *policy;
    request.requestClass = *requestClass;
    return request;
}

std::optional<PeerMessage> FrameReader::Private::reserveReply()
{
    const auto *m = this->take(MessageKind::ReserveReply, this->frame.reserve_replies());
    const auto verdict = enumOf<ReserveVerdict>(m->verdict());
    if (!verdict.has_value()) {
        return std::nullopt;
    }
    ReserveReply reply{numberOf<RequestId>(m->request()), *verdict, TargetId{}, spanOf(m->retry_after()), InstanceId{}};
    if (*verdict == ReserveVerdict::NotOwner) {
        reply.owner = InstanceId{this->name(m->target())};
    } else {
        reply.target = TargetId{this->name(m->target())};
    }
    return reply;
}

std::optional<PeerMessage> FrameReader::Private::release()
{
    const auto *m = this->take(MessageKind::Release, this->frame.releases());
    return Release{numberOf<RequestId>(m->request()), PoolId{this->name(m->pool())}, m->shard()};
}

std::optional<PeerMessage> FrameReader::Private::holdingsReport()
{
    const auto *m = this->take(MessageKind::HoldingsReport, this->frame.holdings_reports());
    HoldingsReport report{PoolId{this->name(m->pool())}, m->shard(), m->sequence(), {}};
    if (this->sizeOf(m->requests()) != this->sizeOf(m->targets())) {
        this->refuse("a report's requests and targets differ in number");
    }
    for (std::size_t i = 0; i < this->sizeOf(m->requests()); ++i) {
        const auto index = static_cast<flatbuffers::uoffset_t>(i);
        report.holdings.push_back(
            {numberOf<RequestId>(m->requests()->Get(index)), TargetId{this->name(m->targets()->Get(index))}});
    }
    report.wantsAnswer = m->wants_answer();
    return report;
}

std::optional<PeerMessage> FrameReader::Private::holdingsDigest()
{
    const auto *m = this->take(MessageKind::HoldingsDigest, this->frame.holdings_digests());
    return HoldingsDigest{PoolId{this->name(m->pool())}, m->shard(), m->sequence(), m->count(), m->digest()};
}

std::optional<PeerMessage> FrameReader::Private::holdingsAnswer()
{
    const auto *m = this->take(MessageKind::HoldingsAnswer, this->frame.holdings_answers());
    return HoldingsAnswer{PoolId{this->name(m->pool())}, m->shard(), m->wants_report()};
}

std::optional<LifeNews> FrameReader::Private::lifeOf(const Wire::LifeNews &news) const
{
    const auto state = enumOf<LifeState>(news.state());
    return state.has_value() ? std::optional(LifeNews{news.incarnation(), *state}) : std::nullopt;
}

std::vector<OrganisationDemand> FrameReader::Private::demands(const WireDemands *wire) const
{
    std::vector<OrganisationDemand> demands;
    for (std::size_t i = 0; i < this->sizeOf(wire); ++i) {
        const auto *demand = wire->Get(static_cast<flatbuffers::uoffset_t>(i));
        // Goes wrong if taken as it comes: a sum that is not a number would stay one, and lift or close a limit.
        const double perSecond = std::isfinite(demand->per_second()) ? std::max(0.0, demand->per_second()) : 0.0;
        demands.push_back({OrganisationId{this->name(demand->organisation())}, perSecond, spanOf(demand->age())});
    }
    return demands;
}

std::optional<Gossip> FrameReader::Private::gossip(const Wire::Gossip *wire) const
{
    Gossip gossip;
    if (wire == nullptr) {
        return gossip;
    }
    for (std::size_t i = 0; i < this->sizeOf(wire->instances()); ++i) {
        const auto *news = wire->instances()->Get(static_cast<flatbuffers::uoffset_t>(i));
        const auto life = this->lifeOf(*news);
        if (!life.has_value()) {
            return std::nullopt;
        }
        gossip.instances.push_back({InstanceId{this->name(news->name())}, *life});
    }
    for (std::size_t i = 0; i < this->sizeOf(wire->targets()); ++i) {
        const auto *news = wire->targets()->Get(static_cast<flatbuffers::uoffset_t>(i));
        const auto life = this->lifeOf(*news);
        if (!life.has_value()) {
            return std::nullopt;
        }
        gossip.targets.push_back({TargetId{this->name(news->name())}, *life});
    }
    for (std::size_t i = 0; i < this->sizeOf(wire->sums()); ++i) {
        const auto *sum = wire->sums()->Get(static_cast<flatbuffers::uoffset_t>(i));
        gossip.sums.push_back(
            {PoolId{this->name(sum->pool())}, sum->shard(), sum->in_flight(), sum->targets(), spanOf(sum->age())});
    }
    for (std::size_t i = 0; i < this->sizeOf(wire->reach()); ++i) {
        const auto *news = wire->reach()->Get(static_cast<flatbuffers::uoffset_t>(i));
        gossip.reach.push_back(
            {InstanceId{this->name(news->name())}, news->incarnation(), news->refutation(), news->suspected()});
    }
    gossip.demands = this->demands(wire->demands());
    gossip.fleetDemands = this->demands(wire->fleet_demands());
    gossip.serviceAge = spanOf(wire->service_age());
    gossip.documentsDigest = wire->documents_digest();
    gossip.highestRevision = wire->highest_revision();
    return gossip;
}

std::optional<PeerMessage> FrameReader::Private::probe()
{
    const auto *m = this->take(MessageKind::Probe, this->frame.probes());
    auto gossip = this->gossip(m->gossip());
    return gossip.has_value() ? std::optional<PeerMessage>(Probe{m->sequence(), std::move(*gossip)}) : std::nullopt;
}

std::optional<PeerMessage> FrameReader::Private::probeReply()
{
    const auto *m = this->take(MessageKind::ProbeReply, this->frame.probe_replies());
    auto gossip = this->gossip(m->gossip());
    if (!gossip.has_value()) {
        return std::nullopt;
    }
    return ProbeReply{m->sequence(), InstanceId{this->name(m->about())}, std::move(*gossip)};
}

std::optional<PeerMessage> FrameReader::Private::indirectProbe()
{
    const auto *m = this->take(MessageKind::IndirectProbe, this->frame.indirect_probes());
    return IndirectProbe{m->sequence(), InstanceId{this->name(m->suspect())}};
}

std::optional<PeerMessage> FrameReader::Private::documentPush()
{
    const auto *m = this->take(MessageKind::DocumentPush, this->frame.document_pushes());
    DocumentPush push;
    push.hops = m->hops();
    for (std::size_t i = 0; i < this->sizeOf(m->documents()); ++i) {
        const auto *document = m->documents()->Get(static_cast<flatbuffers::uoffset_t>(i));
        push.documents.push_back({textOf(document->name()),
                                  document->revision(),
                                  bytesOf(document->body()),
                                  document->deleted(),
                                  document->era()});
    }
    return push;
}

std::optional<PeerMessage> FrameReader::Private::documentDigest()
{
    const auto *m = this->take(MessageKind::DocumentDigest, this->frame.document_digests());
    DocumentDigest digest;
    digest.wantsAnswer = m->wants_answer();
    digest.exchange = m->exchange();
    digest.buckets = this->scalarsOf(m->buckets());
    digest.covered = this->scalarsOf(m->covered());
    digest.complete = m->complete();
    for (std::size_t i = 0; i < this->sizeOf(m->versions()); ++i) {
        const auto *version = m->versions()->Get(static_cast<flatbuffers::uoffset_t>(i));
        digest.versions.push_back({textOf(version->name()), version->revision()});
    }
    return digest;
}

std::optional<PeerMessage> FrameReader::Private::documentPull()
{
    const auto *m = this->take(MessageKind::DocumentPull, this->frame.document_pulls());
    DocumentPull pull;
    for (std::size_t i = 0; i < this->sizeOf(m->names()); ++i) {
        pull.names.push_back(textOf(m->names()->Get(static_cast<flatbuffers::uoffset_t>(i))));
    }
    return pull;
}

std::optional<PeerMessage> FrameReader::Private::attachRequest()
{
    const auto *m = this->take(MessageKind::AttachRequest, this->frame.attach_requests());
    return AttachRequest{
        numberOf<RequestId>(m->attachment()), numberOf<ClaimKey>(m->key()), numberOf<RequestId>(m->attempt())};
}

std::optional<PeerMessage> FrameReader::Private::attachReply()
{
    const auto *m = this->take(MessageKind::AttachReply, this->frame.attach_replies());
    const auto verdict = enumOf<AttachVerdict>(m->verdict());
    if (!verdict.has_value()) {
        return std::nullopt;
    }
    return AttachReply{numberOf<RequestId>(m->attachment()), *verdict, m->status(), textOf(m->content_type())};
}

std::optional<PeerMessage> FrameReader::Private::attachChunk()
{
    const auto *m = this->take(MessageKind::AttachChunk, this->frame.attach_chunks());
    return AttachChunk{numberOf<RequestId>(m->attachment()), m->offset(), bytesOf(m->bytes())};
}

std::optional<PeerMessage> FrameReader::Private::attachEnd()
{
    const auto *m = this->take(MessageKind::AttachEnd, this->frame.attach_ends());
    return AttachEnd{numberOf<RequestId>(m->attachment()), m->complete(), textOf(m->reason()), m->length()};
}

std::optional<PeerMessage> FrameReader::Private::attachCancel()
{
    const auto *m = this->take(MessageKind::AttachCancel, this->frame.attach_cancels());
    return AttachCancel{numberOf<RequestId>(m->attachment())};
}

std::optional<PeerMessage> FrameReader::Private::answerPage()
{
    const auto *m = this->take(MessageKind::AnswerPage, this->frame.answer_pages());
    AnswerPage page;
    page.handover = m->handover();
    page.sequence = m->sequence();
    for (std::size_t i = 0; i < sizeOf(m->fragments()); ++i) {
        const auto *f = m->fragments()->Get(static_cast<flatbuffers::uoffset_t>(i));
        KeptAnswer answer;
        answer.attempt = numberOf<RequestId>(f->attempt());
        answer.key = numberOf<ClaimKey>(f->key());
        answer.bodyDigest = f->body_digest();
        answer.head = {f->status(), textOf(f->content_type())};
        answer.length = f->length();
        answer.digest = f->digest();
        answer.age = spanOf(f->age());
        page.fragments.push_back({std::move(answer), f->offset(), bytesOf(f->bytes())});
    }
    return page;
}

std::optional<PeerMessage> FrameReader::Private::answerPageAck()
{
    const auto *m = this->take(MessageKind::AnswerPageAck, this->frame.answer_page_acks());
    return AnswerPageAck{m->handover(), m->sequence()};
}

std::optional<PeerMessage> FrameReader::Private::gatewayReport()
{
    const auto *m = this->take(MessageKind::GatewayReport, this->frame.gateway_reports());
    GatewayReport report;
    report.sentAt.count = static_cast<std::int64_t>(m->sent_at());
    report.echo.count = static_cast<std::int64_t>(m->echo());
    report.configuration = m->configuration();
    report.proofAge = spanOf(m->proof_age());
    report.storeAge = spanOf(m->store_age());
    report.targets = m->targets();
    report.leaving = m->leaving();
    report.wantsReply = m->wants_reply();
    report.isResting = m->resting();
    report.isHub = m->hub();
    report.isReply = m->reply();
    report.strength = m->strength();
    report.isSettled = m->settled();
    report.storeEra = m->store_era();
    report.readsVersions = m->reads_versions();
    // A gateway of an earlier version tells nobody's data centre.
    report.dataCentre.value = m->data_centre() != nullptr ? m->data_centre()->str() : std::string();
    const std::size_t dataCentres = this->sizeOf(m->member_data_centres());
    for (std::size_t i = 0; i < this->sizeOf(m->members()); ++i) {
        const auto *member = m->members()->Get(static_cast<flatbuffers::uoffset_t>(i));
        report.members.push_back(
            {InstanceId{this->name(member->instance())}, spanOf(member->age()), member->strength(), {}});
        if (i < dataCentres) {
            const std::uint16_t index = m->member_data_centres()->Get(static_cast<flatbuffers::uoffset_t>(i));
            report.members.back().dataCentre.value = this->name(index);
        }
    }
    for (std::size_t i = 0; i < this->sizeOf(m->loads()); ++i) {
        const auto *load = m->loads()->Get(static_cast<flatbuffers::uoffset_t>(i));
        report.loads.push_back(
            {TargetId{this->name(load->target())}, load->in_flight(), load->suspected(), load->misdirected()});
    }
    for (std::size_t i = 0; i < this->sizeOf(m->placements()); ++i) {
        const auto *placement = m->placements()->Get(static_cast<flatbuffers::uoffset_t>(i));
        report.placements.push_back({placement->part(), TargetId{this->name(placement->target())}});
    }
    const auto readCrashes = [this](const auto *all, std::vector<GatewayCrash> &crashes) {
        for (std::size_t i = 0; i < this->sizeOf(all); ++i) {
            const auto *crash = all->Get(static_cast<flatbuffers::uoffset_t>(i));
            crashes.push_back({crash->caller(),
                               crash->content(),
                               TargetId{this->name(crash->target())},
                               spanOf(crash->age()),
                               spanOf(crash->ran_for())});
        }
    };
    readCrashes(m->crashes(), report.crashes);
    readCrashes(m->part_crashes(), report.partCrashes);
    report.evacuationsDigest = m->evacuations_digest();
    for (std::size_t i = 0; i < this->sizeOf(m->evacuations()); ++i) {
        const auto *evacuation = m->evacuations()->Get(static_cast<flatbuffers::uoffset_t>(i));
        report.evacuations.push_back(
            {DataCentreId{this->name(evacuation->data_centre())}, evacuation->changed_at(), evacuation->evacuated()});
    }
    for (std::size_t i = 0; i < this->sizeOf(m->cold_targets()); ++i) {
        const auto *cold = m->cold_targets()->Get(static_cast<flatbuffers::uoffset_t>(i));
        report.coldTargets.push_back({TargetId{this->name(cold->target())}, spanOf(cold->remaining())});
    }
    return report;
}

std::optional<PeerMessage> FrameReader::Private::gatewayStreamOrigin()
{
    const auto *m = this->take(MessageKind::GatewayStreamOrigin, this->frame.gateway_stream_origins());
    const auto purpose = enumOf<StreamOriginPurpose>(m->purpose());
    const auto kind = enumOf<OriginFindingKind>(m->kind());
    if (!purpose.has_value() || !kind.has_value()) {
        return std::nullopt;
    }
    GatewayStreamOrigin origin;
    origin.purpose = *purpose;
    origin.key = {m->caller(), m->attempt()};
    origin.finding = {*kind, PoolId{this->name(m->service())}, this->name(m->version())};
    origin.span = spanOf(m->span());
    return origin;
}

std::optional<PeerMessage> FrameReader::Private::gatewayAdmissionRequest()
{
    const auto *m = this->take(MessageKind::GatewayAdmissionRequest, this->frame.gateway_admission_requests());
    GatewayAdmissionRequest request;
    request.id = m->id();
    request.service.value = this->name(m->service());
    request.organisation = m->organisation();
    request.aim = spanOf(m->aim());
    request.waited = spanOf(m->waited());
    request.timeLeft = spanOf(m->time_left());
    request.hedgePercent = m->hedge_percent();
    request.hedgeWindow = spanOf(m->hedge_window());
    request.hedgeOf = m->hedge_of();
    if (m->excluded_count() > this->sizeOf(this->frame.admission_excluded()) - this->admissionExcludedTaken) {
        this->refuse("an excluded target is missing");
    }
    for (std::size_t i = 0; i < m->excluded_count(); ++i) {
        const auto index = static_cast<flatbuffers::uoffset_t>(this->admissionExcludedTaken++);
        request.excluded.push_back(TargetId{this->name(this->frame.admission_excluded()->Get(index))});
    }
    request.prompt.parts = this->admissionParts(m->parts_count());
    request.prompt.ownTokens = m->own_tokens();
    request.prompt.boundPercent = m->bound_percent();
    request.prompt.priority = m->priority();
    request.prompt.isShortestFirst = m->shortest_first();
    request.prompt.mayCopy = m->may_copy();
    const auto requestClass = enumOf<RequestClass>(m->request_class());
    if (!requestClass.has_value()) {
        return std::nullopt;
    }
    request.requestClass = *requestClass;
    return request;
}

std::vector<AdmissionPart> FrameReader::Private::admissionParts(std::size_t count)
{
    if (count > this->sizeOf(this->frame.admission_parts()) - this->admissionPartsTaken) {
        this->refuse("a part of a prompt is missing");
    }
    std::vector<AdmissionPart> parts;
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = static_cast<flatbuffers::uoffset_t>(this->admissionPartsTaken++);
        const auto *part = this->frame.admission_parts()->Get(index);
        parts.push_back({part->hash(), part->tokens()});
    }
    return parts;
}

std::optional<PeerMessage> FrameReader::Private::gatewayAdmissionReply()
{
    const auto *m = this->take(MessageKind::GatewayAdmissionReply, this->frame.gateway_admission_replies());
    const auto verdict = enumOf<AdmissionVerdict>(m->verdict());
    if (!verdict.has_value()) {
        return std::nullopt;
    }
    return GatewayAdmissionReply{m->id(),
                                 *verdict,
                                 TargetId{this->name(m->target())},
                                 spanOf(m->retry_after()),
                                 spanOf(m->hedge_after()),
                                 TargetId{this->name(m->copy_from())},
                                 m->tokens_to_read(),
                                 m->held(),
                                 m->bound()};
}

std::optional<PeerMessage> FrameReader::Private::gatewayAdmissionRelease()
{
    const auto *m = this->take(MessageKind::GatewayAdmissionRelease, this->frame.gateway_admission_releases());
    const auto outcome = enumOf<PlaceOutcome>(m->outcome());
    if (!outcome.has_value()) {
        return std::nullopt;
    }
    return GatewayAdmissionRelease{m->id(), *outcome, spanOf(m->elapsed()), m->slowness_percent(), m->held()};
}

FrameReader::FrameReader(const Wire::Frame &verified, std::string peer)
    : d(std::make_unique<Private>(verified, std::move(peer)))
{
}

FrameReader::~FrameReader() = default;

std::optional<PeerMessage> FrameReader::next()
{
    while (const auto kind = this->d->nextKind()) {
        auto message = this->d->read(*kind);
        if (message.has_value()) {
            return message;
        }
        ++this->d->skipped;
    }
    return std::nullopt;
}

std::size_t FrameReader::skipped() const
{
    return this->d->skipped;
}

} // namespace Sequoiausher::Internal
