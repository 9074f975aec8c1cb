#pragma once

// The documents in force, with organisations found by their keys: what a router decides by.
//
//     Problems problems;
//     const auto fleet = compileFleet(documents, problems);
//     if (!fleet) { ... }                                  // refused; problems say why
//     fleet->organisationOf(sha256OfKey);

#include "sequoiausher/protocol/settings/fleetdocuments.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sequoiausher {

/** One compiled set of documents. Immutable once made; shared between threads. */
struct FleetConfiguration
{
    std::vector<InstanceDescription> instances;
    /** By the SHA-256 of the API key, in lower-case hexadecimal digits. */
    std::unordered_map<std::string, OrganisationId> organisations;
    std::vector<PoolDescription> pools;
    std::shared_ptr<const RuleSet> rules;

    /** The organisation with that key; std::nullopt where there is none. */
    std::optional<OrganisationId> organisationOf(const std::string &keySha256) const;
};

/** Compiles documents that were checked; null where they hold an error. Appends errors and warnings to problems. */
std::shared_ptr<const FleetConfiguration> compileFleet(const DocumentSet &documents, Problems &problems);

} // namespace Sequoiausher
