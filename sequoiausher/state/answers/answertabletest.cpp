#include "sequoiausher/state/answers/answertable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Sequoiausher;

namespace {

constexpr RequestId first{0, 1};
constexpr RequestId second{0, 2};
constexpr ClaimKey key{9, 9};
const AnswerSettings small{4096, 1024, Millis{1000}};

} // namespace

// Guards against two runs of one order. A client sends the same request twice at once, and both arrive at this router;
// without the table both are sent to a target.
TEST_CASE("a concurrent duplicate joins the first and reads the same bytes")
{
    AnswerTable table(small);
    CHECK(table.start(Millis{0}, first, key, 7).verdict == StartVerdict::Started);
    const StartResult joined = table.start(Millis{0}, second, key, 7);
    CHECK(joined.verdict == StartVerdict::Joined);
    CHECK(joined.attempt == first);
    CHECK(table.start(Millis{0}, second, key, 8).verdict == StartVerdict::BodyDiffers);
    int wakes = 0;
    AnswerCursor cursor = *table.attach(joined.attempt, [&wakes] { ++wakes; });
    CHECK(table.read(cursor, 100).state == AnswerState::Running);
    table.setHead(first, {200, "text/event-stream"});
    CHECK(table.append(first, "hello"));
    AnswerPart part = table.read(cursor, 3);
    CHECK(part.head == AnswerHead{200, "text/event-stream"});
    CHECK(part.bytes == "hel");
    table.finish(Millis{5}, first, AnswerState::Complete, "");
    CHECK(wakes == 3);
    part = table.read(cursor, 1);
    CHECK(part.state == AnswerState::Running);
    part = table.read(cursor, 100);
    CHECK(part.bytes == "o");
    CHECK(part.state == AnswerState::Complete);
    table.detach(cursor);
    CHECK(table.read(cursor, 1).state == AnswerState::NotReplayable);
}

TEST_CASE("ends")
{
    AnswerTable table(small);
    table.start(Millis{0}, first, key, 7);
    AnswerCursor cursor = *table.attach(key, nullptr);
    SUBCASE("given up before dispatch: the key is free, the reader hears that it did not run")
    {
        table.finish(Millis{1}, first, AnswerState::NotRun, "");
        CHECK(table.read(cursor, 9).state == AnswerState::NotRun);
        CHECK(table.start(Millis{1}, second, key, 7).verdict == StartVerdict::Started);
        CHECK(table.find(key) == second);
    }
    SUBCASE("broken: the reason follows the bytes, a later end changes nothing")
    {
        table.append(first, "ab");
        table.finish(Millis{1}, first, AnswerState::Broken, "engine gone");
        table.finish(Millis{1}, first, AnswerState::Complete, "");
        CHECK(!table.append(first, "late"));
        const AnswerPart part = table.read(cursor, 9);
        CHECK(part.state == AnswerState::Broken);
        CHECK(part.reason == "engine gone");
    }
    SUBCASE("kept for its time, then forgotten; its reader is told")
    {
        table.append(first, "ab");
        table.finish(Millis{1}, first, AnswerState::Complete, "");
        CHECK(table.nextDeadline() == Millis{1001});
        table.tick(Millis{1000});
        CHECK(table.find(key) == first);
        table.tick(Millis{1001});
        CHECK(!table.find(key).has_value());
        CHECK(table.read(cursor, 9).state == AnswerState::NotReplayable);
        CHECK(table.usedBytes() == 0);
    }
}

// Guards against a retry that gets an answer without its beginning. A running answer exceeds its limit, the table drops
// its bytes, and a retry attaches to what is left.
TEST_CASE("an answer that outgrows its bound says that it cannot be replayed, and its key stays taken")
{
    AnswerTable table(small);
    table.start(Millis{0}, first, key, 7);
    CHECK(table.append(first, std::string(1000, 'x')));
    CHECK(!table.append(first, std::string(100, 'x')));
    CHECK(table.usedBytes() <= answerOverheadBytes + 64);
    AnswerCursor cursor = *table.attach(key, nullptr);
    CHECK(table.read(cursor, 9).state == AnswerState::NotReplayable);
    CHECK(table.start(Millis{0}, second, key, 7).verdict == StartVerdict::Joined);
}

TEST_CASE("the oldest ended answer goes first, a running one stays")
{
    AnswerTable table(small);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        table.start(Millis{0}, {0, i}, ClaimKey{0, i}, 0);
        CHECK(table.append({0, i}, std::string(500, 'x')));
        if (i != 1) {
            table.finish(Millis{static_cast<std::int64_t>(i)}, {0, i}, AnswerState::Complete, "");
        }
    }
    CHECK(table.find({0, 1}).has_value());
    CHECK(!table.find({0, 2}).has_value());
    CHECK(table.find({0, 20}).has_value());
}

TEST_CASE("whatever comes, memory is bounded and a reader sees a prefix of its own answer")
{
    CHECK(rc::check([] {
        AnswerTable table(small);
        std::array<std::string, 8> sent;
        std::array<std::optional<AnswerCursor>, 8> cursors;
        std::array<std::string, 8> seen;
        for (int step = 0; step < 200; ++step) {
            const auto slot = *rc::gen::inRange<std::size_t>(0, 8);
            const RequestId request{1, slot + 1};
            const Millis now{step};
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                if (!table.attach(request, nullptr)) {
                    table.start(now, request, ClaimKey{2, slot}, 0);
                    sent[slot].clear();
                    seen[slot].clear();
                    cursors[slot] = table.attach(request, nullptr);
                }
                break;
            case 1: {
                const std::string bytes(*rc::gen::inRange<std::size_t>(0, 400), static_cast<char>('a' + slot));
                if (table.append(request, bytes)) {
                    sent[slot] += bytes;
                }
                break;
            }
            case 2:
                if (cursors[slot]) {
                    seen[slot] += table.read(*cursors[slot], 100).bytes;
                }
                break;
            default:
                table.finish(now, request, AnswerState::Complete, "");
            }
            RC_ASSERT(table.usedBytes() <= small.totalBytes + 8 * (answerOverheadBytes + 64));
            RC_ASSERT(sent[slot].compare(0, seen[slot].size(), seen[slot]) == 0);
        }
    }));
}
