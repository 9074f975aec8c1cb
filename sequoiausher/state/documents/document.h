#pragma once

// A configuration document: a small INI text with a name and an increasing revision. Rules, organisations, the list of
// instances and the lists of targets are published as documents.
//
//     const Document rules{"rules/fleet", 17, "[rule default]\n...", false};

#include "sequoiausher/base/identifiers.h"

#include <string>

namespace Sequoiausher {

/** One revision of a document, as the platform's service published it. */
struct Document
{
    std::string name;
    Revision revision = 0;
    std::string body;
    /** The document was deleted at this revision; the body is empty. */
    bool deleted = false;
    /** The era of the store that the revision belongs to, if the sender states it. */
    std::uint64_t era = 0;

    bool operator==(const Document &) const = default;
};

/** Name and revision of a document, without its body. */
struct DocumentVersion
{
    std::string name;
    Revision revision = 0;

    bool operator==(const DocumentVersion &) const = default;
};

} // namespace Sequoiausher
