#include "lab/bench/estimatedsize.h"

#include <string>

namespace Sequoiausher {

namespace {

/** Frame length and type, root offset, root table with its virtual table, and the TCP and IP headers of one segment. */
constexpr std::size_t perMessage = 8 + 4 + 24 + 52;
/** An offset to the table in its vector, the table's offset to its virtual table, which rows share. */
constexpr std::size_t perRow = 4 + 4;
constexpr std::size_t perVector = 4 + 4;
constexpr std::size_t perNumber = 8;

std::size_t sizeOf(const std::string &text)
{
    constexpr std::size_t alignment = 4;
    const std::size_t raw = 4 + 4 + text.size() + 1;
    return (raw + alignment - 1) / alignment * alignment;
}

std::size_t sizeOf(const Gossip &gossip)
{
    std::size_t bytes = 4 * perVector + 3 * perNumber;
    for (const InstanceNews &news : gossip.instances) {
        bytes += perRow + sizeOf(news.instance.value) + 2 * perNumber;
    }
    for (const TargetNews &news : gossip.targets) {
        bytes += perRow + sizeOf(news.target.value) + 2 * perNumber;
    }
    for (const ShardSum &sum : gossip.sums) {
        bytes += perRow + sizeOf(sum.pool.value) + 3 * perNumber;
    }
    for (const ReachNews &news : gossip.reach) {
        bytes += perRow + sizeOf(news.instance.value) + 2 * perNumber;
    }
    return bytes;
}

std::size_t sizeOf(const DocumentDigest &digest)
{
    std::size_t bytes = 3 * perVector + 2 * perNumber + digest.buckets.size() * 8 + digest.covered.size() * 4;
    for (const DocumentVersion &version : digest.versions) {
        bytes += perRow + sizeOf(version.name) + perNumber;
    }
    return bytes;
}

std::size_t sizeOf(const DocumentPush &push)
{
    std::size_t bytes = perVector + perNumber;
    for (const Document &document : push.documents) {
        bytes += perRow + sizeOf(document.name) + sizeOf(document.body) + 2 * perNumber;
    }
    return bytes;
}

std::size_t sizeOf(const DocumentPull &pull)
{
    std::size_t bytes = perVector;
    for (const std::string &name : pull.names) {
        bytes += 4 + sizeOf(name);
    }
    return bytes;
}

} // namespace

std::size_t estimatedSize(const PeerMessage &message)
{
    if (const auto *probe = std::get_if<Probe>(&message)) {
        return perMessage + perNumber + sizeOf(probe->gossip);
    }
    if (const auto *reply = std::get_if<ProbeReply>(&message)) {
        return perMessage + perNumber + sizeOf(reply->about.value) + sizeOf(reply->gossip);
    }
    if (const auto *indirect = std::get_if<IndirectProbe>(&message)) {
        return perMessage + perNumber + sizeOf(indirect->suspect.value);
    }
    if (const auto *push = std::get_if<DocumentPush>(&message)) {
        return perMessage + sizeOf(*push);
    }
    if (const auto *digest = std::get_if<DocumentDigest>(&message)) {
        return perMessage + sizeOf(*digest);
    }
    if (const auto *pull = std::get_if<DocumentPull>(&message)) {
        return perMessage + sizeOf(*pull);
    }
    return 0;
}

} // namespace Sequoiausher
