#pragma once

// By what two requests count as the same one: their caller's organisation, their path with its query, and their body.
// Attempt ids and other headers differ each time that a caller asks again.
//
//     const RequestFingerprint fingerprint = computeFingerprint(organisation, head.target, body);

#include "sequoiausher/base/identifiers.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** The organisation stands apart, so that no organisation can make a request that is taken for another's. */
struct RequestFingerprint
{
    std::uint64_t caller = 0;
    std::uint64_t content = 0;

    auto operator<=>(const RequestFingerprint &) const = default;
};

/** @param caller empty where the route needs no key. */
RequestFingerprint computeFingerprint(const OrganisationId &caller, std::string_view path, std::string_view body);

/** For log lines. */
std::string toText(const RequestFingerprint &fingerprint);

} // namespace Sequoiausher
