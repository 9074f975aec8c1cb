#pragma once

// Identifies repeats of a request: two requests are the same if the organisation of their caller, their path with its
// query and their body are equal. Attempt ids and other headers differ each time that a caller retries.
//
//     const RequestFingerprint fingerprint = computeFingerprint(organisation, head.target, body);

#include "sequoiausher/base/identifiers.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Sequoiausher {

/**
 * Identifies a request. The organisation has its own hash, so that no organisation can craft a request with the
 * fingerprint of another's.
 */
struct RequestFingerprint
{
    std::uint64_t caller = 0;
    std::uint64_t content = 0;

    auto operator<=>(const RequestFingerprint &) const = default;
};

/** Computes the fingerprint of a request. @param caller empty where the route needs no key. */
RequestFingerprint computeFingerprint(const OrganisationId &caller, std::string_view path, std::string_view body);

/** Formats the fingerprint for log lines. */
std::string toText(const RequestFingerprint &fingerprint);

} // namespace Sequoiausher
