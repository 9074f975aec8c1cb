#include "sequoiausher/coordination/admission/targetcount.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("a late report is compared with the count at the time of its measurement")
{
    TargetCount count(Millis{0});
    count.change(Millis{100}, 1);
    count.change(Millis{200}, 1);
    count.change(Millis{700}, 1);
    count.report(2, Millis{200});
    CHECK(count.estimate(Millis{0}) == 3);
    count.report(7, Millis{300});
    CHECK(count.estimate(Millis{0}) == 8);
    count.report(0, Millis{250});
    CHECK(count.reported() == 7);
    CHECK(count.estimate(Millis{400}) == 3);
    CHECK(count.counted() == 3);
}

TEST_CASE("adjustCounted() changes the count, but the estimate changes only with the target's reports")
{
    TargetCount count(Millis{0});
    count.report(5, Millis{10});
    count.adjustCounted(1);
    count.adjustCounted(1);
    CHECK(count.counted() == 2);
    CHECK(count.estimate(Millis{0}) == 5);
    count.report(4, Millis{20});
    CHECK(count.estimate(Millis{0}) == 4);
    count.adjustCounted(-2);
    CHECK(count.counted() == 0);
    CHECK(count.estimate(Millis{0}) == 4);
    count.report(0, Millis{30});
    CHECK(count.estimate(Millis{0}) == 0);
}
