#include "sequoiausher/transport/router/answerkeeper.h"

#include "sequoiausher/base/hashing.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr Millis now{1000};
constexpr std::size_t enough = 1024;
const RequestId first{1, 1};
const RequestId second{2, 2};

ClaimKey key()
{
    return claimKeyOf(OrganisationId{"kentekenlab"}, "order-17");
}

AnswerPart readAll(AnswerTable &table, const RequestId &attempt)
{
    std::optional<AnswerCursor> cursor = table.attach(attempt, [] {});
    if (!cursor) {
        return AnswerPart{};
    }
    AnswerPart part = table.read(*cursor, enough);
    table.detach(*cursor);
    return part;
}

} // namespace

TEST_CASE("the answer of the first attempt is kept, and a second one is told whose the key is")
{
    AnswerTable table{AnswerSettings{}};
    AnswerKeeper kept(table, first);
    CHECK(kept.start(now, key(), 7).verdict == StartVerdict::Started);
    kept.setHead(200, "text/plain");
    kept.append("whole");

    AnswerKeeper retry(table, second);
    const StartResult joined = retry.start(now, key(), 7);
    CHECK(joined.verdict == StartVerdict::Joined);
    CHECK(joined.attempt == first);
    // The second attempt must neither write to the first one's answer nor end it.
    retry.append("foreign");
    CHECK(!retry.finish(now, AnswerState::Broken, "gone"));

    CHECK(kept.finish(now, AnswerState::Complete, ""));
    const AnswerPart part = readAll(table, first);
    CHECK(part.bytes == "whole");
    CHECK(part.head.value_or(AnswerHead{}) == AnswerHead{200, "text/plain"});
}

TEST_CASE("only the first end of an answer counts")
{
    AnswerTable table{AnswerSettings{}};
    AnswerKeeper kept(table, first);
    kept.start(now, key(), 7);
    CHECK(kept.finish(now, AnswerState::Complete, ""));
    CHECK(!kept.finish(now, AnswerState::Broken, "late"));
    CHECK(readAll(table, first).state == AnswerState::Complete);
}

TEST_CASE("nothing is kept of a request that never claimed a key")
{
    AnswerTable table{AnswerSettings{}};
    AnswerKeeper kept(table, first);
    kept.setHead(200, "text/plain");
    kept.append("whole");
    CHECK(!kept.finish(now, AnswerState::Complete, ""));
    CHECK(table.count() == 0);
    CHECK(table.usedBytes() == 0);
}
