#include "sequoiausher/protocol/clientapi/answercheck.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace Sequoiausher;

namespace {

const RequestId request{1, 2};

std::string chunk(const RequestId &id, int offset, const std::string &finishReason = "null")
{
    return R"({"id":"chatcmpl-)" + id.toHex() + R"(","offset":)" + std::to_string(offset)
        + R"(,"choices":[{"finish_reason":)" + finishReason + "}]}";
}

} // namespace

TEST_CASE("a whole answer passes, chunk by chunk")
{
    AnswerCheck check(request);
    CHECK(check.accept(chunk(request, 0)) == ChunkVerdict::Pass);
    CHECK(check.accept(chunk(request, 1, "\"stop\"")) == ChunkVerdict::Pass);
    CHECK(!check.isComplete());
    CHECK(check.accept("[DONE]") == ChunkVerdict::Pass);
    CHECK(check.isComplete());
}

TEST_CASE("crossed, late and missing chunks are caught")
{
    // Symptom: one caller reads another's registration papers, or half an answer looks whole. Sequence: an engine
    // or a connection mixes up streams, repeats chunks after a resume, or loses some. Cause: nobody compared.
    AnswerCheck check(request);
    check.accept(chunk(request, 0));
    CHECK(check.accept(chunk(request, 0)) == ChunkVerdict::Repeated);
    CHECK(check.accept(chunk(request, 2)) == ChunkVerdict::Gap);
    CHECK(check.accept(chunk(RequestId{1, 3}, 1)) == ChunkVerdict::Foreign);
    CHECK(check.accept("not json") == ChunkVerdict::Foreign);
    CHECK(check.nextOffset() == 1);
    CHECK(check.accept("[DONE]") == ChunkVerdict::Gap);
    CHECK(check.accept(chunk(request, 1, "\"stop\"")) == ChunkVerdict::Pass);
    check.accept("[DONE]");
    CHECK(check.accept(chunk(request, 2)) == ChunkVerdict::Foreign);
}

TEST_CASE("token counts come from the last chunk")
{
    AnswerCheck check(request);
    std::string last = chunk(request, 0);
    last.pop_back();
    last += R"(,"usage":{"prompt_tokens":10,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":8}}})";
    check.accept(last);
    CHECK(check.usage().promptTokens == 10);
    CHECK(check.usage().cachedTokens == 8);
    CHECK(check.usage().completionTokens == 4);
}

// No bytes but the request's own chunks in their order may pass, whatever a target or a crossed connection sends.
TEST_CASE("altered chunks pass only where they still are the next chunk of this answer")
{
    const std::string good = R"({"id":"chatcmpl-)" + request.toHex() + R"(","offset":0,"choices":[{"delta":{}}]})";
    CHECK(rc::check("altered", [&] {
        std::string altered = good;
        altered.at(*rc::gen::inRange<std::size_t>(0, altered.size())) = *rc::gen::arbitrary<char>();
        AnswerCheck check(request);
        const bool passed = check.accept(altered) == ChunkVerdict::Pass;
        RC_ASSERT(check.nextOffset() == (passed ? 1U : 0U));
        RC_ASSERT(!passed || altered.find(request.toHex()) != std::string::npos);
        RC_ASSERT(!check.isComplete());
    }));
    CHECK(rc::check("random", [](const std::string &text) {
        AnswerCheck check(request);
        RC_ASSERT(check.accept(text) != ChunkVerdict::Pass);
    }));
}
