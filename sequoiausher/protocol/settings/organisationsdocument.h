#pragma once

// The document `organisations`: who may call the fleet, by the digest of each API key. Keys themselves are never
// published.
//
//     Problems problems;
//     const auto organisations = parseOrganisations(body, "organisations", problems);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/ini/problem.h"

#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** One organisation. */
struct OrganisationDescription
{
    OrganisationId organisation;
    /** SHA-256 of the API key in 64 lower-case hexadecimal digits. */
    std::string keySha256;

    bool operator==(const OrganisationDescription &) const = default;
};

/** Reads the document; appends everything that is wrong to problems, naming file. */
std::vector<OrganisationDescription>
parseOrganisations(std::string_view body, const std::string &file, Problems &problems);

} // namespace Sequoiausher
