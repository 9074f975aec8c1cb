#include "sequoiausher/coordination/gateway/allowedregions.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

bool contains(const std::vector<RegionId> &regions, const RegionId &region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

AllowedRegions findAllowedRegions(const GatewayRoute &route, const GatewayOrganisation *organisation)
{
    const std::vector<RegionId> none;
    const std::vector<RegionId> &ofOrganisation = organisation != nullptr ? organisation->allowedRegions : none;
    if (route.allowedRegions.empty() || ofOrganisation.empty()) {
        const std::vector<RegionId> &only = route.allowedRegions.empty() ? ofOrganisation : route.allowedRegions;
        return only.empty() ? std::nullopt : std::optional(only);
    }
    std::vector<RegionId> both;
    std::copy_if(route.allowedRegions.begin(),
                 route.allowedRegions.end(),
                 std::back_inserter(both),
                 [&ofOrganisation](const RegionId &region) { return contains(ofOrganisation, region); });
    return both;
}

bool isAllowed(const AllowedRegions &regions, const RegionId &region)
{
    return !regions || (!region.empty() && contains(*regions, region));
}

} // namespace Sequoiausher
