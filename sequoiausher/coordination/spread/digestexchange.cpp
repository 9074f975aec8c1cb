#include "sequoiausher/coordination/spread/digestexchange.h"

#include <map>
#include <optional>

namespace Sequoiausher {

namespace {

/** An exchange that this router started, with the versions it still waits for. */
struct OpenExchange
{
    std::uint64_t number = 0;
    bool answered = false;
    bool complete = false;
    std::map<std::string, Revision> missing;
};

} // namespace

void addPushes(const InstanceId &peer,
               const std::vector<Document> &documents,
               std::uint32_t hops,
               std::size_t maxBytes,
               Outbox &outbox)
{
    DocumentPush push;
    push.hops = hops;
    std::size_t bytes = 0;
    for (const Document &document : documents) {
        const std::size_t size = document.name.size() + document.body.size();
        if (!push.documents.empty() && bytes + size > maxBytes) {
            outbox.push_back({peer, push});
            push.documents.clear();
            bytes = 0;
        }
        push.documents.push_back(document);
        bytes += size;
    }
    if (!push.documents.empty()) {
        outbox.push_back({peer, std::move(push)});
    }
}

class DigestExchange::Private
{
public:
    std::size_t maxBytes = 0;
    std::map<InstanceId, OpenExchange> open;
};

DigestExchange::DigestExchange(std::size_t maxBytes) : d(new Private{maxBytes, {}})
{
}
DigestExchange::~DigestExchange() = default;

DocumentDigest DigestExchange::start(const InstanceId &peer, std::uint64_t number, const DocumentTable &table)
{
    DocumentDigest digest;
    digest.wantsAnswer = true;
    digest.exchange = number == 0 ? 1 : number;
    digest.buckets = table.bucketDigests();
    this->d->open[peer] = OpenExchange{digest.exchange, false, false, {}};
    return digest;
}

DocumentDigest
DigestExchange::answerRequest(const DocumentDigest &request, const DocumentTable &table, bool ready) const
{
    constexpr std::size_t bytesPerRevision = 8;
    DocumentDigest digest;
    digest.exchange = request.exchange;
    digest.complete = ready && request.buckets.size() == DocumentTable::bucketCount;
    const std::vector<std::uint64_t> own = table.bucketDigests();
    std::size_t bytes = 0;
    for (std::size_t bucket = 0; bucket < own.size() && bucket < request.buckets.size(); ++bucket) {
        if (own[bucket] == request.buckets[bucket]) {
            continue;
        }
        if (bytes > this->d->maxBytes) {
            digest.complete = false;
            break;
        }
        digest.covered.push_back(static_cast<std::uint32_t>(bucket));
        for (DocumentVersion &version : table.versionsIn(bucket)) {
            bytes += version.name.size() + bytesPerRevision;
            digest.versions.push_back(std::move(version));
        }
    }
    return digest;
}

bool DigestExchange::acceptAnswer(const InstanceId &peer, const DocumentDigest &answer, const DocumentTable &table)
{
    const auto found = this->d->open.find(peer);
    if (found == this->d->open.end() || found->second.number != answer.exchange || found->second.answered) {
        return false;
    }
    OpenExchange &open = found->second;
    open.answered = true;
    open.complete = answer.complete;
    for (const DocumentVersion &version : answer.versions) {
        if (table.revisionOf(version.name) < version.revision) {
            open.missing[version.name] = version.revision;
        }
    }
    return true;
}

std::vector<Document> DigestExchange::newerThan(const DocumentDigest &answer, const DocumentTable &table) const
{
    std::map<std::string, Revision> theirs;
    for (const DocumentVersion &version : answer.versions) {
        theirs[version.name] = version.revision;
    }
    std::vector<Document> newer;
    for (const std::uint32_t bucket : answer.covered) {
        if (bucket >= DocumentTable::bucketCount) {
            continue;
        }
        for (const DocumentVersion &version : table.versionsIn(bucket)) {
            const auto known = theirs.find(version.name);
            if (known == theirs.end() || known->second < version.revision) {
                newer.push_back(*table.find(version.name));
            }
        }
    }
    return newer;
}

void DigestExchange::markReceived(const Document &document)
{
    for (auto &[peer, open] : this->d->open) {
        const auto missing = open.missing.find(document.name);
        if (missing != open.missing.end() && missing->second <= document.revision) {
            open.missing.erase(missing);
        }
    }
}

bool DigestExchange::finishIfComplete(const InstanceId &peer)
{
    const auto found = this->d->open.find(peer);
    if (found == this->d->open.end() || !found->second.answered || !found->second.missing.empty()) {
        return false;
    }
    const bool complete = found->second.complete;
    this->d->open.erase(found);
    return complete;
}

void DigestExchange::clear()
{
    this->d->open.clear();
}

} // namespace Sequoiausher
