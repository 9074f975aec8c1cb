#include "sequoiausher/coordination/gateway/freshness.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("a proof is as old as the start of its call")
{
    Freshness freshness;
    CHECK(freshness.age(3, Millis{500}) == Millis::never());
    freshness.proven(3, Millis{1000});
    CHECK(freshness.age(3, Millis{1400}) == Millis{400});
    freshness.proven(3, Millis{900});
    CHECK(freshness.age(3, Millis{1400}) == Millis{400});
}

TEST_CASE("a version that is known to be older than the newest is never fresh")
{
    Freshness freshness;
    freshness.proven(3, Millis{1000});
    freshness.proven(4, Millis{1100});
    CHECK(freshness.age(3, Millis{1200}) == Millis::never());
    CHECK(freshness.age(4, Millis{1200}) == Millis{100});
}

// Symptom: a key that was taken away opened a route seconds after it had to be shut.
// Events: a partition holds a peer's report back for eight seconds; it says 'proven 100 ms ago' when it arrives.
// Cause: the report was dated by its arrival.
TEST_CASE("a report that was held back proves no more than what it echoes")
{
    Freshness freshness;
    freshness.vouched(3, Millis{100}, Millis{2000});
    CHECK(freshness.age(3, Millis{10000}) == Millis{8100});
    freshness.vouched(3, Millis::never(), Millis{9000});
    freshness.vouched(3, Millis{0}, Millis{0});
    CHECK(freshness.age(3, Millis{10000}) == Millis{8100});
}
