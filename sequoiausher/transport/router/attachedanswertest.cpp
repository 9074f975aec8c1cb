#include "sequoiausher/transport/router/attachedanswer.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr Millis start{1000};

AttachChunk chunk(std::uint64_t offset, const std::string &bytes)
{
    return AttachChunk{RequestId{1, 1}, offset, bytes};
}

AttachedAnswer attached()
{
    AttachedAnswer answer;
    answer.begin(start, InstanceId{"r2"}, RequestId{2, 2});
    return answer;
}

} // namespace

TEST_CASE("parts that come twice are taken once, and a lost part is asked for")
{
    // Symptom: an answer with a hole, or with a part twice, that the caller takes for whole.
    // Sequence: a part is dropped on a link with a full queue, and the end arrives all the same.
    // Cause: the end did not say how long the answer is.
    AttachedAnswer answer = attached();
    CHECK(answer.take(start, chunk(0, "abc")).value_or("none") == "abc");
    CHECK(answer.take(start, chunk(0, "abc")).value_or("none").empty());
    CHECK(!answer.take(start, chunk(5, "f")).has_value());
    CHECK(answer.tick(start) == AttachStep::AskAgain);
    CHECK(answer.tick(start) == AttachStep::Nothing);
    CHECK(answer.take(start, chunk(0, "abcde")).value_or("none") == "de");
    CHECK(!answer.isWhole(start, AttachEnd{RequestId{1, 1}, true, "", 6}));
    CHECK(answer.tick(start) == AttachStep::AskAgain);
    CHECK(answer.isWhole(start, AttachEnd{RequestId{1, 1}, true, "", 5}));
}

TEST_CASE("a holder that stays silent is asked again, and then given up")
{
    // Symptom: a retry that waits until its deadline, and its caller gives up before that.
    // Sequence: the holder is dead, frozen or cut off before the retry asks it, so that no link goes down under it.
    // Cause: only a link that went down ended the waiting.
    AttachedAnswer answer = attached();
    CHECK(answer.tick(start + Millis{900}) == AttachStep::Nothing);
    CHECK(answer.tick(start + Millis{1000}) == AttachStep::AskAgain);
    answer.heard(start + Millis{1100});
    CHECK(answer.tick(start + Millis{2100}) == AttachStep::AskAgain);
    CHECK(answer.tick(start + Millis{3100}) == AttachStep::AskAgain);
    CHECK(answer.tick(start + Millis{3600}) == AttachStep::GiveUp);
    answer.end();
    CHECK(answer.tick(start + Millis{9000}) == AttachStep::Nothing);
}

TEST_CASE("what another router sends goes on where the first one stopped")
{
    // Symptom: a retry whose answer breaks off in the middle, or has its beginning twice.
    // Sequence: the holder stops as planned while it sends, and the retry asks the router that took the answer over.
    // Cause: that one sends the answer from its start, to a caller who has the beginning.
    AttachedAnswer answer = attached();
    CHECK(answer.take(start, chunk(0, "abc")).value_or("none") == "abc");
    answer.redirect(start + Millis{2400}, InstanceId{"r3"});
    CHECK(answer.holder() == InstanceId{"r3"});
    CHECK(answer.attempt() == RequestId{2, 2});
    CHECK(answer.tick(start + Millis{2600}) == AttachStep::Nothing);
    CHECK(answer.take(start + Millis{2600}, chunk(0, "abcde")).value_or("none") == "de");
    CHECK(answer.isWhole(start, AttachEnd{RequestId{1, 1}, true, "", 5}));
}
