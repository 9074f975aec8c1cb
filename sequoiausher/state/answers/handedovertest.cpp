// Answers that one router hands over to another: which ones a table offers, and which ones it stores.

#include "sequoiausher/state/answers/answertable.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr RequestId first{0, 1};
constexpr RequestId second{0, 2};
constexpr RequestId third{0, 3};
constexpr ClaimKey key{9, 9};
constexpr ClaimKey otherKey{9, 8};
const AnswerHead head{200, "application/json"};
const AnswerSettings small{4096, 1024, Millis{1000}};

void run(AnswerTable &table, Millis now, const RequestId &request, const std::optional<ClaimKey> &of, const char *body)
{
    table.start(now, request, of, 7);
    table.setHead(request, head);
    table.append(request, body);
    table.finish(now, request, AnswerState::Complete, "");
}

std::string bodyOf(AnswerTable &table, const RequestId &request)
{
    const std::optional<AnswerCursor> cursor = table.attach(request, nullptr);
    if (!cursor) {
        return "none";
    }
    AnswerCursor at = *cursor;
    const AnswerPart part = table.read(at, 4096);
    table.detach(at);
    return part.state == AnswerState::Complete ? part.bytes : "not whole";
}

} // namespace

TEST_CASE("whole answers of keyed requests are given, the last ended first")
{
    AnswerTable table(small);
    run(table, Millis{0}, first, key, "one");
    run(table, Millis{5}, second, otherKey, "two");
    const std::vector<KeptAnswer> kept = table.kept(Millis{10});
    REQUIRE(kept.size() == 2);
    CHECK(kept.at(0).attempt == second);
    CHECK(kept.at(0).age == Millis{5});
    CHECK(kept.at(1).attempt == first);
    CHECK(kept.at(1).key == key);
    CHECK(kept.at(1).bodyDigest == 7);
    CHECK(isWhole(kept.at(1), "one"));
    CHECK(table.bytesOf(first, 1, 1) == "n");
    CHECK(table.bytesOf(first, 3, 1).empty());
    CHECK(table.bytesOf(third, 0, 1).empty());
}

TEST_CASE("what is not given")
{
    AnswerTable table(small);
    table.start(Millis{0}, first, key, 7);
    table.setHead(first, head);
    table.append(first, "one");
    SUBCASE("an answer that still runs")
    {
    }
    SUBCASE("an answer that broke off")
    {
        table.finish(Millis{1}, first, AnswerState::Broken, "");
    }
    SUBCASE("an answer that did not run")
    {
        table.finish(Millis{1}, first, AnswerState::NotRun, "");
    }
    SUBCASE("an answer read along from another router, which no claim names")
    {
        table.setCopy(first);
        table.finish(Millis{1}, first, AnswerState::Complete, "");
    }
    SUBCASE("an answer too large to be kept")
    {
        table.append(first, std::string(2000, 'x'));
        table.finish(Millis{1}, first, AnswerState::Complete, "");
    }
    CHECK(table.kept(Millis{2}).empty());
    CHECK(table.bytesOf(first, 0, 10).empty());
}

TEST_CASE("an answer that nobody can ask for by a key is not given")
{
    AnswerTable table(small);
    run(table, Millis{0}, first, std::nullopt, "one");
    CHECK(table.kept(Millis{1}).empty());
}

// Guards against retries that are refused after a rolling update because the outcome is unknown. The router that ran
// the request has stopped, the retry arrives at another one, and the answer was lost with the process.
TEST_CASE("a retry joins an answer that was handed over")
{
    AnswerTable table(small);
    REQUIRE(table.keep(Millis{0}, describe(first, key, 7, head, "one"), "one"));
    const StartResult retry = table.start(Millis{1}, second, key, 7);
    CHECK(retry.verdict == StartVerdict::Joined);
    CHECK(retry.attempt == first);
    CHECK(bodyOf(table, first) == "one");
    CHECK(table.start(Millis{1}, second, key, 8).verdict == StartVerdict::BodyDiffers);
    CHECK(table.start(Millis{1}, second, otherKey, 7).verdict == StartVerdict::Started);
    CHECK(table.kept(Millis{2}).size() == 1);
}

TEST_CASE("what is not taken")
{
    AnswerTable table(small);
    KeptAnswer answer = describe(first, key, 7, head, "one");
    std::string body = "one";
    SUBCASE("a body that was cut")
    {
        body = "on";
    }
    SUBCASE("a body of another answer")
    {
        body = "two";
    }
    SUBCASE("an answer kept for its time already")
    {
        answer.age = small.keepFor;
    }
    SUBCASE("an age that cannot be")
    {
        answer.age = Millis{-1};
    }
    SUBCASE("a body larger than one answer may be")
    {
        body = std::string(small.bytesPerAnswer + 1, 'x');
        answer = describe(first, key, 7, head, body);
    }
    CHECK(!table.keep(Millis{0}, answer, body));
    CHECK(table.count() == 0);
    CHECK(table.usedBytes() == 0);
    CHECK(table.start(Millis{1}, second, key, 7).verdict == StartVerdict::Started);
}

TEST_CASE("a second hand-over of an answer changes nothing")
{
    AnswerTable table(small);
    REQUIRE(table.keep(Millis{0}, describe(first, key, 7, head, "one"), "one"));
    const std::size_t used = table.usedBytes();
    CHECK(table.keep(Millis{5}, describe(first, key, 7, head, "one"), "one"));
    CHECK(table.usedBytes() == used);
    CHECK(table.count() == 1);
    table.tick(Millis{1000});
    CHECK(table.count() == 0);
}

TEST_CASE("an answer that runs here keeps its key when one is handed over")
{
    AnswerTable table(small);
    table.start(Millis{0}, second, key, 7);
    REQUIRE(table.keep(Millis{0}, describe(first, key, 7, head, "one"), "one"));
    CHECK(table.find(key) == second);
    CHECK(bodyOf(table, first) == "one");
}

TEST_CASE("handed-over answers are kept for what is left of their time, and the oldest go first")
{
    AnswerTable table(small);
    run(table, Millis{900}, second, otherKey, "two");
    KeptAnswer old = describe(first, key, 7, head, "one");
    old.age = Millis{800};
    REQUIRE(table.keep(Millis{1000}, old, "one"));
    SUBCASE("time")
    {
        table.tick(Millis{1199});
        CHECK(table.count() == 2);
        table.tick(Millis{1200});
        CHECK(table.count() == 1);
        CHECK(bodyOf(table, second) == "two");
    }
    SUBCASE("room: younger ones drop it, and it drops no younger one")
    {
        const std::string large(small.bytesPerAnswer, 'x');
        CHECK(table.keep(Millis{1000}, describe(third, {1, 1}, 7, head, large), large));
        CHECK(table.keep(Millis{1000}, describe({0, 4}, {1, 2}, 7, head, large), large));
        CHECK(bodyOf(table, first) == "none");
        CHECK(!table.keep(Millis{1000}, old, "one"));
        CHECK(bodyOf(table, second) == "two");
        CHECK(table.usedBytes() <= small.totalBytes);
    }
}
