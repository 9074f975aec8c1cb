#include "sequoiausher/protocol/settings/fleetcompiler.h"

#include "sequoiausher/protocol/settings/fleetdocuments.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::string_view refusingRule = "[rule refused-document]\n"
                                          "then.refuse = 503\n"
                                          "then.refuse_text = the rules are refused and no earlier ones are known\n"
                                          "then.retry_after_s = 5\n";

using ParsedPointer = std::shared_ptr<const ParsedDocument>;

/** A document and what was read of it. */
struct Part
{
    DocumentPointer document;
    ParsedPointer parsed;
    /** Names in its rules that no document lists; absent where that was not looked for. */
    std::optional<Problems> unknownNames;
};

using Parts = std::map<std::string, Part>;

// Where no document lists any; one object each, so that a list that is still missing counts as unchanged.
const auto noInstances = std::make_shared<const std::vector<InstanceDescription>>();
const auto noOrganisations = std::make_shared<const std::vector<OrganisationDescription>>();

/** A set while it is compiled. */
struct Compilation
{
    Parts parts;
    std::shared_ptr<const std::vector<OrganisationDescription>> organisations = noOrganisations;
    std::vector<RuleListPointer> lists;
    /** Rules of the fleet that organisations' rules hide. */
    Problems hiddenRules;
    FleetConfiguration fleet{noInstances, nullptr, {}, nullptr};
    /** Of documents other than rules, then of rules: each is bounded by itself. */
    Problems problems;
    Problems ruleProblems;
};

std::optional<Error> errorOf(const Problems &problems)
{
    const auto firstError = std::find_if(
        problems.begin(), problems.end(), [](const Problem &problem) { return problem.severity == Severity::Error; });
    if (firstError == problems.end()) {
        return std::nullopt;
    }
    return ProblemsError(Step::Rules, firstError->file, problems);
}

void addProblems(Problems &problems, const Problems &more)
{
    for (const Problem &problem : more) {
        addProblem(problems, problem);
    }
}

template<typename Data>
void shareEqual(std::shared_ptr<const Data> &fresh, const std::shared_ptr<const Data> &earlier)
{
    if (fresh && earlier && *fresh == *earlier) {
        fresh = earlier;
    }
}

std::vector<std::string> poolNames(const FleetConfiguration &fleet)
{
    std::vector<std::string> names;
    for (const auto &pool : fleet.pools) {
        names.push_back(pool->pool.value);
    }
    return names;
}

} // namespace

class FleetCompiler::Private
{
public:
    Part partOf(const DocumentPointer &document) const;
    ParsedPointer parse(const Document &document) const;
    void gather(const DocumentSet &candidate, Compilation &set) const;
    void takeOrganisations(Compilation &set) const;
    RuleNames namesOf(const Compilation &set) const;
    void checkRuleNames(const RuleNames &names, Compilation &set) const;
    void takeRules(Compilation &set) const;

    /** The parts of the last good set. */
    Parts inForce;
    /** Good documents that were judged since, the last one of each name. */
    Parts judged;
    std::shared_ptr<const std::vector<OrganisationDescription>> organisations = noOrganisations;
    RuleNames names;
    std::vector<RuleListPointer> lists;
    Problems hiddenRules;
    std::shared_ptr<const FleetConfiguration> compiled;
    Problems warnings;
};

FleetCompiler::FleetCompiler() : d(std::make_unique<Private>())
{
}

FleetCompiler::~FleetCompiler() = default;

// A list that says the same as before keeps its pointer, so that a new comment tells no decision anything.
ParsedPointer FleetCompiler::Private::parse(const Document &document) const
{
    ParsedDocument parsed = parseDocument(document);
    const auto earlier = this->inForce.find(document.name);
    if (earlier != this->inForce.end()) {
        shareEqual(parsed.instances, earlier->second.parsed->instances);
        shareEqual(parsed.organisations, earlier->second.parsed->organisations);
        shareEqual(parsed.pool, earlier->second.parsed->pool);
    }
    return std::make_shared<const ParsedDocument>(std::move(parsed));
}

// By the text, not by the revision: a last good revision and a stand-in are made anew for each offer.
Part FleetCompiler::Private::partOf(const DocumentPointer &document) const
{
    for (const Parts *parts : {&this->inForce, &this->judged}) {
        const auto known = parts->find(document->name);
        if (known == parts->end()) {
            continue;
        }
        const Part &part = known->second;
        if (part.document == document || part.document->body == document->body) {
            return Part{document, part.parsed, part.unknownNames};
        }
    }
    return Part{document, this->parse(*document), std::nullopt};
}

