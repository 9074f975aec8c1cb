#include "sequoiausher/transport/gateway/gatewayrules.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/coordination/rules/rulelist.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <fstream>
#include <sstream>
#include <vector>

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

/** Reports keys that only routers support, so that an operator does not rely on them at a gateway. */
struct RouterOnlyKey
{
    const char *key;
    bool isUsed;
};

std::vector<RouterOnlyKey> routerOnlyKeys(const Decision &decision)
{
    const RuleLimits &limits = decision.limits;
    return {{"then.rate_per_second", limits.ratePerSecond.has_value()},
            {"then.burst", limits.burst.has_value()},
            {"then.in_flight", limits.inFlight.has_value()},
            {"then.queue_length", limits.queueLength.has_value()},
            {"then.queue_time_ms", limits.queueTime.has_value()},
            {"then.retry_budget_percent", decision.retryBudgetPercent != Decision().retryBudgetPercent},
            {"then.claim", decision.claim != Decision().claim}};
}

void checkObeyed(const RuleList &list, const Rule &rule, Problems &problems)
{
    for (const RouterOnlyKey &one : routerOnlyKeys(rule.action.decision)) {
        if (one.isUsed) {
            Problem problem = problemOf(list, rule, Severity::Error);
            problem.key = one.key;
            problem.found = "a key that routers alone obey";
            problem.expected = "none: a gateway takes limits and the retry budget from its platform";
            addProblem(problems, problem);
        }
    }
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
        checkObeyed(list, rule, problems);
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
