#include "sequoiausher/coordination/rules/ruleset.h"

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/coordination/rules/condition.h"
#include "sequoiausher/coordination/rules/ruleaction.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::size_t maximumKeys = 64;
// Unreachable rules are found by comparing every alternative of a rule with those of each later rule: at most half the
// square of this number of comparisons. Without the bound, a document of 750 kB kept a router busy for half a minute:
// its heartbeats would stop whenever such rules were published.
constexpr std::size_t maximumAlternatives = 10000;

/** One rule with its place. */
struct Rule
{
    std::string name;
    std::size_t line = 0;
    std::vector<Condition> conditions;
    RuleAction action;
};

/** The rules of one document in order. */
struct RuleList
{
    std::string document;
    /** Empty for the fleet's. */
    OrganisationId organisation;
    std::vector<Rule> rules;
};

Problem problemOf(const RuleList &list, const Rule &rule, Severity severity)
{
    Problem problem;
    problem.severity = severity;
    problem.file = list.document;
    problem.line = rule.line;
    problem.section = "rule " + rule.name;
    return problem;
}

bool allHold(const Rule &rule, const RequestFacts &facts)
{
    return std::all_of(rule.conditions.begin(), rule.conditions.end(), [&](const Condition &condition) {
        return holds(condition, facts);
    });
}

/** Whether every request that meets later also meets earlier. */
bool hides(const Rule &earlier, const Rule &later)
{
    return std::all_of(earlier.conditions.begin(), earlier.conditions.end(), [&](const Condition &wide) {
        return alwaysHolds(wide)
            || std::any_of(later.conditions.begin(), later.conditions.end(), [&](const Condition &one) {
                   return covers(wide, one);
               });
    });
}

