#include "sequoiausher/state/documents/documenttable.h"

#include "sequoiausher/base/hashing.h"

#include <array>

namespace Sequoiausher {

namespace {

std::uint64_t digestOf(const std::string &name, Revision revision)
{
    return hash64(name, revision);
}

} // namespace

class DocumentTable::Private
{
public:
    std::array<std::map<std::string, DocumentPointer>, bucketCount> buckets;
    std::array<std::uint64_t, bucketCount> digests{};
    std::map<Revision, std::map<std::string, DocumentPointer>> byRevision;
    std::size_t documents = 0;

    void forgetRevision(const Document &old)
    {
        const auto atRevision = this->byRevision.find(old.revision);
        atRevision->second.erase(old.name);
        if (atRevision->second.empty()) {
            this->byRevision.erase(atRevision);
        }
    }
};

DocumentTable::DocumentTable() : d(std::make_unique<Private>())
{
}
DocumentTable::~DocumentTable() = default;
DocumentTable::DocumentTable(DocumentTable &&) noexcept = default;
DocumentTable &DocumentTable::operator=(DocumentTable &&) noexcept = default;

std::size_t DocumentTable::bucketOf(const std::string &name)
{
    return hash64(name) % bucketCount;
}

bool DocumentTable::learn(Document document)
{
    const std::size_t bucket = bucketOf(document.name);
    DocumentPointer &known = this->d->buckets[bucket][document.name];
    if (known && known->revision >= document.revision) {
        return false;
    }
    std::uint64_t &digest = this->d->digests[bucket];
    if (known) {
        digest -= digestOf(known->name, known->revision);
        this->d->forgetRevision(*known);
    } else {
        ++this->d->documents;
    }
    digest += digestOf(document.name, document.revision);
    known = std::make_shared<const Document>(std::move(document));
    this->d->byRevision[known->revision][known->name] = known;
    return true;
}

DocumentPointer DocumentTable::find(const std::string &name) const
{
    const auto &bucket = this->d->buckets[bucketOf(name)];
    const auto found = bucket.find(name);
    return found == bucket.end() ? nullptr : found->second;
}

Revision DocumentTable::revisionOf(const std::string &name) const
{
    const DocumentPointer known = this->find(name);
    return known ? known->revision : 0;
}

std::uint64_t DocumentTable::digest() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t digest : this->d->digests) {
        sum += digest;
    }
    return sum;
}

std::vector<std::uint64_t> DocumentTable::bucketDigests() const
{
    return {this->d->digests.begin(), this->d->digests.end()};
}

Revision DocumentTable::highestRevision() const
{
    return this->d->byRevision.empty() ? 0 : this->d->byRevision.rbegin()->first;
}

std::size_t DocumentTable::size() const
{
    return this->d->documents;
}

std::vector<DocumentVersion> DocumentTable::versions() const
{
    std::map<std::string, Revision> sorted;
    for (const auto &bucket : this->d->buckets) {
        for (const auto &[name, document] : bucket) {
            sorted[name] = document->revision;
        }
    }
    std::vector<DocumentVersion> versions;
    versions.reserve(sorted.size());
    for (const auto &[name, revision] : sorted) {
        versions.push_back({name, revision});
    }
    return versions;
}

std::vector<DocumentVersion> DocumentTable::versionsIn(std::size_t bucket) const
{
    std::vector<DocumentVersion> versions;
    for (const auto &[name, document] : this->d->buckets[bucket]) {
        versions.push_back({name, document->revision});
    }
    return versions;
}

std::vector<DocumentPointer> DocumentTable::newerThan(Revision revision) const
{
    std::vector<DocumentPointer> newer;
    for (auto at = this->d->byRevision.upper_bound(revision); at != this->d->byRevision.end(); ++at) {
        for (const auto &[name, document] : at->second) {
            newer.push_back(document);
        }
    }
    return newer;
}

std::shared_ptr<const DocumentSet> DocumentTable::snapshot() const
{
    auto set = std::make_shared<DocumentSet>();
    for (const auto &bucket : this->d->buckets) {
        for (const auto &[name, document] : bucket) {
            if (!document->deleted) {
                set->emplace(name, document);
            }
        }
    }
    return set;
}

} // namespace Sequoiausher
