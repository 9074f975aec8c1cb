#include "sequoiausher/protocol/settings/fleetcompiler.h"

#include "sequoiausher/protocol/settings/fleetdocuments.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

/** Judges and compiles everything anew each time, and remembers nothing but the set in force. */
class NaiveConfiguration
{
public:
    void offer(const DocumentTable &table)
    {
        DocumentSet candidate;
        std::string first;
        bool waits = false;
        for (const DocumentVersion &version : table.versions()) {
            const DocumentPointer document = table.find(version.name);
            if (isLastGoodName(version.name) || document->deleted) {
                continue;
            }
            const std::string error = errorIn(DocumentSet{{version.name, document}});
            if (error.empty()) {
                candidate[version.name] = document;
                continue;
            }
            first = first.empty() ? error : first;
            waits = this->takeLastGood(version.name, table, candidate) || waits;
        }
        this->refusal = first;
        if (!waits) {
            REQUIRE(errorIn(candidate).empty());
            this->inForce = std::move(candidate);
            this->accepted = true;
        }
    }

    DocumentSet inForce;
    std::string refusal;
    bool accepted = false;

private:
    static std::string errorIn(const DocumentSet &set)
    {
        Problems problems;
        parseFleetDocuments(set, Severity::Warning, problems);
        const auto error = std::find_if(
            problems.begin(), problems.end(), [](const Problem &each) { return each.severity == Severity::Error; });
        return error == problems.end() ? "" : ProblemsError(Step::Rules, error->file, problems).what();
    }

    /** @return whether the set has to wait for a good revision. */
    bool takeLastGood(const std::string &name, const DocumentTable &table, DocumentSet &candidate) const
    {
        const auto own = this->inForce.find(name);
        DocumentPointer best = own != this->inForce.end() && own->second->revision > 0 ? own->second : nullptr;
        const DocumentPointer handed = table.find(lastGoodName(name));
        if (handed && !handed->deleted && (!best || handed->revision > best->revision)) {
            const auto renamed
                = std::make_shared<const Document>(Document{name, handed->revision, handed->body, false});
            best = errorIn(DocumentSet{{name, renamed}}).empty() ? renamed : best;
        }
        const StandIn standIn = FleetCompiler().standIn(name);
        if (!best && standIn.kind == StandInKind::Replace) {
            best = std::make_shared<const Document>(Document{name, 0, standIn.body, false});
        }
        if (best) {
            candidate[name] = best;
        }
        return !best && standIn.kind == StandInKind::WaitForGood;
    }
};

std::string rulesToUnknownPools()
{
    std::string body;
    for (int i = 0; i < 120; ++i) {
        const std::string number = std::to_string(i);
        body.append("[rule u").append(number).append("]\nwhen.prompt_bytes = ").append(number);
        body.append("\nthen.pool = unknown-").append(number).append("\n");
    }
    return body;
}

std::vector<std::string> namesUsed()
{
    return {"instances",
            "organisations",
            "targets/p",
            "targets/q",
            "rules/fleet",
            "rules/organisation/a",
            "rules/organisation/b",
            "unused"};
}

std::string instancesText(const std::string &port)
{
    return "[instance r1]\naddress = 1.2.3.4:1\npeer_address = 1.2.3.4:" + port + "\ndata_centre = a\n";
}

std::vector<std::string> instanceTexts()
{
    return {instancesText("2"), instancesText("3"), "; a comment\n" + instancesText("2"), "", "[instance r1]\n"};
}

std::vector<std::string> organisationTexts()
{
    const std::string a = "[organisation a]\nkey_sha256 = " + std::string(64, 'a') + "\n";
    const std::string b = "[organisation b]\nkey_sha256 = " + std::string(64, 'b') + "\n";
    const std::string c = "[organisation bb]\nkey_sha256 = " + std::string(64, 'b') + "\n";
    return {a, a + b, b + a, a + c, "# only a comment\n" + a, a + "key = unknown\n"};
}

std::vector<std::string> poolTexts()
{
    const std::string head = "[pool]\nkind = service\n";
    const std::string one = "[target t1]\naddress = 1.2.3.4:1\ndata_centre = a\n";
    const std::string two = "[target t2]\naddress = 1.2.3.4:2\ndata_centre = a\n";
    return {head, head + one, head + one + two, head + two + one, "; new\n" + head + one, head + one + one, "[pool]\n"};
}

