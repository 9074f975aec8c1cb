#include "sequoiausher/coordination/admission/organisationshares.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

TEST_CASE("an organisation is above its share from twice an even share among those that hold something")
{
    struct Row
    {
        const char *what;
        std::vector<std::size_t> held;
        bool firstIsAbove;
        bool lastIsBelow;
    };
    const std::vector<Row> rows{
        {"nothing held", {}, false, false},
        {"alone on a full shard", {32}, false, false},
        {"one of two", {31, 1}, false, true},
        {"one of four, twice its share", {16, 1, 1, 1}, true, true},
        {"one of four, just below", {15, 1, 1, 1}, false, true},
        {"all even", {8, 8, 8, 8}, false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        OrganisationShares shares;
        std::uint16_t organisation = 0;
        for (const std::size_t count : row.held) {
            ++organisation;
            for (std::size_t i = 0; i < count; ++i) {
                shares.add(organisation);
            }
        }
        CHECK(shares.isAboveShare(1, 32) == row.firstIsAbove);
        CHECK(shares.isAnyAboveShare(32) == row.firstIsAbove);
        CHECK(shares.isBelowShare(organisation, 32) == row.lastIsBelow);
    }
}

TEST_CASE("released requests no longer count, and an unknown organisation is never above its share")
{
    OrganisationShares shares;
    for (int i = 0; i < 32; ++i) {
        shares.add(1);
        shares.add(0);
    }
    shares.add(2);
    shares.add(3);
    CHECK(shares.isAboveShare(1, 32));
    CHECK(!shares.isAboveShare(0, 32));
    for (int i = 0; i < 32; ++i) {
        shares.remove(1);
    }
    CHECK(!shares.isAboveShare(1, 32));
    shares.remove(1);
    CHECK(!shares.isAboveShare(1, 0));
    CHECK(organisationHash("a") != organisationHash("b"));
}
