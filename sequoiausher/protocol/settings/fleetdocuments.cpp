#include "sequoiausher/protocol/settings/fleetdocuments.h"

#include <algorithm>
#include <utility>

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

void reportUnusedName(const std::string &name, Problems &problems)
{
    const std::vector<std::string> known{
        std::string(instancesDocumentName), std::string(organisationsDocumentName), std::string(fleetRulesDocument)};
    Problem problem;
    problem.severity = Severity::Warning;
    problem.file = name;
    problem.found = "a document that the fleet does not use";
    problem.expected = "instances, organisations, targets/POOL, rules/fleet or rules/organisation/NAME";
    problem.nearest = nearestName(name, known);
    addProblem(problems, std::move(problem));
}

/** Reads one document into fleet, unless it holds rules: those are compiled together. */
void readDocument(const Document &document, FleetDocuments &fleet, Problems &problems)
{
    if (document.name == instancesDocumentName) {
        fleet.instances = parseInstances(document.body, document.name, problems);
    } else if (document.name == organisationsDocumentName) {
        fleet.organisations = parseOrganisations(document.body, document.name, problems);
    } else if (document.name.starts_with(poolDocumentPrefix)) {
        const PoolId pool{document.name.substr(poolDocumentPrefix.size())};
        fleet.pools.push_back(parsePool(document.body, pool, document.name, problems));
    } else if (!isRulesDocument(document.name)) {
        reportUnusedName(document.name, problems);
    }
}

constexpr std::string_view refusingRule = "[rule refused-document]\n"
                                          "then.refuse = 503\n"
                                          "then.refuse_text = the rules are refused and no earlier ones are known\n"
                                          "then.retry_after_s = 5\n";

} // namespace

FleetDocuments parseFleetDocuments(const DocumentSet &documents, Severity unknownNames, Problems &problems)
{
    FleetDocuments fleet;
    std::vector<Document> rules;
    for (const auto &entry : documents) {
        readDocument(*entry.second, fleet, problems);
        if (isRulesDocument(entry.first)) {
            rules.push_back(*entry.second);
        }
    }
    fleet.rules = compileRules(rules, namesOf(fleet, unknownNames), problems);
    return fleet;
}

std::optional<Error> FleetDocumentChecker::check(const DocumentSet &candidate) const
{
    Problems problems;
    parseFleetDocuments(candidate, Severity::Warning, problems);
    const auto firstError = std::find_if(
        problems.begin(), problems.end(), [](const Problem &problem) { return problem.severity == Severity::Error; });
    if (firstError == problems.end()) {
        return std::nullopt;
    }
    return ProblemsError(Step::Rules, firstError->file, problems);
}

StandIn FleetDocumentChecker::standIn(const std::string &name) const
{
    if (name == instancesDocumentName || name == organisationsDocumentName) {
        return {StandInKind::WaitForGood, {}};
    }
    if (isRulesDocument(name)) {
        return {StandInKind::Replace, std::string(refusingRule)};
    }
    return {StandInKind::LeaveOut, {}};
}

} // namespace Sequoiausher
