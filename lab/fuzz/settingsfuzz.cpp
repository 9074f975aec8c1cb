// Texts from operators and from the platform.

#include "lab/fuzz/fuzztargets.h"

#include "sequoiausher/protocol/settings/fleetcompiler.h"
#include "sequoiausher/protocol/settings/fleetdocuments.h"
#include "sequoiausher/protocol/settings/routersettings.h"

namespace Sequoiausher {

namespace {

/** Requests that rules of a corpus can tell apart. */
std::vector<RequestFacts> sampleFacts()
{
    RequestFacts chat;
    chat.organisation = OrganisationId{"kentekenlab"};
    chat.model = "plate-model";
    chat.path = "/v1/chat/completions";
    chat.method = "POST";
    chat.chatHash = 42;
    chat.promptBytes = 4000;
    chat.headers.push_back(RequestHeader{"x-trial", "yes"});
    RequestFacts service;
    service.organisation = OrganisationId{"armorique"};
    service.requestClass = RequestClass::Background;
    service.path = "/orders/1";
    service.method = "GET";
    service.wallTime = Millis{1700000000000};
    return {chat, service, RequestFacts{}};
}

void checkRuleSet(const RuleSet &rules)
{
    for (const RequestFacts &facts : sampleFacts()) {
        if (rules.decide(facts) != rules.explain(facts).decision) {
            throw FuzzFinding("rules decide otherwise than they explain");
        }
    }
}

void checkProblems(const Problems &problems)
{
    for (const Problem &problem : problems) {
        if (toText(problem).empty()) {
            throw FuzzFinding("a problem without a text");
        }
    }
}

} // namespace

void feedSettings(std::string_view bytes)
{
    Problems problems;
    const RouterSettings settings = parseRouterSettings(bytes, "router.ini", problems);
    checkProblems(problems);
    if (!hasErrors(problems)) {
        checkClaimParameters(settings.claims);
    }
}

void feedDocument(std::string_view bytes)
{
    const std::size_t end = std::min(bytes.find('\n'), bytes.size());
    const std::string_view body = bytes.substr(std::min(end + 1, bytes.size()));
    const Document document{std::string(bytes.substr(0, end)), 1, std::string(body), false};
    const DocumentSet set{{document.name, std::make_shared<const Document>(document)}};
    FleetCompiler compiler;
    const bool isRefused = compiler.check(set.begin()->second).has_value();
    Problems problems;
    parseFleetDocuments(set, Severity::Warning, problems);
    checkProblems(problems);
    const bool isCompiled = !compiler.checkTogether(set).has_value() && compiler.compiled() != nullptr;
    if (isRefused != hasErrors(problems) || isRefused == isCompiled) {
        throw FuzzFinding("the check of a document, its reading and its compilation disagree");
    }
}

void feedRules(std::string_view bytes)
{
    const Document document{std::string(fleetRulesDocument), 1, std::string(bytes), false};
    Problems problems;
    const std::shared_ptr<const RuleSet> rules = compileRules({document}, std::nullopt, problems);
    checkProblems(problems);
    if (hasErrors(problems) != hasErrors(checkRules(document)) || hasErrors(problems) == (rules != nullptr)) {
        throw FuzzFinding("the check of rules and their compilation disagree");
    }
    if (rules) {
        checkRuleSet(*rules);
    }
}

} // namespace Sequoiausher