void warnOfHidden(const RuleList &list, Problems &problems)
{
    for (std::size_t later = 0; later < list.rules.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            if (!hides(list.rules[earlier], list.rules[later])) {
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
    if (section.section().entries.size() > maximumKeys) {
        section.report(std::to_string(section.section().entries.size()) + " keys",
                       "at most " + std::to_string(maximumKeys));
        return rule;
    }
    rule.action = parseAction(section);
    // Shares of different experiments must not depend on each other, so each salts them by its own name.
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
                   std::size_t most,
                   const std::string &what,
                   Problems &problems)
{
    Problem problem;
    problem.file = list.document;
    problem.found = std::to_string(count) + " " + what;
    problem.expected = "at most " + std::to_string(most);
    addProblem(problems, std::move(problem));
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
    if (alternativesOf(list) > maximumAlternatives) {
        reportTooMany(list, alternativesOf(list), maximumAlternatives, "alternatives over all rules", problems);
        return list;
    }
    warnOfHidden(list, problems);
    return list;
}

/** Reports names that nobody published. */
class NameCheck
{
public:
    NameCheck(const RuleNames &known, Problems &target) : names(known), problems(target)
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

/** The order in which shed work is told apart by engines where a rule sets no priority. */
std::uint32_t defaultPriority(RequestClass requestClass)
{
    constexpr std::uint32_t urgent = 1;
    constexpr std::uint32_t interactive = 4;
    constexpr std::uint32_t background = 8;
    switch (requestClass) {
    case RequestClass::Urgent:
        return urgent;
    case RequestClass::Interactive:
        return interactive;
    case RequestClass::Background:
        return background;
    }
    return interactive;
}

RuleVerdict verdictOf(const RuleList &list, const Rule &rule, const RequestFacts &facts)
{
    RuleVerdict verdict;
    verdict.document = list.document;
    verdict.rule = rule.name;
    for (const Condition &condition : rule.conditions) {
        if (!holds(condition, facts)) {
            verdict.key = condition.key;
            verdict.expected = condition.written;
            verdict.found = factText(condition, facts);
            return verdict;
        }
    }
    verdict.decides = true;
    return verdict;
}

} // namespace

class RuleSet::Private
{
public:
    /** The lists that speak of the request's organisation, in order. */
    std::vector<const RuleList *> listsFor(const OrganisationId &organisation) const
    {
        std::vector<const RuleList *> lists;
        const auto own = this->organisations.find(organisation);
        if (own != this->organisations.end()) {
            lists.push_back(&own->second);
        }
        lists.push_back(&this->fleet);
        return lists;
    }

    Decision complete(const RuleList &list, const Rule &rule, const RequestFacts &facts) const
    {
        Decision decision = rule.action.decision;
        decision.document = list.document;
        decision.rule = rule.name;
        decision.priority = rule.action.priority.value_or(defaultPriority(facts.requestClass));
        return decision;
    }

    /** A rule of the fleet for one organisation whose own document takes every request is never reached. */
    void warnOfHiddenByOrganisation(Problems &problems) const
    {
        for (const Rule &rule : this->fleet.rules) {
            for (const Condition &condition : rule.conditions) {
                if (condition.kind == ConditionKind::Organisation && this->takesAll(condition.patterns)) {
                    Problem problem = problemOf(this->fleet, rule, Severity::Warning);
                    problem.key = condition.key;
                    problem.found
                        = "a rule that no request reaches, since the organisation's own rules take all of them";
                    problem.expected = "it in the organisation's document";
                    addProblem(problems, std::move(problem));
                }
            }
        }
    }

    RuleList fleet;
    std::unordered_map<OrganisationId, RuleList> organisations;

private:
    bool takesAll(const std::vector<std::string> &names) const
    {
        return std::all_of(names.begin(), names.end(), [this](const std::string &name) {
            const auto own = this->organisations.find(OrganisationId{name});
            return own != this->organisations.end()
                && std::any_of(own->second.rules.begin(), own->second.rules.end(), [](const Rule &rule) {
                       return std::all_of(rule.conditions.begin(), rule.conditions.end(), alwaysHolds);
                   });
        });
    }
};

RuleSet::RuleSet(std::unique_ptr<Private> compiled) : d(std::move(compiled))
{
}

RuleSet::~RuleSet() = default;

std::optional<Decision> RuleSet::decide(const RequestFacts &facts) const
{
    for (const RuleList *list : this->d->listsFor(facts.organisation)) {
        for (const Rule &rule : list->rules) {
            if (allHold(rule, facts)) {
                return this->d->complete(*list, rule, facts);
            }
        }
    }
    return std::nullopt;
}

Explanation RuleSet::explain(const RequestFacts &facts) const
{
    Explanation explanation;
    for (const RuleList *list : this->d->listsFor(facts.organisation)) {
        for (const Rule &rule : list->rules) {
            explanation.verdicts.push_back(verdictOf(*list, rule, facts));
            if (explanation.verdicts.back().decides) {
                explanation.decision = this->d->complete(*list, rule, facts);
                return explanation;
            }
        }
    }
    return explanation;
}

std::size_t RuleSet::size() const
{
    std::size_t rules = this->d->fleet.rules.size();
    for (const auto &own : this->d->organisations) {
        rules += own.second.rules.size();
    }
    return rules;
}

bool isRulesDocument(std::string_view name)
{
    return name == fleetRulesDocument || name.starts_with(organisationRulesPrefix);
}

std::shared_ptr<const RuleSet>
compileRules(const std::vector<Document> &documents, const std::optional<RuleNames> &names, Problems &problems)
{
    auto compiled = std::make_unique<RuleSet::Private>();
    Problems found;
    for (const Document &document : documents) {
        if (document.deleted || !isRulesDocument(document.name)) {
            continue;
        }
        RuleList list = readRules(document, found);
        if (names) {
            NameCheck(*names, found).check(list);
        }
        if (list.organisation.empty()) {
            compiled->fleet = std::move(list);
        } else {
            const OrganisationId organisation = list.organisation;
            compiled->organisations.insert_or_assign(organisation, std::move(list));
        }
    }
    compiled->warnOfHiddenByOrganisation(found);
    problems.insert(problems.end(), found.begin(), found.end());
    if (hasErrors(found)) {
        return nullptr;
    }
    return std::shared_ptr<const RuleSet>(new RuleSet(std::move(compiled)));
}

Problems checkRules(const Document &document)
{
    Problems problems;
    readRules(document, problems);
    return problems;
}

} // namespace Sequoiausher