std::vector<std::string> ruleTexts()
{
    const std::string forA = "[rule for-a]\nwhen.organisation = a\nthen.pool = q\n";
    const std::string forBoth = "[rule for-both]\nwhen.organisation = a, b\nthen.pool = p\n";
    return {"[rule one]\nwhen.model = m\nthen.pool = p\n",
            "[rule two]\nwhen.class = urgent\nthen.pool = q\n[rule rest]\nthen.pool = p\n",
            "[rule all]\nthen.pool = p\n[rule hidden]\nwhen.model = m\nthen.pool = q\n",
            "[rule of-pool]\nwhen.pool.q.targets = >=1\nthen.pool = pp\n",
            forA + forBoth,
            "[rule for-c]\nwhen.organisation = c*, bc\nthen.pool = r\n",
            rulesToUnknownPools(),
            "[rule bad]\nthen.poll = p\n",
            "not a rule",
            "[rule misled]\nthen.pool = nowhere\nthen.priority = 10\n"};
}

std::vector<std::string> textsFor(const std::string &name)
{
    if (name == "instances") {
        return instanceTexts();
    }
    if (name == "organisations") {
        return organisationTexts();
    }
    return name.starts_with("targets/") ? poolTexts() : ruleTexts();
}

/** A text for name at revision, or its deletion. */
Document arbitraryDocument(const std::string &name, Revision revision)
{
    if (*rc::gen::inRange(0, 8) == 0) {
        return {name, revision, "", true};
    }
    return {name, revision, *rc::gen::elementOf(textsFor(name)), false};
}

/** What another router kept of name: older than the newest revision, since that was refused there. */
Document arbitraryLastGood(const std::string &name, Revision newest)
{
    return {lastGoodName(name), newest - 1, *rc::gen::elementOf(textsFor(name)), false};
}

std::vector<std::string> textsOf(const Problems &problems)
{
    std::vector<std::string> texts;
    for (const Problem &problem : problems) {
        texts.push_back(toText(problem));
    }
    return texts;
}

std::vector<RequestFacts> someFacts()
{
    std::vector<RequestFacts> all;
    for (const std::string organisation : {"", "a", "b", "bc"}) {
        for (const std::string model : {"", "m"}) {
            for (const RequestClass requestClass : {RequestClass::Urgent, RequestClass::Background}) {
                RequestFacts facts;
                facts.organisation.value = organisation;
                facts.model = model;
                facts.requestClass = requestClass;
                facts.promptBytes = 7;
                all.push_back(facts);
            }
        }
    }
    return all;
}

void requireSameRules(const RuleSet &rules, const RuleSet &naive)
{
    RC_ASSERT(rules.size() == naive.size());
    for (const RequestFacts &facts : someFacts()) {
        const Explanation own = rules.explain(facts);
        const Explanation expected = naive.explain(facts);
        RC_ASSERT(own.verdicts == expected.verdicts);
        RC_ASSERT(own.decision == expected.decision);
    }
}

void requireSameFleet(const FleetCompiler &compiler, const DocumentSet &documents)
{
    Problems problems;
    const FleetDocuments naive = parseFleetDocuments(documents, Severity::Warning, problems);
    const std::shared_ptr<const FleetConfiguration> fleet = compiler.compiled();
    RC_ASSERT(fleet != nullptr);
    RC_ASSERT(textsOf(compiler.warnings()) == textsOf(problems));
    RC_ASSERT(*fleet->instances == naive.instances);
    RC_ASSERT(fleet->organisations->size() == naive.organisations.size());
    for (const OrganisationDescription &row : naive.organisations) {
        RC_ASSERT(fleet->organisationOf(row.keySha256) == row.organisation);
    }
    RC_ASSERT(fleet->pools.size() == naive.pools.size());
    for (std::size_t i = 0; i < naive.pools.size(); ++i) {
        RC_ASSERT(*fleet->pools[i] == naive.pools[i]);
    }
    requireSameRules(*fleet->rules, *naive.rules);
}

void requireSame(const ConfigurationState &state, const FleetCompiler &compiler, const NaiveConfiguration &naive)
{
    RC_ASSERT((state.refusal() ? state.refusal()->what() : std::string()) == naive.refusal);
    RC_ASSERT((state.inForce() != nullptr) == naive.accepted);
    if (!naive.accepted) {
        return;
    }
    const DocumentSet &documents = *state.inForce()->documents;
    RC_ASSERT(documents.size() == naive.inForce.size());
    for (const auto &[name, document] : naive.inForce) {
        RC_ASSERT(documents.count(name) == 1);
        RC_ASSERT(*documents.at(name) == *document);
    }
    requireSameFleet(compiler, naive.inForce);
}

