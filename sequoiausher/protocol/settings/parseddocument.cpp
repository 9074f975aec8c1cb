#include "sequoiausher/protocol/settings/parseddocument.h"

#include <string>
#include <utility>

namespace Sequoiausher {

namespace {

template<typename Data>
std::shared_ptr<const Data> shared(Data data)
{
    return std::make_shared<const Data>(std::move(data));
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

} // namespace

ParsedDocument parseDocument(const Document &document)
{
    const std::string &name = document.name;
    ParsedDocument parsed;
    if (name == instancesDocumentName) {
        parsed.instances = shared(parseInstances(document.body, name, parsed.problems));
    } else if (name == organisationsDocumentName) {
        parsed.organisations = shared(parseOrganisations(document.body, name, parsed.problems));
    } else if (name.starts_with(poolDocumentPrefix)) {
        const PoolId pool{name.substr(poolDocumentPrefix.size())};
        parsed.pool = shared(parsePool(document.body, pool, name, parsed.problems));
    } else if (isRulesDocument(name)) {
        parsed.rules = shared(readRules(document, parsed.problems));
    } else {
        reportUnusedName(name, parsed.problems);
    }
    return parsed;
}

} // namespace Sequoiausher
