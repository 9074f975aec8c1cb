#include "lab/load/chunktemplate.h"

#include <doctest/doctest.h>

using namespace Sequoiausher::Lab;

namespace {

std::string chunk(const std::string &offset, const std::string &text)
{
    return R"({"id":"chatcmpl-a","offset":)" + offset + R"(,"choices":[{"delta":{"content":")" + text
        + R"("},"finish_reason":null}]})";
}

bool matches(const std::string &other, std::uint64_t offset)
{
    const auto chunks = ChunkTemplate::of(chunk("0", "one "), 0, "one ");
    REQUIRE(chunks.has_value());
    return chunks->match(other, offset).has_value();
}

} // namespace

TEST_CASE("a chunk that differs by offset and text alone is recognised")
{
    const auto chunks = ChunkTemplate::of(chunk("9", "one "), 9, "one ");
    REQUIRE(chunks.has_value());
    CHECK(chunks->fill(10, "two") == chunk("10", "two"));
    CHECK(chunks->match(chunk("10", "two"), 10).value_or("none") == "two");
    CHECK(chunks->match(chunk("10", ""), 10).value_or("none").empty());
}

TEST_CASE("any other difference is left to the parser")
{
    CHECK(matches(chunk("1", "two"), 1));
    CHECK(!matches(chunk("2", "two"), 1));
    CHECK(!matches(chunk("01", "two"), 1));
    CHECK(!matches(chunk("1.5", "two"), 1));
    CHECK(!matches(chunk("1", R"(t\"wo)"), 1));
    CHECK(!matches(chunk("1", R"(two","x":")"), 1));
    CHECK(!matches(chunk("1", "tw\x01"), 1));
    CHECK(!matches(chunk("1", "tw\xc3\xb6"), 1));
    CHECK(!matches(chunk("1", "two") + " ", 1));
    CHECK(!matches("", 1));
    std::string foreign = chunk("1", "two");
    foreign.replace(foreign.find("chatcmpl-a"), 10, "chatcmpl-b");
    CHECK(!matches(foreign, 1));
}

TEST_CASE("a chunk without a plain text behind its offset gives no template")
{
    CHECK(!ChunkTemplate::of(chunk("0", R"(a\"b)"), 0, "a\"b").has_value());
    CHECK(!ChunkTemplate::of(chunk("0", "one"), 1, "one").has_value());
    CHECK(!ChunkTemplate::of(chunk("0", "one"), 0, "two").has_value());
    CHECK(!ChunkTemplate::of(R"({"content":"one","offset":0})", 0, "one").has_value());
}
