#include "sequoiausher/coordination/rules/ruleset.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

bool allHold(const Rule &rule, const RequestFacts &facts)
{
    return std::all_of(rule.conditions.begin(), rule.conditions.end(), [&](const Condition &condition) {
        return holds(condition, facts);
    });
}

/** Returns the priority if the rule sets none. Engines use it to decide which requests to shed. */
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
            verdict.expected = condition.writtenValue;
            verdict.found = describeFact(condition, facts);
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
    /** Returns the lists for requests of the organisation, in order. */
    std::vector<const RuleList *> listsFor(const OrganisationId &organisation) const
    {
        std::vector<const RuleList *> lists;
        const auto own = this->organisations.find(organisation);
        if (own != this->organisations.end()) {
            lists.push_back(own->second.get());
        }
        lists.push_back(this->fleet.get());
        return lists;
    }

    Decision completeDecision(const RuleList &list, const Rule &rule, const RequestFacts &facts) const
    {
        Decision decision = rule.action.decision;
        decision.document = list.document;
        decision.rule = rule.name;
        decision.priority = rule.action.priority.value_or(defaultPriority(facts.requestClass));
        return decision;
    }

    /** Warns of fleet rules for organisations whose own rules match every request: such rules are never reached. */
    void warnOfUnreachableFleetRules(Problems &problems) const
    {
        for (const Rule &rule : this->fleet->rules) {
            for (const Condition &condition : rule.conditions) {
                if (condition.kind == ConditionKind::Organisation && this->allMatchEveryRequest(condition.patterns)) {
                    Problem problem = problemOf(*this->fleet, rule, Severity::Warning);
                    problem.key = condition.key;
                    problem.found
                        = "a rule that no request reaches, since the organisation's own rules take all of them";
                    problem.expected = "it in the organisation's document";
                    addProblem(problems, std::move(problem));
                }
            }
        }
    }

    RuleListPointer fleet = std::make_shared<const RuleList>();
    std::unordered_map<OrganisationId, RuleListPointer> organisations;

private:
    bool allMatchEveryRequest(const std::vector<std::string> &names) const
    {
        return std::all_of(names.begin(), names.end(), [this](const std::string &name) {
            const auto own = this->organisations.find(OrganisationId{name});
            return own != this->organisations.end() && own->second->matchesEveryRequest;
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
                return this->d->completeDecision(*list, rule, facts);
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
                explanation.decision = this->d->completeDecision(*list, rule, facts);
                return explanation;
            }
        }
    }
    return explanation;
}

std::size_t RuleSet::size() const
{
    std::size_t rules = this->d->fleet->rules.size();
    for (const auto &own : this->d->organisations) {
        rules += own.second->rules.size();
    }
    return rules;
}

std::shared_ptr<const RuleSet> makeRuleSet(const std::vector<RuleListPointer> &lists, Problems &problems)
{
    auto compiled = std::make_unique<RuleSet::Private>();
    for (const RuleListPointer &list : lists) {
        if (list->organisation.empty()) {
            compiled->fleet = list;
        } else {
            compiled->organisations.insert_or_assign(list->organisation, list);
        }
    }
    compiled->warnOfUnreachableFleetRules(problems);
    return std::shared_ptr<const RuleSet>(new RuleSet(std::move(compiled)));
}

std::shared_ptr<const RuleSet>
compileRules(const std::vector<Document> &documents, const std::optional<RuleNames> &names, Problems &problems)
{
    std::vector<RuleListPointer> lists;
    Problems found;
    for (const Document &document : documents) {
        if (document.deleted || !isRulesDocument(document.name)) {
            continue;
        }
        lists.push_back(std::make_shared<const RuleList>(readRules(document, found)));
        if (names) {
            checkNames(*lists.back(), *names, found);
        }
    }
    std::shared_ptr<const RuleSet> rules = makeRuleSet(lists, found);
    problems.insert(problems.end(), found.begin(), found.end());
    return hasErrors(found) ? nullptr : rules;
}

Problems checkRules(const Document &document)
{
    Problems problems;
    readRules(document, problems);
    return problems;
}

} // namespace Sequoiausher
