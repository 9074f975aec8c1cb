#pragma once

// Everything that the platform's documents say, read from one whole set of them: for the commands that read a set once.
// A router, in which one document changes at a time, has FleetCompiler.
//
//     Problems problems;
//     const FleetDocuments fleet = parseFleetDocuments(documents, Severity::Warning, problems);
//     if (!hasErrors(problems)) { ... fleet.rules->decide(facts) ... }

#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/coordination/rules/ruleset.h"
#include "sequoiausher/protocol/settings/parseddocument.h"
#include "sequoiausher/state/documents/documenttable.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** A set of documents as typed data. */
struct FleetDocuments
{
    std::vector<InstanceDescription> instances;
    std::vector<OrganisationDescription> organisations;
    std::vector<PoolDescription> pools;
    /** Null where a rules document has an error. */
    std::shared_ptr<const RuleSet> rules;
};

/**
 * Reads every document of the set; complete only where problems then holds no error. A document with a name that the
 * fleet does not use is a warning.
 * @param unknownNames how heavy it is that rules speak of pools or organisations which no document lists. Warning in a
 * router: those documents may be on their way. Error where all documents are at hand.
 */
FleetDocuments parseFleetDocuments(const DocumentSet &documents, Severity unknownNames, Problems &problems);

} // namespace Sequoiausher
