#pragma once

// Everything that the platform's documents say, read from one set of them: what a router puts in force at once.
//
//     Problems problems;
//     const FleetDocuments fleet = parseFleetDocuments(*configuration.documents, Severity::Warning, problems);
//     if (!hasErrors(problems)) { ... fleet.rules->decide(facts) ... }

#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/coordination/rules/ruleset.h"
#include "sequoiausher/coordination/spread/configurationstate.h"
#include "sequoiausher/protocol/settings/instancesdocument.h"
#include "sequoiausher/protocol/settings/organisationsdocument.h"
#include "sequoiausher/protocol/settings/pooldocument.h"
#include "sequoiausher/state/documents/documenttable.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The document that lists the routers. */
inline constexpr std::string_view instancesDocumentName = "instances";
/** The document that lists who may call. */
inline constexpr std::string_view organisationsDocumentName = "organisations";

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

/**
 * Judges a set before it comes into force: every document by itself, so that the verdict on a set does not hang on
 * which documents a router happens to know already.
 */
class FleetDocumentChecker : public DocumentChecker
{
public:
    /** The error's peer is the first document that is wrong; its reason names every problem. */
    std::optional<Error> check(const DocumentSet &candidate) const override;

    /**
     * Without its rules document an organisation's requests would go by rules that may ask for no claim, and so run
     * twice: a rule that refuses them takes its place. A pool is left out, so that requests for it find no target.
     * Without routers or organisations nothing can be decided rightly: a router waits for good ones.
     */
    StandIn standIn(const std::string &name) const override;
};

} // namespace Sequoiausher
