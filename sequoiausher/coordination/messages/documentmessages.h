#pragma once

// Messages that spread configuration documents between routers: pushes carry new documents, digests find documents that
// a push missed, and pulls fetch these.

#include "sequoiausher/state/documents/document.h"

#include <vector>

namespace Sequoiausher {

/** Documents for the receiver to store and, if they are new to it, to forward. */
struct DocumentPush
{
    std::vector<Document> documents;
    /** How often the documents were forwarded, which bounds the spread; 0 in the answer to a pull and in a repair. */
    std::uint32_t hops = 0;

    bool operator==(const DocumentPush &) const = default;
};

/**
 * Versions or digests of the sender's documents, without their bodies. It has three uses:
 * - announcement: exchange is 0, and versions lists documents that are new at the sender;
 * - request: exchange is not 0, wantsAnswer is set, and buckets holds DocumentTable::bucketDigests();
 * - answer: exchange is that of the request, covered lists buckets whose digests differ, and versions lists all
 *   documents that the sender has in these buckets.
 */
struct DocumentDigest
{
    std::vector<DocumentVersion> versions;
    /** The receiver shall answer with its own versions in the buckets that differ. */
    bool wantsAnswer = false;
    /** Matches an answer to its request; an answer to an earlier request is dropped. */
    std::uint64_t exchange = 0;
    std::vector<std::uint64_t> buckets;
    /** The buckets for which versions is complete, in ascending order. */
    std::vector<std::uint32_t> covered;
    /** In an answer: the sender is ready and covered holds every bucket that differed. */
    bool complete = false;

    bool operator==(const DocumentDigest &) const = default;
};

/** Asks the receiver for the documents with these names. */
struct DocumentPull
{
    std::vector<std::string> names;

    bool operator==(const DocumentPull &) const = default;
};

} // namespace Sequoiausher
