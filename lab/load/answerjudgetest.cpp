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
