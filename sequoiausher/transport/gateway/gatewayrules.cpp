#include "sequoiausher/transport/gateway/gatewayrules.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/coordination/rules/rulelist.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <fstream>
#include <sstream>

namespace Sequoiausher {

namespace {

/** Engines by the part of the prompt that they may have cached, all else by load. */
constexpr const char *builtInRules = "[rule engines]\n"
                                     "when.model = *\n"
                                     "then.pool = routed\n"
                                     "then.policy = least-loaded\n";

std::string contentOf(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        throw Error(Step::Rules, file, "cannot be read");
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

} // namespace

std::shared_ptr<const RuleSet> readGatewayRules(const std::string &file)
{
    const std::string body = file.empty() ? builtInRules : contentOf(file);
    const Document document{std::string(fleetRulesDocument), 1, body, false};
    Problems problems;
    const RuleNames names{{routedPool}, {}, Severity::Error};
    RuleList list = readRules(document, problems);
    for (const Rule &rule : list.rules) {
        if (!rule.action.decision.refusal && rule.action.decision.pool.value != routedPool) {
            Problem problem = problemOf(list, rule, Severity::Error);
            problem.key = "then.pool";
            problem.found = inQuotes(rule.action.decision.pool.value);
            problem.expected = "'routed': the configuration's route decides to which service a request may go";
            addProblem(problems, problem);
        }
    }
    throwOnErrors(Step::Rules, file.empty() ? "built-in rules" : file, problems);
    return makeRuleSet({std::make_shared<const RuleList>(std::move(list))}, problems);
}

} // namespace Sequoiausher