std::optional<Error> FleetCompiler::check(const DocumentPointer &document)
{
    Part part = this->d->partOf(document);
    if (hasErrors(part.parsed->problems)) {
        // With all that can be said of the set of this document alone, as `sequoiausher check` says it.
        Problems problems;
        parseFleetDocuments(DocumentSet{{document->name, document}}, Severity::Warning, problems);
        return errorOf(problems);
    }
    // Which names were unknown holds for the set in force alone, from which partOf() takes it.
    part.unknownNames.reset();
    this->d->judged.insert_or_assign(document->name, std::move(part));
    return std::nullopt;
}

void FleetCompiler::Private::gather(const DocumentSet &candidate, Compilation &set) const
{
    for (const auto &[name, document] : candidate) {
        const auto placed = set.parts.emplace_hint(set.parts.end(), name, this->partOf(document));
        const ParsedDocument &parsed = *placed->second.parsed;
        if (parsed.instances) {
            set.fleet.instances = parsed.instances;
        } else if (parsed.organisations) {
            set.organisations = parsed.organisations;
        } else if (parsed.pool) {
            set.fleet.pools.push_back(parsed.pool);
        }
        if (parsed.rules) {
            set.lists.push_back(parsed.rules);
        } else {
            addProblems(set.problems, parsed.problems);
        }
    }
}

void FleetCompiler::Private::takeOrganisations(Compilation &set) const
{
    if (this->compiled && set.organisations == this->organisations) {
        set.fleet.organisations = this->compiled->organisations;
        return;
    }
    auto byKey = std::make_shared<OrganisationsByKey>();
    for (const OrganisationDescription &row : *set.organisations) {
        byKey->insert_or_assign(row.keySha256, row.organisation);
    }
    set.fleet.organisations = std::move(byKey);
}

RuleNames FleetCompiler::Private::namesOf(const Compilation &set) const
{
    RuleNames all{poolNames(set.fleet), {}, Severity::Warning};
    if (this->compiled && set.organisations == this->organisations) {
        all.organisations = this->names.organisations;
        return all;
    }
    for (const OrganisationDescription &row : *set.organisations) {
        all.organisations.push_back(row.organisation.value);
    }
    return all;
}

// A list of rules is asked again for unknown names only where the list or the names changed. Lists behind the bound of
// problems are not asked at all: looking for the nearest name of each would cost more than the rest together.
void FleetCompiler::Private::checkRuleNames(const RuleNames &known, Compilation &set) const
{
    const bool sameNames
        = this->compiled && known.pools == this->names.pools && known.organisations == this->names.organisations;
    for (auto &entry : set.parts) {
        Part &part = entry.second;
        if (!part.parsed->rules) {
            continue;
        }
        if (!sameNames) {
            part.unknownNames.reset();
        }
        addProblems(set.ruleProblems, part.parsed->problems);
        if (!part.unknownNames && hasRoom(set.ruleProblems, Severity::Warning)) {
            part.unknownNames.emplace();
            checkNames(*part.parsed->rules, known, *part.unknownNames);
        }
        if (part.unknownNames) {
            addProblems(set.ruleProblems, *part.unknownNames);
        }
    }
}

void FleetCompiler::Private::takeRules(Compilation &set) const
{
    if (this->compiled && set.lists == this->lists) {
        set.fleet.rules = this->compiled->rules;
        set.hiddenRules = this->hiddenRules;
    } else {
        set.fleet.rules = makeRuleSet(set.lists, set.hiddenRules);
    }
    addProblems(set.ruleProblems, set.hiddenRules);
}

std::optional<Error> FleetCompiler::checkTogether(const DocumentSet &candidate)
{
    Compilation set;
    this->d->gather(candidate, set);
    this->d->takeOrganisations(set);
    RuleNames names = this->d->namesOf(set);
    this->d->checkRuleNames(names, set);
    this->d->takeRules(set);
    set.problems.insert(set.problems.end(), set.ruleProblems.begin(), set.ruleProblems.end());
    if (auto error = errorOf(set.problems)) {
        return error;
    }
    this->d->compiled = std::make_shared<const FleetConfiguration>(std::move(set.fleet));
    this->d->warnings = std::move(set.problems);
    this->d->inForce = std::move(set.parts);
    this->d->judged.clear();
    this->d->organisations = std::move(set.organisations);
    this->d->names = std::move(names);
    this->d->lists = std::move(set.lists);
    this->d->hiddenRules = std::move(set.hiddenRules);
    return std::nullopt;
}

StandIn FleetCompiler::standIn(const std::string &name) const
{
    if (name == instancesDocumentName || name == organisationsDocumentName) {
        return {StandInKind::WaitForGood, {}};
    }
    if (isRulesDocument(name)) {
        return {StandInKind::Replace, std::string(refusingRule)};
    }
    return {StandInKind::LeaveOut, {}};
}

std::shared_ptr<const FleetConfiguration> FleetCompiler::compiled() const
{
    return this->d->compiled;
}

const Problems &FleetCompiler::warnings() const
{
    return this->d->warnings;
}

} // namespace Sequoiausher
