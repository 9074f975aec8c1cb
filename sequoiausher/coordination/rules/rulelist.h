#pragma once

// The ordered rules of one document, read by itself: what a RuleSet is made of. A list does not change once it is read,
// so the sets before and after a change share the lists of all documents that stayed.
//
//     Problems problems;
//     const RuleList list = readRules(document, problems);
//     checkNames(list, names, problems);              // warnings, or errors where all documents are at hand

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
/** What the names of the organisations' rules documents start with. */
inline constexpr std::string_view organisationRulesPrefix = "rules/organisation/";
/** The most rules in one document: unreachable ones are found by comparing them in pairs. */
inline constexpr std::size_t maximumRules = 500;

/** The names that rules may speak of, where they are known. */
struct RuleNames
{
    std::vector<std::string> pools;
    std::vector<std::string> organisations;
    /** How heavy it is to speak of another. */
    Severity severity = Severity::Warning;
};

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
    /** Some rule's conditions are met by every request, so the fleet's rules are never asked after these. */
    bool matchesEveryRequest = false;
};

using RuleListPointer = std::shared_ptr<const RuleList>;

/** Whether a document of that name holds rules. */
bool isRulesDocument(std::string_view name);

/** Reads the rules of a document; whole only where problems then holds no error. */
RuleList readRules(const Document &document, Problems &problems);

/** Reports the pools and organisations of which the list speaks and that names lacks. */
void checkNames(const RuleList &list, const RuleNames &names, Problems &problems);

/** A problem with the place of a rule, or of the whole document where rule has no name. */
Problem problemOf(const RuleList &list, const Rule &rule, Severity severity);

} // namespace Sequoiausher
