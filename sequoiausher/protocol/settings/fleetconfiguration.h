#pragma once

// The documents in force, with organisations found by their keys: what a router decides by.
//
//     const std::shared_ptr<const FleetConfiguration> fleet = compiler.compiled();
//     fleet->organisationOf(sha256OfKey);
//     if (fleet->instances != previous->instances) { ... }    // the list of routers changed

#include "sequoiausher/coordination/rules/ruleset.h"
#include "sequoiausher/protocol/settings/parseddocument.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sequoiausher {

/** Organisations by the SHA-256 of the API key, in lower-case hexadecimal digits. */
using OrganisationsByKey = std::unordered_map<std::string, OrganisationId>;

/**
 * One compiled set of documents. Immutable once made; shared between threads. Its parts are shared with the
 * configurations before it: equal pointers, equal parts, and a part that says the same as before keeps its pointer. No
 * pointer is null.
 */
struct FleetConfiguration
{
    std::shared_ptr<const std::vector<InstanceDescription>> instances;
    std::shared_ptr<const OrganisationsByKey> organisations;
    /** By name. */
    std::vector<std::shared_ptr<const PoolDescription>> pools;
    std::shared_ptr<const RuleSet> rules;

    /** The organisation with that key; std::nullopt where there is none. */
    std::optional<OrganisationId> organisationOf(const std::string &keySha256) const;
};

} // namespace Sequoiausher
