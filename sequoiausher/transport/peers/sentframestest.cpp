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

// Symptom: a connection that swallows everything stays in use.
// Events: a connection goes silent and is dialled anew; an acknowledgement of what the earlier one carried comes late,
// or the same one is repeated by each frame of the other direction. Cause: taking any number that the peer says for a
// sign of the present connection.
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

// Symptom: as above, on a busy link.
// Events: more frames than there are numbers vanish; the peer goes on to acknowledge the last one that it has.
// Cause: the same number means two of the unacknowledged frames.
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

// Guards against time in which nothing was read being taken for silence of the peer.
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
