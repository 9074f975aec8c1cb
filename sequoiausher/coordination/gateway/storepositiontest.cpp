#include "sequoiausher/coordination/gateway/storeposition.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("a later era comes after every revision of the ones before it")
{
    CHECK(storePosition(0, 7) == 7);
    CHECK(storePosition(1, 0) > storePosition(0, maxRevision));
    CHECK(storePosition(4, 9) > storePosition(4, 8));
    CHECK(eraOf(storePosition(4, 9)) == 4);
    CHECK(revisionOf(storePosition(4, 9)) == 9);
    CHECK(eraOf(storePosition(maxEra, maxRevision)) == maxEra);
    CHECK_THROWS_AS(storePosition(maxEra + 1, 0), Error);
    CHECK_THROWS_AS(storePosition(0, maxRevision + 1), Error);
}
