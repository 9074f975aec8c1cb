#include "sequoiausher/coordination/spread/configurationstate.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

class RefusesBad : public DocumentChecker
{
public:
    std::optional<Error> check(const DocumentPointer &document) override
    {
        return document->body == "bad" ? std::optional(Error(Step::Rules, document->name, "line 1: bad"))
                                       : std::nullopt;
    }
    std::optional<Error> checkTogether(const DocumentSet &candidate) override
    {
        for (const auto &entry : candidate) {
            if (auto error = this->check(entry.second)) {
                return error;
            }
        }
        return std::nullopt;
    }
    StandIn standIn(const std::string &name) const override
    {
        if (name == "instances") {
            return {StandInKind::WaitForGood, ""};
        }
        return name == "rules" ? StandIn{StandInKind::Replace, "refuse"} : StandIn{};
    }
};

} // namespace

TEST_CASE("a bad set is refused as a whole and the last good set stays in force until the set is corrected")
{
    RefusesBad checker;
    ConfigurationState state(checker);
    DocumentTable table;
    CHECK(state.inForce() == nullptr);
    table.learn({"a", 1, "good", false});
    CHECK(state.offer(table) == OfferResult::InForce);
    CHECK(state.offer(table) == OfferResult::Unchanged);
    const auto first = state.inForce();
    table.learn({"b", 2, "bad", false});
    CHECK(state.offer(table) == OfferResult::Refused);
    CHECK(state.offer(table) == OfferResult::Unchanged);
    REQUIRE(state.refusal().has_value());
    CHECK(state.refusal()->peer() == "b");
    CHECK(state.inForce() == first);
    table.learn({"b", 3, "good", false});
    CHECK(state.offer(table) == OfferResult::InForce);
    CHECK_FALSE(state.refusal().has_value());
    CHECK(state.inForce()->documents->size() == 2);
    CHECK(first->documents->size() == 1);
}

TEST_CASE("a set older than the one in force never comes into force")
{
    // Guards against reverting an accepted rule after a caller rebuilds its table from a stale peer and offers that
    // table. A comparison of digests shows that sets differ, not which set is newer.
    RefusesBad checker;
    ConfigurationState state(checker);
    DocumentTable newer;
    newer.learn({"a", 5, "good", false});
    state.offer(newer);
    DocumentTable older;
    older.learn({"a", 4, "good", false});
    CHECK(state.offer(older) == OfferResult::Reverts);
    CHECK(state.offer(DocumentTable()) == OfferResult::Reverts);
    CHECK(state.inForce()->highestRevision == 5);
}

TEST_CASE("a refused document stays at its last good revision while the others are updated")
{
    // Guards against a typing error of one organisation that blocks the changes of every other organisation. This
    // happens if the set is checked only as a whole, although each document is good or bad on its own.
    RefusesBad checker;
    ConfigurationState state(checker);
    DocumentTable table;
    table.learn({"a", 1, "good", false});
    table.learn({"b", 2, "good", false});
    REQUIRE(state.offer(table) == OfferResult::InForce);
    table.learn({"b", 3, "bad", false});
    CHECK(state.offer(table) == OfferResult::Refused);
    table.learn({"a", 4, "better", false});
    CHECK(state.offer(table) == OfferResult::InForce);
    CHECK(state.inForce()->documents->at("a")->body == "better");
    CHECK(state.inForce()->documents->at("b")->revision == 2);
    REQUIRE(state.refusal().has_value());
    CHECK(state.refusal()->peer() == "b");
    table.learn({"b", 5, "", true});
    CHECK(state.offer(table) == OfferResult::InForce);
    CHECK(state.inForce()->documents->count("b") == 0);
    CHECK_FALSE(state.refusal().has_value());
}

TEST_CASE("a router that starts while a refused revision is the newest gets the last good one from other routers")
{
    // Guards against a replaced instance that has no configuration at all until a document is corrected. The table
    // holds only the newest revision, and only routers that had the last good revision in force still have it.
    RefusesBad checker;
    ConfigurationState running(checker);
    DocumentTable table;
    table.learn({"a", 1, "good", false});
    table.learn({"b", 2, "good", false});
    running.offer(table);
    table.learn({"b", 3, "bad", false});
    running.offer(table);
    REQUIRE(running.lastGood().size() == 1);
    CHECK(running.lastGood().front() == Document{"last-good/b", 2, "good", false});
    table.learn(running.lastGood().front());
    CHECK(running.offer(table) == OfferResult::Unchanged);

    ConfigurationState fresh(checker);
    CHECK(fresh.offer(table) == OfferResult::InForce);
    CHECK(fresh.inForce()->documents->at("b")->revision == 2);
    CHECK(fresh.inForce()->documents->count("last-good/b") == 0);
    CHECK(fresh.lastGood() == running.lastGood());
    // A later good revision replaces the stored one, and so does a later revision that another router had in force.
    table.learn({"last-good/b", 4, "later", false});
    table.learn({"b", 5, "bad", false});
    CHECK(fresh.offer(table) == OfferResult::InForce);
    CHECK(fresh.inForce()->documents->at("b")->body == "later");
    table.learn({"b", 6, "good", false});
    CHECK(fresh.offer(table) == OfferResult::InForce);
    CHECK(fresh.inForce()->documents->at("b")->revision == 6);
    CHECK(fresh.lastGood().empty());
}

TEST_CASE("if no router has a good revision, the document's stand-in decides")
{
    // Guards against serving no request at all after the whole fleet restarts while a refused revision is the newest.
    // No router has a last good revision then. Without an organisation's rules, its requests would be routed by rules
    // that may not require a claim, so a stand-in refuses these requests.
    RefusesBad checker;
    ConfigurationState state(checker);
    DocumentTable table;
    table.learn({"a", 1, "good", false});
    table.learn({"pool", 2, "bad", false});
    table.learn({"rules", 3, "bad", false});
    CHECK(state.offer(table) == OfferResult::InForce);
    CHECK(state.inForce()->documents->count("pool") == 0);
    CHECK(state.inForce()->documents->at("rules")->body == "refuse");
    CHECK(state.refusal().has_value());
    CHECK(state.lastGood().empty());
    table.learn({"instances", 4, "bad", false});
    CHECK(state.offer(table) == OfferResult::Refused);
    CHECK(state.inForce()->documents->size() == 2);
    ConfigurationState fresh(checker);
    CHECK(fresh.offer(table) == OfferResult::Refused);
    CHECK(fresh.inForce() == nullptr);
    table.learn({"rules", 5, "good", false});
    table.learn({"instances", 6, "good", false});
    CHECK(state.offer(table) == OfferResult::InForce);
    CHECK(state.inForce()->documents->at("rules")->revision == 5);
}
