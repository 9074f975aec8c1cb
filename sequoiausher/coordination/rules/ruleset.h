#pragma once

// The ordered rules of the fleet and of every organisation, compiled from their documents into one immutable set. The
// first rule whose conditions all hold decides; the rules of the request's organisation come before the fleet's.
//
//     Problems problems;
//     const std::shared_ptr<const RuleSet> rules = compileRules(documents, std::nullopt, problems);
//     if (!rules) { ... }                            // invalid: the previous set remains in use
//     const std::optional<Decision> decision = rules->decide(facts);
//
// A document:
//
//     [rule plates-trial]
//     when.model = plate-model
//     when.chat_share = 0-49
//     then.pool = plate-model
//     then.experiment = bound
//     then.arm = tight
//
// Errors depend on a single document only. So every router accepts the same documents, in whatever order it receives
// them, and a mistake of one organisation does not block the others. A rule that no request reaches is a warning.
// Unknown pools and organisations are warnings in a router, which may receive their documents later, and errors in
// `sequoiausher check`, which has all documents.
//
// Thread-safe: a set does not change after it was compiled.

#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/coordination/rules/decision.h"
#include "sequoiausher/coordination/rules/requestfacts.h"
#include "sequoiausher/coordination/rules/rulelist.h"
#include "sequoiausher/state/documents/document.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The result of matching one rule against a request. */
struct RuleVerdict
{
    std::string document;
    std::string rule;
    /** Whether all conditions hold, so that this rule decides. */
    bool decides = false;
    /** Otherwise the first condition that does not hold: its key, its value as written, and the request's value. */
    std::string key;
    std::string expected;
    std::string found;

    bool operator==(const RuleVerdict &) const = default;
};

/** How the decision for a request was reached. */
struct Explanation
{
    /** The rules in order, up to the one that decides. */
    std::vector<RuleVerdict> verdicts;
    std::optional<Decision> decision;
};

/** The rules of all documents. */
class RuleSet
{
public:
    ~RuleSet();
    RuleSet(const RuleSet &) = delete;
    RuleSet &operator=(const RuleSet &) = delete;

    /** Returns the decision of the first rule whose conditions hold. Without one, the request is answered with 404. */
    std::optional<Decision> decide(const RequestFacts &facts) const;

    /** Returns the decision of decide() and the rules that led to it. */
    Explanation explain(const RequestFacts &facts) const;

    /** Returns the number of rules in all documents. */
    std::size_t size() const;

private:
    class Private;
    explicit RuleSet(std::unique_ptr<Private> compiled);
    std::unique_ptr<Private> d;

    friend std::shared_ptr<const RuleSet> makeRuleSet(const std::vector<RuleListPointer> &lists, Problems &problems);
};

/**
 * Makes a set of lists that have no errors, at most one for each document. The lists are shared, not copied, so a set
 * with one new list takes time for each list and each rule of the fleet, not for each rule of the organisations.
 * Appends to problems a warning for each rule of the fleet that no request reaches because of the organisations' own
 * rules.
 */
std::shared_ptr<const RuleSet> makeRuleSet(const std::vector<RuleListPointer> &lists, Problems &problems);

/**
 * Compiles the rules documents among documents, in any order; other and deleted documents are ignored. Appends errors
 * and warnings to problems.
 * @param names the known names; if absent, rules may refer to any name.
 * @return nullptr if a document has an error.
 */
std::shared_ptr<const RuleSet>
compileRules(const std::vector<Document> &documents, const std::optional<RuleNames> &names, Problems &problems);

/** Returns the problems of a single rules document. A document without errors never makes a set invalid. */
Problems checkRules(const Document &document);

} // namespace Sequoiausher
