#include "sequoiausher/base/millis.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("Millis adds, subtracts, scales and compares")
{
    const Millis start{1000};
    CHECK(start + Millis{500} == Millis{1500});
    CHECK(start - Millis{1500} == Millis{-500});
    CHECK(start * 3 == Millis{3000});
    CHECK(start / 4 == Millis{250});
    CHECK(start < Millis::never());
    CHECK(toText(start) == "1000 ms");
}

TEST_CASE("the monotonic clock does not step back")
{
    const Millis first = Millis::monotonicNow();
    CHECK(Millis::monotonicNow() >= first);
}
