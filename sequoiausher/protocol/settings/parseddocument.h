#pragma once

// What one document says, read by itself. It does not change once it is read, so the configurations before and after a
// change share what they have in common.
//
//     const ParsedDocument parsed = parseDocument(document);
//     if (!hasErrors(parsed.problems) && parsed.pool) { ... parsed.pool->targets ... }

#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/coordination/rules/rulelist.h"
#include "sequoiausher/protocol/settings/instancesdocument.h"
#include "sequoiausher/protocol/settings/organisationsdocument.h"
#include "sequoiausher/protocol/settings/pooldocument.h"
#include "sequoiausher/state/documents/document.h"

#include <memory>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The document that lists the routers. */
inline constexpr std::string_view instancesDocumentName = "instances";
/** The document that lists who may call. */
inline constexpr std::string_view organisationsDocumentName = "organisations";

/** One document as typed data: the member of its kind is set, none where the fleet does not use its name. */
struct ParsedDocument
{
    std::shared_ptr<const std::vector<InstanceDescription>> instances;
    std::shared_ptr<const std::vector<OrganisationDescription>> organisations;
    std::shared_ptr<const PoolDescription> pool;
    RuleListPointer rules;
    /** What is wrong in the document itself, whatever stands in the others. */
    Problems problems;
};

/** Reads a document by the kind that its name tells; a name that the fleet does not use is a warning. */
ParsedDocument parseDocument(const Document &document);

} // namespace Sequoiausher
