#include "sequoiausher/protocol/settings/fleetconfiguration.h"

namespace Sequoiausher {

std::optional<OrganisationId> FleetConfiguration::organisationOf(const std::string &keySha256) const
{
    const auto found = this->organisations->find(keySha256);
    return found == this->organisations->end() ? std::nullopt : std::optional(found->second);
}

} // namespace Sequoiausher
