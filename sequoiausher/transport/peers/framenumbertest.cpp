#include "sequoiausher/transport/peers/framenumber.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("numbers run from 1 to 255 and never are none")
{
    FrameNumber number = 1;
    for (unsigned step = 0; step < frameNumbers; ++step) {
        CHECK(framesFromTo(1, number) == step);
        number = frameAfter(number);
        CHECK(number != noFrame);
    }
    CHECK(number == 1);
    CHECK(framesFromTo(255, 1) == 1);
    CHECK(framesFromTo(1, 255) == 254);
}
