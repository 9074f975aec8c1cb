#include "sequoiausher/state/documents/documenttable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Sequoiausher;

TEST_CASE("the newest revision wins, deletions included")
{
    // Guards against a deleted rule that comes back into force. A router that was cut off still has revision 5 and
    // sends it to one that received the deletion at revision 6. A table without tombstones would store it as a new
    // document.
    DocumentTable table;
    CHECK(table.learn({"rules/fleet", 5, "five", false}));
    CHECK(table.learn({"rules/fleet", 6, "", true}));
    CHECK_FALSE(table.learn({"rules/fleet", 5, "five", false}));
    CHECK_FALSE(table.learn({"rules/fleet", 6, "", true}));
    CHECK(table.find("rules/fleet")->deleted);
    CHECK(table.snapshot()->empty());
    CHECK(table.revisionOf("never seen") == 0);
    CHECK(table.highestRevision() == 6);
}

TEST_CASE("snapshots do not change and newerThan gives what came since")
{
    DocumentTable table;
    table.learn({"a", 1, "a1", false});
    const auto before = table.snapshot();
    table.learn({"a", 3, "a3", false});
    table.learn({"b", 2, "b2", false});
    CHECK(before->at("a")->body == "a1");
    const auto newer = table.newerThan(1);
    REQUIRE(newer.size() == 2);
    CHECK(newer[0]->name == "b");
    CHECK(newer[1]->body == "a3");
    CHECK(table.newerThan(3).empty());
}

TEST_CASE("any order of arrival gives the same table and digest")
{
    const bool holds = rc::check([] {
        const auto revisions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 40));
        std::vector<Document> documents;
        for (const int revision : revisions) {
            const std::string name(1, static_cast<char>('a' + revision % 5));
            documents.push_back({name, static_cast<Revision>(revision), "", revision % 7 == 0});
        }
        DocumentTable forwards;
        DocumentTable backwards;
        for (const Document &document : documents) {
            forwards.learn(document);
        }
        std::reverse(documents.begin(), documents.end());
        for (const Document &document : documents) {
            backwards.learn(document);
            backwards.learn(document);
        }
        RC_ASSERT(forwards.versions() == backwards.versions());
        RC_ASSERT(forwards.digest() == backwards.digest());
        RC_ASSERT(forwards.bucketDigests() == backwards.bucketDigests());
        RC_ASSERT(forwards.newerThan(0).size() == forwards.size());
    });
    CHECK(holds);
}
