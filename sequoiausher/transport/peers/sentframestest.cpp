#include "sequoiausher/transport/peers/sentframes.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

namespace {

constexpr Millis silence{3000};

} // namespace

TEST_CASE("a link asks after two thirds of the limit and gives up at the limit")
{
    SentFrames sent(silence);
    CHECK(sent.due(Millis{100000}) == LinkDue::Nothing);
    CHECK(sent.nextDeadline() == Millis::never());
    sent.frame(Millis{1000});
    CHECK(sent.nextDeadline() == Millis{3000});
    CHECK(sent.due(Millis{2999}) == LinkDue::Nothing);
    CHECK(sent.due(Millis{3000}) == LinkDue::Ask);
    sent.asked();
    CHECK(sent.due(Millis{3999}) == LinkDue::Nothing);
    CHECK(sent.nextDeadline() == Millis{4000});
    CHECK(sent.due(Millis{4000}) == LinkDue::GiveUp);
    sent.closed();
    CHECK(sent.due(Millis{100000}) == LinkDue::Nothing);
}

TEST_CASE("an acknowledgement of all frames answers for all, and one of some starts the limit anew")
{
    SentFrames sent(silence);
    const FrameNumber first = sent.frame(Millis{0});
    sent.frame(Millis{10});
    const FrameNumber third = sent.frame(Millis{20});
    sent.acknowledged(Millis{1000}, first);
    CHECK(sent.due(Millis{2999}) == LinkDue::Nothing);
    CHECK(sent.due(Millis{4000}) == LinkDue::GiveUp);
    sent.acknowledged(Millis{1100}, third);
    CHECK(sent.nextDeadline() == Millis::never());
}

// Guards against a silent connection that stays in use because a late or repeated acknowledgement of a frame of an
// earlier connection is taken for a sign of life of the current one.
TEST_CASE("an acknowledgement of anything but unacknowledged frames is no sign of life")
{
    SentFrames sent(silence);
    const FrameNumber before = sent.frame(Millis{0});
    sent.closed();
    sent.dialled(Millis{5000});
    sent.answered(Millis{5001}, noFrame);
    const FrameNumber now = sent.frame(Millis{5002});
    CHECK(now == frameAfter(before));
    struct Case
    {
        const char *what;
        FrameNumber number;
    };
    const std::vector<Case> cases{
        {"the frame before", before}, {"one long before", 255}, {"one not written yet", frameAfter(now)}};
    for (const Case &c : cases) {
        CAPTURE(c.what);
        sent.acknowledged(Millis{7000}, c.number);
        CHECK(sent.due(Millis{8002}) == LinkDue::GiveUp);
    }
}

// Guards against the same on a busy link: more frames than there are numbers are lost, so the last one that the peer
// has acknowledges two of them.
TEST_CASE("a number that could mean two frames is no sign of life, and a frame on the connection is")
{
    SentFrames sent(silence);
    const FrameNumber heard = sent.frame(Millis{0});
    sent.acknowledged(Millis{1}, heard);
    for (unsigned i = 0; i < 2 * frameNumbers; ++i) {
        sent.frame(Millis{10});
        if (i + 1 >= frameNumbers) {
            sent.acknowledged(Millis{2000}, heard);
            CHECK(sent.due(Millis{3010}) == LinkDue::GiveUp);
        }
    }
    sent.acknowledged(Millis{2000}, sent.last());
    CHECK(sent.due(Millis{3010}) == LinkDue::GiveUp);
    sent.answered(Millis{2000}, sent.last());
    CHECK(sent.nextDeadline() == Millis::never());
}

TEST_CASE("a hello must be answered, and only the connection itself can")
{
    SentFrames sent(silence);
    sent.dialled(Millis{0});
    sent.acknowledged(Millis{1}, sent.last());
    CHECK(sent.due(Millis{3000}) == LinkDue::GiveUp);
    sent.answered(Millis{2}, noFrame);
    CHECK(sent.due(Millis{3000}) == LinkDue::Nothing);
}

// Guards against counting time in which this process read nothing as silence of the peer.
TEST_CASE("the time for which the process was held up does not count")
{
    SentFrames sent(silence);
    sent.heldUp(Millis{500});
    CHECK(sent.nextDeadline() == Millis::never());
    sent.frame(Millis{1000});
    sent.heldUp(Millis{4000});
    CHECK(sent.due(Millis{7000 - 1}) == LinkDue::Nothing);
    CHECK(sent.due(Millis{7000}) == LinkDue::Ask);
    CHECK(sent.due(Millis{8000}) == LinkDue::GiveUp);
}
