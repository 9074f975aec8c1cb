#pragma once

// Reads the `then.` keys of a rule into a decision.
//
//     const RuleAction action = parseAction(section);

#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/coordination/rules/decision.h"

#include <optional>

namespace Sequoiausher {

/** The decision of a rule, and its priority if the rule sets one. */
struct RuleAction
{
    Decision decision;
    /** If absent, the request's class determines the priority. */
    std::optional<std::uint32_t> priority;
};

/** Reads the section's `then.` keys, and reports invalid values and combinations. */
RuleAction parseAction(SectionReader &section);

} // namespace Sequoiausher
