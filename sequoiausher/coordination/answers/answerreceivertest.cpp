#include "sequoiausher/coordination/answers/answerreceiver.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const InstanceId sender{"r1"};
const InstanceId other{"r2"};
const std::string body = "0123456789";
const AnswerReceiverSettings small{20, 40, Millis{1000}};

KeptAnswer answerOf(std::uint64_t number, const std::string &text = body)
{
    return describe({0, number}, {1, number}, 7, {200, "text/plain"}, text);
}

AnswerFragment part(std::uint64_t number, std::uint64_t offset, std::size_t length)
{
    return {answerOf(number), offset, body.substr(offset, length)};
}

/** Sends one page with these parts to the receiver. @return whether the page was acknowledged. */
bool give(AnswerReceiver &receiver,
          std::vector<AnswerFragment> parts,
          const InstanceId &from = sender,
          Millis now = Millis{0})
{
    Outbox outbox;
    receiver.receive(now, from, AnswerPage{3, 8, std::move(parts)}, outbox);
    const bool taken = !outbox.empty();
    CHECK((!taken || outbox == Outbox{Outgoing{from, AnswerPageAck{3, 8}}}));
    return taken;
}

std::size_t wholeOf(AnswerReceiver &receiver)
{
    const std::vector<ReceivedAnswer> completeAnswers = receiver.takeCompleteAnswers();
    for (const ReceivedAnswer &taken : completeAnswers) {
        CHECK(taken.body == body);
        CHECK(isWhole(taken.answer, taken.body));
    }
    return completeAnswers.size();
}

} // namespace

TEST_CASE("fragments are assembled to complete answers, and their pages are acknowledged")
{
    AnswerReceiver receiver(small);
    CHECK(give(receiver, {part(1, 0, 10), part(2, 0, 4)}));
    CHECK(wholeOf(receiver) == 1);
    CHECK(receiver.incompleteBytes() == body.size());
    CHECK(give(receiver, {part(2, 4, 6)}));
    CHECK(wholeOf(receiver) == 1);
    CHECK(receiver.incompleteBytes() == 0);
    CHECK(receiver.dropped() == 0);
}

// Guards against truncated, mixed or missing answers after a hand-over; each subcase names its fault.
TEST_CASE("lost, duplicate and reordered pages")
{
    AnswerReceiver receiver(small);
    SUBCASE("the first page is lost: the second one is not acknowledged and is sent again")
    {
        CHECK(!give(receiver, {part(1, 5, 5)}));
        CHECK(give(receiver, {part(1, 0, 5)}));
        CHECK(give(receiver, {part(1, 5, 5)}));
    }
    SUBCASE("a page in the middle is lost: other answers in the later pages are kept")
    {
        CHECK(give(receiver, {part(1, 0, 3)}));
        CHECK(!give(receiver, {part(1, 6, 4), part(2, 0, 10)}));
        CHECK(wholeOf(receiver) == 1);
        CHECK(give(receiver, {part(1, 3, 3)}));
        CHECK(give(receiver, {part(1, 6, 4)}));
    }
    SUBCASE("pages arrive twice")
    {
        CHECK(give(receiver, {part(1, 0, 5)}));
        CHECK(give(receiver, {part(1, 0, 5)}));
        CHECK(give(receiver, {part(1, 5, 5)}));
        CHECK(give(receiver, {part(1, 0, 5)}));
        CHECK(give(receiver, {part(1, 5, 5)}));
    }
    SUBCASE("fragments overlap")
    {
        CHECK(give(receiver, {part(1, 0, 6)}));
        CHECK(give(receiver, {part(1, 3, 7)}));
    }
    SUBCASE("two routers hand over the same answer at once")
    {
        CHECK(give(receiver, {part(1, 0, 5)}, other));
        CHECK(!give(receiver, {part(1, 5, 5)}, sender));
        CHECK(give(receiver, {part(1, 5, 5)}, other));
        CHECK(receiver.dropped() == 0);
    }
    SUBCASE("the sender dies midway: the incomplete answer is dropped after idleTimeout")
    {
        CHECK(give(receiver, {part(2, 0, 5)}));
        CHECK(give(receiver, {part(1, 0, 10)}));
        receiver.tick(Millis{999});
        CHECK(receiver.incompleteBytes() == body.size());
        receiver.tick(Millis{1000});
        CHECK(receiver.incompleteBytes() == 0);
        CHECK(receiver.dropped() == 1);
        CHECK(!give(receiver, {part(2, 5, 5)}));
    }
    CHECK(wholeOf(receiver) <= 1);
}

TEST_CASE("an answer that does not match its announcement is dropped, and its pages are acknowledged")
{
    AnswerReceiver receiver(small);
    SUBCASE("corrupt, in one fragment")
    {
        CHECK(give(receiver, {{answerOf(1), 0, "012345678X"}}));
    }
    SUBCASE("corrupt, in two fragments")
    {
        CHECK(give(receiver, {{answerOf(1), 0, "0123X"}}));
        CHECK(give(receiver, {part(1, 5, 5)}));
    }
    SUBCASE("more bytes than announced")
    {
        CHECK(give(receiver, {part(1, 0, 5)}));
        CHECK(give(receiver, {{answerOf(1), 5, "56789+"}}));
    }
    SUBCASE("its fragments belong to two answers")
    {
        CHECK(give(receiver, {part(1, 0, 5)}));
        CHECK(give(receiver, {{answerOf(1, "other body"), 5, " body"}}));
        CHECK(give(receiver, {part(1, 5, 5)}));
    }
    SUBCASE("under the key of another organisation")
    {
        AnswerFragment fragment = part(1, 0, 10);
        fragment.answer.key = {5, 5};
        CHECK(give(receiver, {fragment}));
    }
    SUBCASE("larger than the bound on one answer")
    {
        const std::string large(small.bytesPerAnswer + 1, 'x');
        CHECK(give(receiver, {{answerOf(1, large), 0, large.substr(0, 10)}}));
        CHECK(give(receiver, {{answerOf(1, large), 10, large.substr(10)}}));
    }
    SUBCASE("beyond the bound on all incomplete answers")
    {
        const std::string large(small.bytesPerAnswer, 'x');
        CHECK(give(receiver, {{answerOf(2, large), 0, "x"}, {answerOf(3, large), 0, "x"}}));
        CHECK(give(receiver, {part(1, 0, 5)}));
        CHECK(give(receiver, {part(1, 5, 5)}));
        CHECK(receiver.incompleteBytes() == small.maxIncompleteBytes);
    }
    CHECK(receiver.dropped() == 1);
    CHECK(wholeOf(receiver) == 0);
}

TEST_CASE("answers with empty bodies")
{
    AnswerReceiver receiver(small);
    CHECK(give(receiver, {{answerOf(1, ""), 0, ""}}));
    REQUIRE(receiver.takeCompleteAnswers().size() == 1);
    CHECK(give(receiver, {}));
}
