#include "sequoiausher/coordination/rules/rulelist.h"

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/inireader.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::size_t maxKeysPerRule = 64;
// Bounds the search for unreachable rules, which compares each alternative of a rule with those of each later rule: at
// most half the square of this number of comparisons. Without the bound, a document of 750 kB kept a router busy for
// half a minute, so its heartbeats would have stopped whenever such rules were published.
constexpr std::size_t maxAlternativesPerDocument = 10000;

/** Whether every request that matches later also matches earlier. */
bool shadows(const Rule &earlier, const Rule &later)
{
    return std::all_of(earlier.conditions.begin(), earlier.conditions.end(), [&](const Condition &wide) {
        return alwaysHolds(wide)
            || std::any_of(later.conditions.begin(), later.conditions.end(), [&](const Condition &one) {
                   return covers(wide, one);
               });
    });
}

void warnOfUnreachableRules(const RuleList &list, Problems &problems)
{
    for (std::size_t later = 0; later < list.rules.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            if (!shadows(list.rules[earlier], list.rules[later])) {
                continue;
            }
            Problem problem = problemOf(list, list.rules[later], Severity::Warning);
            problem.found = "a rule that no request reaches, since [rule " + list.rules[earlier].name + "] in line "
                + std::to_string(list.rules[earlier].line) + " takes all of them";
            problem.expected = "it before that rule";
            addProblem(problems, std::move(problem));
            break;
        }
    }
}

Rule readRule(SectionReader &section, bool ofOrganisation)
{
    Rule rule;
    rule.name = nameOfSection(section.section());
    rule.line = section.section().line;
    if (section.section().entries.size() > maxKeysPerRule) {
        section.report(std::to_string(section.section().entries.size()) + " keys",
                       "at most " + std::to_string(maxKeysPerRule));
        return rule;
    }
    rule.action = parseAction(section);
    // Shares of different experiments must be independent of each other, so the salt is the experiment's name.
    rule.conditions = parseConditions(section, rule.action.decision.experiment);
    const IniEntry *organisation = section.entry("when.organisation");
    if (ofOrganisation && organisation != nullptr) {
        section.report(*organisation, "no when.organisation, since the document is one organisation's");
    }
    section.finish();
    return rule;
}

std::size_t alternativesOf(const RuleList &list)
{
    std::size_t alternatives = 0;
    for (const Rule &rule : list.rules) {
        for (const Condition &condition : rule.conditions) {
            alternatives += condition.patterns.size() + condition.ranges.size();
        }
    }
    return alternatives;
}

void reportTooMany(const RuleList &list,
                   std::size_t count,
                   std::size_t maximum,
                   const std::string &what,
                   Problems &problems)
{
    Problem problem;
    problem.file = list.document;
    problem.found = std::to_string(count) + " " + what;
    problem.expected = "at most " + std::to_string(maximum);
    addProblem(problems, std::move(problem));
}

/** Reports references to unknown pools and organisations. */
class NameChecker
{
public:
    NameChecker(const RuleNames &known, Problems &target) : names(known), problems(target)
    {
    }

    void check(const RuleList &list)
    {
        if (!list.organisation.empty()) {
            this->require(list, nullptr, "", list.organisation.value, this->names.organisations, "organisation");
        }
        for (const Rule &rule : list.rules) {
            this->check(list, rule);
        }
    }

private:
    void check(const RuleList &list, const Rule &rule)
    {
        if (!rule.action.decision.refusal) {
            this->require(list, &rule, "then.pool", rule.action.decision.pool.value, this->names.pools, "pool");
        }
        for (const Condition &condition : rule.conditions) {
            if (condition.key.starts_with("when.pool.")) {
                this->require(list, &rule, condition.key, condition.qualifier, this->names.pools, "pool");
            }
            if (condition.kind != ConditionKind::Organisation) {
                continue;
            }
            for (const std::string &pattern : condition.patterns) {
                if (!pattern.ends_with('*')) {
                    this->require(list, &rule, condition.key, pattern, this->names.organisations, "organisation");
                }
            }
        }
    }

    void require(const RuleList &list,
                 const Rule *rule,
                 const std::string &key,
                 const std::string &name,
                 const std::vector<std::string> &known,
                 const std::string &what)
    {
        if (std::find(known.begin(), known.end(), name) != known.end()
            || !hasRoom(this->problems, this->names.severity)) {
            return;
        }
        Problem problem = problemOf(list, rule == nullptr ? Rule{} : *rule, this->names.severity);
        problem.section = rule == nullptr ? "" : problem.section;
        problem.key = key;
        problem.found = "the unknown " + what + " " + inQuotes(name);
        problem.expected
            = what == "pool" ? "a pool with a document targets/POOL" : "one in the document 'organisations'";
        problem.nearest = nearestName(name, known);
        addProblem(this->problems, std::move(problem));
    }

    const RuleNames &names;
    Problems &problems;
};

} // namespace

Problem problemOf(const RuleList &list, const Rule &rule, Severity severity)
{
    Problem problem;
    problem.severity = severity;
    problem.file = list.document;
    problem.line = rule.line;
    problem.section = "rule " + rule.name;
    return problem;
}

RuleList readRules(const Document &document, Problems &problems)
{
    RuleList list;
    list.document = document.name;
    if (document.name.starts_with(organisationRulesPrefix)) {
        list.organisation.value = document.name.substr(organisationRulesPrefix.size());
        if (!isPlainName(list.organisation.value)) {
            addProblem(
                problems,
                {Severity::Error, document.name, 0, 0, "", "", "the document's name", "rules/organisation/NAME", ""});
        }
    }
    const IniDocument ini = parseIni(document.body, document.name, problems);
    IniReader reader(ini, problems);
    std::vector<SectionReader> sections = reader.sectionsOf("rule");
    reader.finish();
    if (sections.size() > maximumRules) {
        reportTooMany(list, sections.size(), maximumRules, "rules", problems);
        return list;
    }
    for (SectionReader &section : sections) {
        list.rules.push_back(readRule(section, !list.organisation.empty()));
    }
    list.matchesEveryRequest = std::any_of(list.rules.begin(), list.rules.end(), [](const Rule &rule) {
        return std::all_of(rule.conditions.begin(), rule.conditions.end(), alwaysHolds);
    });
    if (alternativesOf(list) > maxAlternativesPerDocument) {
        reportTooMany(list, alternativesOf(list), maxAlternativesPerDocument, "alternatives over all rules", problems);
        return list;
    }
    warnOfUnreachableRules(list, problems);
    return list;
}

void checkNames(const RuleList &list, const RuleNames &names, Problems &problems)
{
    NameChecker(names, problems).check(list);
}

bool isRulesDocument(std::string_view name)
{
    return name == fleetRulesDocument || name.starts_with(organisationRulesPrefix);
}

} // namespace Sequoiausher
