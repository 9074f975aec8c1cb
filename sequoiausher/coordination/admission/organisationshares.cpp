#include "sequoiausher/coordination/admission/organisationshares.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>

namespace Sequoiausher {

std::uint16_t organisationHash(std::string_view name)
{
    return std::max(static_cast<std::uint16_t>(hash64(name)), std::uint16_t{1});
}

void OrganisationShares::add(std::uint16_t organisation)
{
    if (organisation != 0) {
        this->held[organisation] += 1;
    }
}

void OrganisationShares::remove(std::uint16_t organisation)
{
    const auto found = this->held.find(organisation);
    if (found != this->held.end() && --found->second == 0) {
        this->held.erase(found);
    }
}

bool OrganisationShares::isAboveShare(std::uint16_t organisation, std::uint64_t capacity) const
{
    const auto found = this->held.find(organisation);
    return found != this->held.end() && found->second * this->held.size() >= aboveShareFactor * capacity;
}

bool OrganisationShares::isAnyAboveShare(std::uint64_t capacity) const
{
    return std::any_of(this->held.begin(), this->held.end(), [this, capacity](const auto &entry) {
        return entry.second * this->held.size() >= aboveShareFactor * capacity;
    });
}

bool OrganisationShares::isBelowShare(std::uint16_t organisation, std::uint64_t capacity) const
{
    const auto found = this->held.find(organisation);
    const std::size_t own = found == this->held.end() ? 0 : found->second;
    return organisation != 0 && own * this->held.size() < capacity;
}

} // namespace Sequoiausher
