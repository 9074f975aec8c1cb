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
    // Guards against an answer with a missing or repeated part that the caller takes for whole. A link with a full
    // queue drops a part and still delivers the end, which states the length of the answer.
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
    // Guards against a retry that waits until its deadline for a holder that is dead, frozen or cut off before the
    // retry asks it, so that no link goes down meanwhile.
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
    // Guards against an answer that breaks off or repeats its beginning when its holder stops as planned. The router
    // that took the answer over sends it from the start, to a caller who has the beginning.
    AttachedAnswer answer = attached();
    CHECK(answer.take(start, chunk(0, "abc")).value_or("none") == "abc");
    answer.redirect(start + Millis{2400}, InstanceId{"r3"});
    CHECK(answer.holder() == InstanceId{"r3"});
    CHECK(answer.attempt() == RequestId{2, 2});
    CHECK(answer.tick(start + Millis{2600}) == AttachStep::Nothing);
    CHECK(answer.take(start + Millis{2600}, chunk(0, "abcde")).value_or("none") == "de");
    CHECK(answer.isWhole(start, AttachEnd{RequestId{1, 1}, true, "", 5}));
}
