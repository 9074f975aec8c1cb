#include "sequoiausher/transport/peers/receivedframes.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr Millis silence{3000};

} // namespace

TEST_CASE("a sign of life is due half of the limit after the first frame that the peer was not told of")
{
    ReceivedFrames received;
    received.opened(7, 254);
    CHECK(received.incarnation() == 7);
    CHECK(received.tellBy(silence) == Millis::never());
    received.arrived(Millis{100});
    received.arrived(Millis{900});
    CHECK(received.tellBy(silence) == Millis{1600});
    CHECK(received.tell() == 1);
    CHECK(received.tellBy(silence) == Millis::never());
    received.arrived(Millis{1000});
    CHECK(received.tellBy(silence) == Millis{2500});
}

TEST_CASE("a peer that numbers no frames is told of none")
{
    ReceivedFrames received;
    received.opened(7, noFrame);
    received.arrived(Millis{100});
    CHECK(received.tell() == noFrame);
    CHECK(received.tellBy(silence) == Millis::never());
}

TEST_CASE("a new connection starts from its own number")
{
    ReceivedFrames received;
    received.opened(7, 10);
    received.arrived(Millis{100});
    received.opened(7, 20);
    CHECK(received.tellBy(silence) == Millis::never());
    CHECK(received.tell() == 20);
}

TEST_CASE("a busy peer is told at once, before a number could mean two frames")
{
    ReceivedFrames received;
    received.opened(7, 1);
    unsigned untold = 0;
    while (received.tellBy(silence) > Millis{50} && untold < 2 * frameNumbers) {
        received.arrived(Millis{50});
        ++untold;
    }
    CHECK(untold < frameNumbers / 2);
}
