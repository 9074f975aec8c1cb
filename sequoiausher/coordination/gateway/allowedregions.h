#pragma once

// The regions whose targets may get a request. A route and an organisation may each restrict them; if both do, both
// restrictions hold.
//
//     const AllowedRegions regions = findAllowedRegions(route, organisation);
//     if (!isAllowed(regions, region)) { ... }

#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"

#include <optional>
#include <vector>

namespace Sequoiausher {

/** Absent for all regions; empty for none. */
using AllowedRegions = std::optional<std::vector<RegionId>>;

/** @param organisation nullptr for a request without a key. */
AllowedRegions findAllowedRegions(const GatewayRoute &route, const GatewayOrganisation *organisation);

/** @param region of a target; an empty one is unknown, and allowed only where all regions are. */
bool isAllowed(const AllowedRegions &regions, const RegionId &region);

} // namespace Sequoiausher
