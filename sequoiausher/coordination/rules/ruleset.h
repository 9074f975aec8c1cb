#pragma once

// The ordered rules of the fleet and of every organisation, compiled from their documents into one immutable set. The
// first rule whose conditions all hold decides; the rules of the request's organisation come before the fleet's.
//
//     Problems problems;
//     const std::shared_ptr<const RuleSet> rules = compileRules(documents, std::nullopt, problems);
//     if (!rules) { ... }                            // refused: the last good set stays in force
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
// What is wrong in a document is an error, and is judged by that document alone, so that every router judges the same
// way in whatever order documents reach it, and one organisation's mistake need not hold up the others. A rule that no
// request reaches is a warning. Pools and organisations that are not known are warnings in a router, which may hear of
// them later; `sequoiausher check`, which sees all documents, makes them errors.
//
// Thread-safe: nothing in a set changes after it was compiled.

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

/** What one rule made of a request. */
struct RuleVerdict
{
    std::string document;
    std::string rule;
    /** Every condition holds: this rule decides. */
    bool decides = false;
    /** Else the first condition that fails: its key, its value as written, and what the request has. */
    std::string key;
    std::string expected;
    std::string found;

    bool operator==(const RuleVerdict &) const = default;
};

/** Why a request is decided as it is. */
struct Explanation
{
    /** In order, up to the rule that decides. */
    std::vector<RuleVerdict> verdicts;
    std::optional<Decision> decision;
};

/** The rules in force. */
class RuleSet
{
public:
    ~RuleSet();
    RuleSet(const RuleSet &) = delete;
    RuleSet &operator=(const RuleSet &) = delete;

    /** What the first rule whose conditions hold says; none where no rule's do: the request is answered 404. */
    std::optional<Decision> decide(const RequestFacts &facts) const;

    /** The same decision with the way to it. */
    Explanation explain(const RequestFacts &facts) const;

    /** How many rules it has over all documents. */
    std::size_t size() const;

private:
    class Private;
    explicit RuleSet(std::unique_ptr<Private> compiled);
    std::unique_ptr<Private> d;

    friend std::shared_ptr<const RuleSet> makeRuleSet(const std::vector<RuleListPointer> &lists, Problems &problems);
};

/**
 * The set of these lists, none of which holds an error, at most one of each document. They are shared, not copied: a
 * set in which one list is new costs a look at each list, not at each rule. Appends to problems a warning for each rule
 * of the fleet that the organisations' own rules hide.
 */
std::shared_ptr<const RuleSet> makeRuleSet(const std::vector<RuleListPointer> &lists, Problems &problems);

/**
 * Compiles the rules documents among documents; others and deleted ones are passed over, and their order does not
 * matter. Appends what is wrong to problems.
 * @param names the known names; absent: any name may be spoken of.
 * @return null where a document has an error.
 */
std::shared_ptr<const RuleSet>
compileRules(const std::vector<Document> &documents, const std::optional<RuleNames> &names, Problems &problems);

/** What is wrong with one rules document, taken by itself; a document without errors never spoils a set. */
Problems checkRules(const Document &document);

} // namespace Sequoiausher
