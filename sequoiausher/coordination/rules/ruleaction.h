#pragma once

// The `then.` keys of a rule, read into the decision that the rule gives.
//
//     const RuleAction action = parseAction(section, DocumentScope::Fleet);

#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/coordination/rules/decision.h"

#include <optional>

namespace Sequoiausher {

/** For whom a rules document speaks. */
enum class DocumentScope {
    Fleet,
    Organisation,
};

/** A decision, and what of it the rule left open. */
struct RuleAction
{
    Decision decision;
    /** Absent: by the request's class. */
    std::optional<std::uint32_t> priority;
    /** Set only where this rule says so. */
    std::optional<std::uint32_t> shards;
};

/**
 * Reads the section's `then.` keys and reports what is wrong or contradicts itself. Only the fleet's document may
 * set shards: they belong to the pool, and all entries must agree on them.
 */
RuleAction parseAction(SectionReader &section, DocumentScope scope);

} // namespace Sequoiausher
