#include "sequoiausher/coordination/gateway/restoredstore.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

// Guards against a revoked key that opens routes again, because the copy lacks the version that revoked the key.
TEST_CASE("a copy's older version proves nothing until the newest one is written again")
{
    RestoredStore restored;
    CHECK(restored.provesNewest(5, 10, Millis{500}));
    restored.recordRestore(7, Millis{1000});
    CHECK_FALSE(restored.provesNewest(6, 12, Millis{1100}));
    CHECK_FALSE(restored.provesNewest(6, 12, Millis{60000}));
    SUBCASE("the same version")
    {
        CHECK(restored.provesNewest(7, 13, Millis{1200}));
    }
    SUBCASE("a newer version, which no gateway had read")
    {
        CHECK(restored.provesNewest(9, 13, Millis{1200}));
        CHECK_FALSE(restored.provesNewest(6, 12, Millis{1300}));
    }
}

// Guards against a version that was accepted, and lost before any gateway had read it.
TEST_CASE("a copy's version that is the newest known one counts as proof only after the time for writing again")
{
    RestoredStore restored;
    restored.recordRestore(7, Millis{1000});
    CHECK_FALSE(restored.provesNewest(7, 12, Millis{1100}));
    CHECK_FALSE(restored.provesNewest(7, 12, Millis{1000} + rewriteTime - Millis{1}));
    CHECK(restored.provesNewest(7, 12, Millis{1000} + rewriteTime));
    restored.recordRestore(7, Millis{9000});
    CHECK_FALSE(restored.provesNewest(7, 12, Millis{9100}));
    CHECK(restored.provesNewest(7, 14, Millis{9100}));
}
