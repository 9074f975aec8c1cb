#include "sequoiausher/protocol/clientapi/ssereader.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Sequoiausher;

namespace {

using Events = std::vector<SseEvent>;

} // namespace

TEST_CASE("events are read as the standard says")
{
    struct Row
    {
        std::string text;
        Events events;
    };
    const std::vector<Row> rows{
        {"data: a\n\n", {{"a", "", ""}}},
        {"data:a\r\n\r\n", {{"a", "", ""}}},
        {"data: a\r\rdata: b\r\r", {{"a", "", ""}, {"b", "", ""}}},
        {"data:  a\ndata\ndata: b\n\n", {{" a\n\nb", "", ""}}},
        {"event: error\nid: 7\ndata: {}\n\ndata: x\n\n", {{"{}", "error", "7"}, {"x", "", "7"}}},
        {": comment\n\nretry: 5\n\nevent: lost\n\ndata: a\n\n", {{"a", "", ""}}},
        {"\xEF\xBB\xBF"
         "data: a\n\n",
         {{"a", "", ""}}},
        {"data: a\ndata: broken", {}},
        {"\n\n\n", {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        SseReader reader;
        CHECK((reader.push(row.text) == row.events));
    }
}

TEST_CASE("a stream that breaks off within an event is seen")
{
    SseReader reader;
    reader.push("data: a\n\n");
    CHECK(!reader.hasPartialEvent());
    reader.push("da");
    CHECK(reader.hasPartialEvent());
    reader.push("ta: b\n");
    CHECK(reader.hasPartialEvent());
    reader.push("\n");
    CHECK(!reader.hasPartialEvent());
}

TEST_CASE("an event that grows without end is refused")
{
    // Symptom: a router's memory grows with one stream. A target sends a line, or data lines, that never end.
    SseReader longLine(100);
    CHECK_THROWS_AS(longLine.push(std::string(101, 'x')), Error);
    SseReader manyLines(100);
    CHECK_THROWS_AS(
        for (int i = 0; i < 20; ++i) { manyLines.push("data: x\n"); }, Error);
    SseReader manyEvents(100);
    for (int i = 0; i < 100; ++i) {
        CHECK(manyEvents.push("data: x\n\n").size() == 1);
    }
}

TEST_CASE("a line of any length ends at its end")
{
    for (const std::string end : {"\n", "\r", "\r\n"}) {
        for (std::size_t length = 1; length < 1100; ++length) {
            CAPTURE(length);
            const std::string data(length, 'x');
            SseReader reader;
            std::string text = "data:";
            for (const std::string &part : {data, end, std::string("data:y"), end, end, std::string(":"), end}) {
                text += part;
            }
            const Events events = reader.push(text);
            REQUIRE(events.size() == 1);
            CHECK(events.front().data == data + "\ny");
            CHECK(!reader.hasPartialEvent());
        }
    }
}

TEST_CASE("where the bytes are cut makes no difference")
{
    CHECK(rc::check([] {
        const auto pieces = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
            "data", ":", " ", "\r", "\n", "\r\n", "\n\n", "id: 1", "event: e", "data: a\n\n", "x"));
        std::string text;
        SseReader cut;
        Events inParts;
        for (const std::string &piece : pieces) {
            text += piece;
            const Events some = cut.push(piece);
            inParts.insert(inParts.end(), some.begin(), some.end());
        }
        SseReader whole;
        RC_ASSERT(whole.push(text) == inParts);
        RC_ASSERT(whole.hasPartialEvent() == cut.hasPartialEvent());
        SseReader single;
        Events byByte;
        for (const char c : text) {
            const Events some = single.push(std::string_view(&c, 1));
            byByte.insert(byByte.end(), some.begin(), some.end());
        }
        RC_ASSERT(byByte == inParts);
    }));
}

TEST_CASE("any bytes are read or refused, and no more is held than the bound")
{
    CHECK(rc::check([] {
        constexpr std::size_t bound = 64;
        SseReader reader(bound);
        for (const auto &bytes : *rc::gen::arbitrary<std::vector<std::string>>()) {
            try {
                for (const SseEvent &event : reader.push(bytes)) {
                    RC_ASSERT(event.data.size() <= bound);
                }
            } catch (const Error &error) {
                RC_ASSERT(error.step() == Step::Decode);
                return;
            }
        }
    }));
}
