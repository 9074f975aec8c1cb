#pragma once

// The configuration documents of a router, by name. The newest revision is kept, and a deletion is a revision like any
// other. So neither the order of arrival, nor a stale reader, nor a partition that ends restores an old revision.
//
//     DocumentTable table;
//     table.learn({"rules/fleet", 17, "[rule default]\n", false}); // true
//     table.learn({"rules/fleet", 16, "older", false});            // false: 17 stays
//     const auto rules = table.find("rules/fleet");                // immutable, shared

#include "sequoiausher/state/documents/document.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace Sequoiausher {

using DocumentPointer = std::shared_ptr<const Document>;
/** Documents by name, without the deleted ones. Immutable. */
using DocumentSet = std::map<std::string, DocumentPointer>;

/**
 * The newest known revision of each document. Tombstones are never dropped, because a late copy of the deleted document
 * would be taken for a new one. Not thread-safe.
 */
class DocumentTable
{
public:
    /** The number of buckets into which the names are hashed; each bucket has its own digest. */
    static constexpr std::size_t bucketCount = 64;

    DocumentTable();
    ~DocumentTable();
    DocumentTable(DocumentTable &&) noexcept;
    DocumentTable &operator=(DocumentTable &&) noexcept;

    /** Stores the document if it is newer than the known revision of its name. @return whether it was stored. */
    bool learn(Document document);

    /** The newest known revision, which may be a tombstone; nullptr if the name is unknown. */
    DocumentPointer find(const std::string &name) const;

    /** The newest known revision of the name; 0 if the name is unknown. */
    Revision revisionOf(const std::string &name) const;

    /** The hash of all (name, revision) pairs, in O(1). Equal tables have equal digests, whatever the order of arrival.
     */
    std::uint64_t digest() const;

    /** The digest of each bucket; digest() is their sum. */
    std::vector<std::uint64_t> bucketDigests() const;

    /** The highest known revision; 0 if there is none. */
    Revision highestRevision() const;

    /** The number of known documents, including tombstones. */
    std::size_t size() const;

    /** All names and revisions, including tombstones, sorted by name. */
    std::vector<DocumentVersion> versions() const;

    /** The same for one bucket, which must be less than bucketCount. */
    std::vector<DocumentVersion> versionsIn(std::size_t bucket) const;

    /** The documents, including tombstones, with a revision above the given one, in ascending order of revision. */
    std::vector<DocumentPointer> newerThan(Revision revision) const;

    /** All documents that are not deleted, as an immutable set. */
    std::shared_ptr<const DocumentSet> snapshot() const;

    /** The bucket of the name, which is the same on every router. */
    static std::size_t bucketOf(const std::string &name);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
