#include "sequoiausher/protocol/codec/messagekind.h"

namespace Sequoiausher {

namespace {

// One overload for each message: one that is missing fails the build, so a message added to the variant cannot be
// forgotten on the wire.
struct KindVisitor
{
    MessageKind operator()(const ClaimRequest & /*message*/) const
    {
        return MessageKind::ClaimRequest;
    }
    MessageKind operator()(const ClaimVote & /*message*/) const
    {
        return MessageKind::ClaimVote;
    }
    MessageKind operator()(const ClaimWithdraw & /*message*/) const
    {
        return MessageKind::ClaimWithdraw;
    }
    MessageKind operator()(const ClaimPull & /*message*/) const
    {
        return MessageKind::ClaimPull;
    }
    MessageKind operator()(const ClaimPage & /*message*/) const
    {
        return MessageKind::ClaimPage;
    }
    MessageKind operator()(const ReserveRequest & /*message*/) const
    {
        return MessageKind::ReserveRequest;
    }
    MessageKind operator()(const ReserveReply & /*message*/) const
    {
        return MessageKind::ReserveReply;
    }
    MessageKind operator()(const Release & /*message*/) const
    {
        return MessageKind::Release;
    }
    MessageKind operator()(const HoldingsReport & /*message*/) const
    {
        return MessageKind::HoldingsReport;
    }
    MessageKind operator()(const Probe & /*message*/) const
    {
        return MessageKind::Probe;
    }
    MessageKind operator()(const ProbeReply & /*message*/) const
    {
        return MessageKind::ProbeReply;
    }
    MessageKind operator()(const IndirectProbe & /*message*/) const
    {
        return MessageKind::IndirectProbe;
    }
    MessageKind operator()(const DocumentPush & /*message*/) const
    {
        return MessageKind::DocumentPush;
    }
    MessageKind operator()(const DocumentDigest & /*message*/) const
    {
        return MessageKind::DocumentDigest;
    }
    MessageKind operator()(const DocumentPull & /*message*/) const
    {
        return MessageKind::DocumentPull;
    }
    MessageKind operator()(const AttachRequest & /*message*/) const
    {
        return MessageKind::AttachRequest;
    }
    MessageKind operator()(const AttachReply & /*message*/) const
    {
        return MessageKind::AttachReply;
    }
    MessageKind operator()(const AttachChunk & /*message*/) const
    {
        return MessageKind::AttachChunk;
    }
    MessageKind operator()(const AttachEnd & /*message*/) const
    {
        return MessageKind::AttachEnd;
    }
    MessageKind operator()(const AttachCancel & /*message*/) const
    {
        return MessageKind::AttachCancel;
    }
    MessageKind operator()(const HoldingsDigest & /*message*/) const
    {
        return MessageKind::HoldingsDigest;
    }
    MessageKind operator()(const HoldingsAnswer & /*message*/) const
    {
        return MessageKind::HoldingsAnswer;
    }
    MessageKind operator()(const AnswerPage & /*message*/) const
    {
        return MessageKind::AnswerPage;
    }
    MessageKind operator()(const AnswerPageAck & /*message*/) const
    {
        return MessageKind::AnswerPageAck;
    }
    MessageKind operator()(const GatewayReport & /*message*/) const
    {
        return MessageKind::GatewayReport;
    }
    MessageKind operator()(const GatewayStreamOrigin & /*message*/) const
    {
        return MessageKind::GatewayStreamOrigin;
    }
    MessageKind operator()(const GatewayAdmissionRequest & /*message*/) const
    {
        return MessageKind::GatewayAdmissionRequest;
    }
    MessageKind operator()(const GatewayAdmissionReply & /*message*/) const
    {
        return MessageKind::GatewayAdmissionReply;
    }
    MessageKind operator()(const GatewayAdmissionRelease & /*message*/) const
    {
        return MessageKind::GatewayAdmissionRelease;
    }
};

std::size_t sizeOf(const std::string &text)
{
    return text.size();
}

template<typename Tag>
std::size_t sizeOf(const NameOf<Tag> &name)
{
    return name.value.size();
}

std::size_t sizeOf(const InstanceNews &news)
{
    return sizeof(LifeNews) + news.instance.value.size();
}

std::size_t sizeOf(const TargetNews &news)
{
    return sizeof(LifeNews) + news.target.value.size();
}

std::size_t sizeOf(const Holding &holding)
{
    return sizeof(RequestId) + holding.target.value.size();
}

std::size_t sizeOf(const ShardSum &sum)
{
    return sizeof(std::uint32_t) * 3 + sum.pool.value.size();
}

std::size_t sizeOf(const OrganisationDemand &demand)
{
    return sizeof(double) + sizeof(std::uint32_t) + demand.organisation.value.size();
}

std::size_t sizeOf(const ReachNews &news)
{
    return sizeof(LifeNews) + news.instance.value.size();
}

std::size_t sizeOf(const ClaimRecord &record)
{
    return sizeof(ClaimKey) * 3 + record.holder.value.size();
}

std::size_t sizeOf(const Document &document)
{
    return document.name.size() + document.body.size() + sizeof(Revision);
}

std::size_t sizeOf(const GatewayLoad &load)
{
    return sizeof(load.inFlight) + load.target.value.size();
}

std::size_t sizeOf(const GatewayMember &member)
{
    return sizeof(std::int32_t) + sizeof(std::uint16_t) + member.instance.value.size();
}

std::size_t sizeOf(const GatewayPlacement &placement)
{
    return sizeof(placement.part) + placement.target.value.size();
}

std::size_t sizeOf(const DocumentVersion &version)
{
    return version.name.size() + sizeof(Revision);
}

std::size_t sizeOf(const AnswerFragment &fragment)
{
    return sizeof(KeptAnswer) + fragment.answer.head.contentType.size() + fragment.bytes.size();
}

template<typename Item>
std::size_t sizeOfAll(const std::vector<Item> &items)
{
    std::size_t sum = 0;
    for (const Item &item : items) {
        sum += sizeOf(item);
    }
    return sum;
}

std::size_t sizeOf(const Gossip &gossip)
{
    return sizeOfAll(gossip.instances) + sizeOfAll(gossip.targets) + sizeOfAll(gossip.sums) + sizeOfAll(gossip.reach)
        + sizeOfAll(gossip.demands) + sizeOfAll(gossip.fleetDemands);
}

// What a message carries beyond its fixed fields.
struct VariablePartVisitor
{
    template<typename Message>
    std::size_t operator()(const Message & /*message*/) const
    {
        return 0;
    }
    std::size_t operator()(const ClaimVote &message) const
    {
        return sizeOf(message.holder);
    }
    std::size_t operator()(const ClaimPage &message) const
    {
        return sizeOfAll(message.records);
    }
    std::size_t operator()(const ReserveRequest &message) const
    {
        return sizeOf(message.pool) + sizeOfAll(message.excluded);
    }
    std::size_t operator()(const ReserveReply &message) const
    {
        return sizeOf(message.target);
    }
    std::size_t operator()(const Release &message) const
    {
        return sizeOf(message.pool);
    }
    std::size_t operator()(const HoldingsReport &message) const
    {
        return sizeOf(message.pool) + sizeOfAll(message.holdings);
    }
    std::size_t operator()(const HoldingsDigest &message) const
    {
        return sizeOf(message.pool);
    }
    std::size_t operator()(const HoldingsAnswer &message) const
    {
        return sizeOf(message.pool);
    }
    std::size_t operator()(const Probe &message) const
    {
        return sizeOf(message.gossip);
    }
    std::size_t operator()(const ProbeReply &message) const
    {
        return sizeOf(message.about) + sizeOf(message.gossip);
    }
    std::size_t operator()(const DocumentPush &message) const
    {
        return sizeOfAll(message.documents);
    }
    std::size_t operator()(const DocumentDigest &message) const
    {
        return sizeOfAll(message.versions) + message.buckets.size() * sizeof(std::uint64_t)
            + message.covered.size() * sizeof(std::uint32_t);
    }
    std::size_t operator()(const DocumentPull &message) const
    {
        return sizeOfAll(message.names);
    }
    std::size_t operator()(const AttachChunk &message) const
    {
        return message.bytes.size();
    }
    std::size_t operator()(const AnswerPage &message) const
    {
        return sizeOfAll(message.fragments);
    }
    std::size_t operator()(const GatewayReport &message) const
    {
        return sizeOfAll(message.members) + sizeOfAll(message.loads) + sizeOfAll(message.placements);
    }
    std::size_t operator()(const GatewayStreamOrigin &message) const
    {
        return sizeof message + message.finding.service.value.size() + message.finding.softwareVersion.size();
    }
    std::size_t operator()(const GatewayAdmissionRequest &message) const
    {
        return message.service.value.size() + sizeOfAll(message.excluded)
            + message.prompt.parts.size() * sizeof(AdmissionPart);
    }
    std::size_t operator()(const GatewayAdmissionReply &message) const
    {
        return message.target.value.size();
    }
};

} // namespace

MessageKind kindOf(const PeerMessage &message)
{
    return std::visit(KindVisitor{}, message);
}

std::size_t roughSize(const PeerMessage &message)
{
    // The fixed fields of the hot messages come to about this much.
    constexpr std::size_t fixedPart = 48;
    return fixedPart + std::visit(VariablePartVisitor{}, message);
}

} // namespace Sequoiausher
