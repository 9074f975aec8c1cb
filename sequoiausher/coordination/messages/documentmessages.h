#pragma once

// Messages that spread configuration documents between routers: pushes of what is new, digests that find what a push
// missed, and pulls that repair it.

#include "sequoiausher/state/documents/document.h"

#include <vector>

namespace Sequoiausher {

/** New documents, to be stored and passed on. */
struct DocumentPush
{
    std::vector<Document> documents;
    /** How often these were passed on already, which bounds the spread; 0 in the answer to a pull and in a repair. */
    std::uint32_t hops = 0;

    bool operator==(const DocumentPush &) const = default;
};

/**
 * What the sender knows, without bodies. Three uses:
 * - announcement: exchange is 0, versions name what is new at the sender;
 * - request: exchange is not 0, wantsAnswer, buckets hold DocumentTable::bucketDigests();
 * - answer: the request's exchange, covered and versions say all that the sender knows in the buckets that differ.
 */
struct DocumentDigest
{
    std::vector<DocumentVersion> versions;
    /** The receiver shall answer with its own digest for what it knows and the sender does not. */
    bool wantsAnswer = false;
    /** Ties an answer to its request; an answer to an earlier one is dropped. */
    std::uint64_t exchange = 0;
    std::vector<std::uint64_t> buckets;
    /** The buckets of which versions tells everything, rising. */
    std::vector<std::uint32_t> covered;
    /** In an answer: the sender is ready and covered holds every bucket that differed. */
    bool complete = false;

    bool operator==(const DocumentDigest &) const = default;
};

/** Send me these. */
struct DocumentPull
{
    std::vector<std::string> names;

    bool operator==(const DocumentPull &) const = default;
};

} // namespace Sequoiausher
