#include "sequoiausher/protocol/settings/fleetdocuments.h"

namespace Sequoiausher {

namespace {

RuleNames namesOf(const FleetDocuments &fleet, Severity severity)
{
    RuleNames names;
    names.severity = severity;
    for (const PoolDescription &pool : fleet.pools) {
        names.pools.push_back(pool.pool.value);
    }
    for (const OrganisationDescription &organisation : fleet.organisations) {
        names.organisations.push_back(organisation.organisation.value);
    }
    return names;
}

/** Reads one document into fleet, unless it holds rules: those are compiled together. */
void readDocument(const Document &document, FleetDocuments &fleet, Problems &problems)
{
    const ParsedDocument parsed = parseDocument(document);
    for (const Problem &problem : parsed.problems) {
        addProblem(problems, problem);
    }
    if (parsed.instances) {
        fleet.instances = *parsed.instances;
    } else if (parsed.organisations) {
        fleet.organisations = *parsed.organisations;
    } else if (parsed.pool) {
        fleet.pools.push_back(*parsed.pool);
    }
}

} // namespace

FleetDocuments parseFleetDocuments(const DocumentSet &documents, Severity unknownNames, Problems &problems)
{
    FleetDocuments fleet;
    std::vector<Document> rules;
    for (const auto &entry : documents) {
        if (isRulesDocument(entry.first)) {
            rules.push_back(*entry.second);
        } else {
            readDocument(*entry.second, fleet, problems);
        }
    }
    fleet.rules = compileRules(rules, namesOf(fleet, unknownNames), problems);
    return fleet;
}

} // namespace Sequoiausher
