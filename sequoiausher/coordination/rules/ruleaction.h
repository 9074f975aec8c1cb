#pragma once

// The `then.` keys of a rule, read into the decision that the rule gives.
//
//     const RuleAction action = parseAction(section);

#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/coordination/rules/decision.h"

#include <optional>

namespace Sequoiausher {

/** A decision, and what of it the rule left open. */
struct RuleAction
{
    Decision decision;
    /** Absent: by the request's class. */
    std::optional<std::uint32_t> priority;
};

/** Reads the section's `then.` keys and reports what is wrong or contradicts itself. */
RuleAction parseAction(SectionReader &section);

} // namespace Sequoiausher
