#include "lab/load/answerjudge.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

std::string chunk(const std::string &id, int offset, const std::string &text, bool last = false)
{
    return R"(data: {"id":"chatcmpl-)" + id + R"(","offset":)" + std::to_string(offset)
        + R"(,"choices":[{"delta":{"content":")" + text + R"("},"finish_reason":)" + (last ? "\"length\"" : "null")
        + "}]}\n\n";
}

const std::string done = "data: [DONE]\n\n";

AnswerVerdict judge(const std::string &body, AnswerKind kind, int status = 200)
{
    AnswerJudge judge("n1", kind);
    HttpHeaders headers;
    headers.add("X-Request-Id", "a");
    judge.head(status, headers);
    judge.data(body);
    return judge.finish();
}

} // namespace

TEST_CASE("an answer that is not whole, in order and the caller's own is found out")
{
    struct Row
    {
        const char *name;
        std::string body;
        AnswerVerdict verdict;
    };
    const std::string first = chunk("a", 0, "echo-n1 ");
    const std::string last = chunk("a", 1, "", true);
    const std::vector<Row> rows{
        {"whole", first + last + done, AnswerVerdict::Whole},
        {"no end mark", first + last, AnswerVerdict::Incomplete},
        {"nothing", "", AnswerVerdict::Incomplete},
        {"no finish", first + done, AnswerVerdict::Disordered},
        {"chunk missing", first + chunk("a", 2, "", true) + done, AnswerVerdict::Disordered},
        {"chunk twice", first + first + last + done, AnswerVerdict::Disordered},
        {"more after the end", first + last + done + last, AnswerVerdict::Disordered},
        {"another's chunk", first + chunk("b", 1, "", true) + done, AnswerVerdict::Foreign},
        {"another's nonce", chunk("a", 0, "echo-n11 ") + last + done, AnswerVerdict::Foreign},
        {"error", first + "data: {\"error\":{}}\n\n", AnswerVerdict::ErrorEvent},
        {"no answer", "data: x\n\n" + done, AnswerVerdict::Foreign},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CHECK(judge(row.body, AnswerKind::Stream) == row.verdict);
    }
    CHECK(judge("", AnswerKind::Stream, 503) == AnswerVerdict::Refused);
}

// Symptom: a bench passes though a router gave wrong answers.
// Sequence: the first chunk is right, and a later one, which is recognised by its likeness, has one wrong byte.
// Cause: a chunk would count as like the first one though a parser reads another id, offset or end from it.
TEST_CASE("one wrong byte in a later chunk is judged as it is in the first of its kind")
{
    const std::string begin = chunk("a", 0, "echo-n1 ");
    const std::string second = chunk("a", 1, "t ");
    const std::string rest = chunk("a", 2, "", true) + done;
    REQUIRE(judge(begin + second + rest, AnswerKind::Stream) == AnswerVerdict::Whole);
    // A chunk with an escape in its text gives no template, so the next one is parsed.
    const std::string unlike = chunk("a", 0, R"(echo-n1 \u0020)");
    for (std::size_t at = 0; at < second.size(); ++at) {
        for (const char byte : {'0', '1', 'b', '"', '\\', '{', '}', ',', ' ', '\x01', '\n'}) {
            CAPTURE(at);
            CAPTURE(byte);
            std::string changed = second;
            changed[at] = byte;
            changed += rest;
            CHECK(judge(begin + changed, AnswerKind::Stream) == judge(unlike + changed, AnswerKind::Stream));
        }
    }
}

TEST_CASE("a number that only looks like the offset is not taken for it")
{
    const auto withLookalike = [](const std::string &event, const std::string &seen) {
        std::string text = R"(data: {"seen":{"offset":)";
        text += seen;
        text += "},";
        text += event.substr(event.find('{') + 1);
        return text;
    };
    const std::string first = withLookalike(chunk("a", 0, "echo-n1 "), "0");
    const std::string rest = chunk("a", 2, "", true) + done;
    CHECK(judge(first + withLookalike(chunk("a", 1, "t "), "0") + rest, AnswerKind::Stream) == AnswerVerdict::Whole);
    CHECK(judge(first + withLookalike(chunk("a", 0, "t "), "1") + rest, AnswerKind::Stream)
          == AnswerVerdict::Disordered);
}

TEST_CASE("whole and service answers are judged too")
{
    const std::string begin = R"({"id":"chatcmpl-a","choices":[{"message":{"content":"echo-n)";
    const std::string end = R"( t1 "},"finish_reason":"length"}]})";
    CHECK(judge(begin + "1" + end, AnswerKind::Whole) == AnswerVerdict::Whole);
    CHECK(judge(begin + "2" + end, AnswerKind::Whole) == AnswerVerdict::Foreign);
    CHECK(judge(begin, AnswerKind::Whole) == AnswerVerdict::Incomplete);
    CHECK(judge(R"({"run":3,"echo":"n1"})", AnswerKind::Service) == AnswerVerdict::Whole);
    CHECK(judge(R"({"run":3,"echo":"n2"})", AnswerKind::Service) == AnswerVerdict::Foreign);
    CHECK(judge("", AnswerKind::Service) == AnswerVerdict::Incomplete);
}
