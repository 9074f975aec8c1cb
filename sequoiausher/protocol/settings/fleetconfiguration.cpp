#include "sequoiausher/protocol/settings/fleetconfiguration.h"

namespace Sequoiausher {

std::optional<OrganisationId> FleetConfiguration::organisationOf(const std::string &keySha256) const
{
    const auto found = this->organisations.find(keySha256);
    return found == this->organisations.end() ? std::nullopt : std::optional(found->second);
}

std::shared_ptr<const FleetConfiguration> compileFleet(const DocumentSet &documents, Problems &problems)
{
    const FleetDocuments parsed = parseFleetDocuments(documents, Severity::Warning, problems);
    if (hasErrors(problems)) {
        return nullptr;
    }
    auto fleet = std::make_shared<FleetConfiguration>();
    fleet->instances = parsed.instances;
    fleet->pools = parsed.pools;
    fleet->rules = parsed.rules;
    for (const OrganisationDescription &row : parsed.organisations) {
        fleet->organisations[row.keySha256] = row.organisation;
    }
    return fleet;
}

} // namespace Sequoiausher
