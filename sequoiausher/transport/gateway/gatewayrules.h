#pragma once

// The ordered rules of a gateway, from a file or built in.
//
//     const std::shared_ptr<const RuleSet> rules = readGatewayRules("deploy/rules.ini");

#include "sequoiausher/coordination/rules/ruleset.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/**
 * The rules in file; built-in ones where file is empty. The pool `routed` stands for the service to which the route of
 * the request leads; a rule cannot send it to another one.
 * @throws Error(Step::Rules or Step::Settings, file, ...) with every mistake.
 */
std::shared_ptr<const RuleSet> readGatewayRules(const std::string &file);

} // namespace Sequoiausher
