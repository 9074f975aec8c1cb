#pragma once

// Every configuration document that a router knows, by name. The newest revision wins and a deletion is a revision
// like any other, so that no order of arrival, no stale reader and no healed partition brings an old one back.
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
/** Documents by name, deleted ones left out. Never changes once it is made. */
using DocumentSet = std::map<std::string, DocumentPointer>;

/**
 * The newest known revision of each document. Tombstones are kept for good: forgetting one would let a late copy of
 * the deleted document pass for news. Not thread-safe.
 */
class DocumentTable
{
public:
    /** Into how many parts the names are hashed, each with a digest of its own. */
    static constexpr std::size_t bucketCount = 64;

    DocumentTable();
    ~DocumentTable();
    DocumentTable(DocumentTable &&) noexcept;
    DocumentTable &operator=(DocumentTable &&) noexcept;

    /** Stores document where it is newer than what is known of its name; false where it is not, and nothing changes. */
    bool learn(Document document);

    /** The newest known revision, which may be a tombstone; nullptr where the name was never seen. */
    DocumentPointer find(const std::string &name) const;

    /** The newest known revision of name, 0 where the name was never seen. */
    Revision revisionOf(const std::string &name) const;

    /** Hash over all (name, revision), in O(1) and whatever the order of learning; equal tables have equal digests. */
    std::uint64_t digest() const;

    /** The digest of each bucket; digest() is their sum. */
    std::vector<std::uint64_t> bucketDigests() const;

    /** The highest revision known, 0 where none is. */
    Revision highestRevision() const;

    /** Documents known, tombstones included. */
    std::size_t size() const;

    /** All names and revisions, tombstones included, by name. */
    std::vector<DocumentVersion> versions() const;

    /** The same for one bucket, which must be less than bucketCount. */
    std::vector<DocumentVersion> versionsIn(std::size_t bucket) const;

    /** The documents, tombstones included, with a revision above revision, by rising revision. */
    std::vector<DocumentPointer> newerThan(Revision revision) const;

    /** All documents that are not deleted, as one immutable set. */
    std::shared_ptr<const DocumentSet> snapshot() const;

    /** The bucket to which name belongs; the same on every router. */
    static std::size_t bucketOf(const std::string &name);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
