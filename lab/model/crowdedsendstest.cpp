#include "lab/model/crowdedsends.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("the worst five seconds of a day are found, unless too few requests were above the limit")
{
    CrowdedSends sends;
    for (int i = 0; i < 19; ++i) {
        sends.record(i, true);
    }
    CHECK(sends.worstFiveSeconds() == 0);
    sends.record(20, true);
    CHECK(sends.worstFiveSeconds() == 1);
    CrowdedSends diluted;
    for (int i = 0; i < 400; ++i) {
        diluted.record(i * 100, i >= 200 && i < 230);
    }
    // 30 of the 51 requests in any five seconds, both ends included.
    CHECK(diluted.worstFiveSeconds() == doctest::Approx(30.0 / 51));
}
