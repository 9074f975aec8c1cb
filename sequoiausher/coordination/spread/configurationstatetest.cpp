#include "sequoiausher/coordination/spread/configurationstate.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

class RefusesBad : public DocumentChecker
{
public:
    std::optional<Error> check(const DocumentSet &candidate) const override
    {
        for (const auto &[name, document] : candidate) {
            if (document->body == "bad") {
                return Error(Step::Rules, name, "line 1: bad");
            }
        }
        return std::nullopt;
    }
};

} // namespace

TEST_CASE("a bad set is refused whole and the last good one stays until it is mended")
{
    const RefusesBad checker;
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
    // Symptom: an accepted rule is undone. A caller rebuilds its table from a stale peer and offers it. Cause: only
    // the digest was compared, which tells that sets differ, not which is newer.
    const RefusesBad checker;
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
