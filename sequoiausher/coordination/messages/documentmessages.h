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
    /** How often these were passed on already; bounds the spread. */
    std::uint32_t hops = 0;

    bool operator==(const DocumentPush &) const = default;
};

/** The names and revisions that the sender knows, sent when digests differ. */
struct DocumentDigest
{
    std::vector<DocumentVersion> versions;
    /** The receiver shall answer with its own digest for what it knows and the sender does not. */
    bool wantsAnswer = false;

    bool operator==(const DocumentDigest &) const = default;
};

/** Send me these. */
struct DocumentPull
{
    std::vector<std::string> names;

    bool operator==(const DocumentPull &) const = default;
};

} // namespace Sequoiausher
