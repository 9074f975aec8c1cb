#pragma once

// The ordered rules of one document. A RuleSet consists of such lists. A list does not change after it was read, so the
// sets before and after a change share the lists of all unchanged documents.
//
//     Problems problems;
//     const RuleList list = readRules(document, problems);
//     checkNames(list, names, problems);              // warnings, or errors if all documents are known

#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/coordination/rules/condition.h"
#include "sequoiausher/coordination/rules/ruleaction.h"
#include "sequoiausher/state/documents/document.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The fleet's rules document. */
inline constexpr std::string_view fleetRulesDocument = "rules/fleet";
/** The prefix of the names of the organisations' rules documents. */
inline constexpr std::string_view organisationRulesPrefix = "rules/organisation/";
/** The maximum number of rules in one document, bounded since unreachable rules are found by comparing all pairs. */
inline constexpr std::size_t maximumRules = 500;

/** The names that rules may refer to. */
struct RuleNames
{
    std::vector<std::string> pools;
    std::vector<std::string> organisations;
    /** The severity of a reference to an unknown name. */
    Severity severity = Severity::Warning;
};

/** One rule and its place in the document. */
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
    /** Empty for the fleet's rules. */
    OrganisationId organisation;
    std::vector<Rule> rules;
    /** Whether one of the rules matches every request, so that the fleet's rules after this list are never reached. */
    bool matchesEveryRequest = false;
};

using RuleListPointer = std::shared_ptr<const RuleList>;

/** Whether a document of that name holds rules. */
bool isRulesDocument(std::string_view name);

/** Reads the rules of a document and appends to problems. The list is complete only if no error was appended. */
RuleList readRules(const Document &document, Problems &problems);

/** Reports the pools and organisations that the list refers to and that are missing in names. */
void checkNames(const RuleList &list, const RuleNames &names, Problems &problems);

/** Returns a problem located at the rule. */
Problem problemOf(const RuleList &list, const Rule &rule, Severity severity);

} // namespace Sequoiausher