void learnGoodStart(DocumentTable &table)
{
    table.learn({"instances", 1, instanceTexts()[0], false});
    table.learn({"organisations", 2, organisationTexts()[1], false});
    table.learn({"targets/p", 3, poolTexts()[1], false});
    table.learn({"rules/fleet", 4, ruleTexts()[1], false});
    table.learn({"rules/organisation/a", 5, ruleTexts()[0], false});
}

} // namespace

TEST_CASE("changes one by one give what compiling everything anew gives")
{
    // Symptom: a router that has run for a while decides otherwise than one that has just started, though both know the
    // same documents. Sequence: a document changes on which what was kept of another one rests. Cause: what was kept is
    // used all the same.
    CHECK(rc::check("the compiler agrees with the naive one", [] {
        FleetCompiler compiler;
        ConfigurationState state(compiler);
        NaiveConfiguration naive;
        DocumentTable table;
        if (*rc::gen::inRange(0, 4) > 0) {
            learnGoodStart(table);
        }
        Revision revision = 10;
        constexpr Revision step = 2; // Leaves room for a last good revision before each.
        const int offers = *rc::gen::inRange(1, 25);
        for (int i = 0; i < offers; ++i) {
            const int documents = *rc::gen::inRange(1, 4);
            for (int k = 0; k < documents; ++k) {
                const std::string name = *rc::gen::elementOf(namesUsed());
                const bool isLastGood = *rc::gen::inRange(0, 8) == 0 && table.revisionOf(name) > 1;
                revision += step;
                table.learn(isLastGood ? arbitraryLastGood(name, table.revisionOf(name))
                                       : arbitraryDocument(name, revision));
            }
            state.offer(table);
            naive.offer(table);
            requireSame(state, compiler, naive);
        }
    }));
}

TEST_CASE("the order in which documents arrive changes nothing")
{
    CHECK(rc::check("any order ends in the same configuration", [] {
        std::vector<Document> documents;
        Revision revision = 0;
        for (const std::string &name : namesUsed()) {
            if (*rc::gen::inRange(0, 4) == 0) {
                continue;
            }
            revision += 2;
            documents.push_back(arbitraryDocument(name, revision));
            if (*rc::gen::inRange(0, 4) == 0) {
                documents.push_back(arbitraryLastGood(name, revision));
            }
        }
        FleetCompiler compiler;
        ConfigurationState state(compiler);
        DocumentTable table;
        state.offer(table);
        while (!documents.empty()) {
            const auto next = documents.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(documents));
            table.learn(*next);
            documents.erase(next);
            state.offer(table);
        }
        NaiveConfiguration naive;
        naive.offer(table);
        RC_ASSERT((state.refusal() ? state.refusal()->what() : std::string()) == naive.refusal);
        if (naive.accepted) {
            requireSame(state, compiler, naive);
        }
    }));
}

TEST_CASE("what did not change is shared with the configuration before")
{
    FleetCompiler compiler;
    ConfigurationState state(compiler);
    DocumentTable table;
    learnGoodStart(table);
    table.learn({"targets/q", 6, poolTexts()[1], false});
    REQUIRE(state.offer(table) == OfferResult::InForce);
    const auto before = compiler.compiled();

    table.learn({"rules/organisation/a", 7, ruleTexts()[2], false});
    REQUIRE(state.offer(table) == OfferResult::InForce);
    const auto otherRules = compiler.compiled();
    CHECK(otherRules->rules != before->rules);
    CHECK(otherRules->instances == before->instances);
    CHECK(otherRules->organisations == before->organisations);
    CHECK(otherRules->pools == before->pools);

    table.learn({"targets/p", 8, poolTexts()[2], false});
    REQUIRE(state.offer(table) == OfferResult::InForce);
    const auto otherPool = compiler.compiled();
    CHECK(otherPool->rules == otherRules->rules);
    CHECK(otherPool->pools[0] != before->pools[0]);
    CHECK(otherPool->pools[1] == before->pools[1]);

    table.learn({"targets/q", 9, poolTexts()[4], false});
    table.learn({"instances", 10, instanceTexts()[2], false});
    REQUIRE(state.offer(table) == OfferResult::InForce);
    CHECK(compiler.compiled()->pools == otherPool->pools);
    CHECK(compiler.compiled()->instances == before->instances);
}
