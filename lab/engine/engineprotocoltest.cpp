#include "lab/engine/engineprotocol.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

TEST_CASE("a chat call is read with its words, nonce and length")
{
    const auto call = parseChat(R"({"model": "plates", "stream": true, "max_tokens": 5, "messages": [
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": [{"type": "text", "text": "where is"}, {"type": "text", "text": "plate n17"}]},
        {"role": "assistant", "content": "there"}]})");
    REQUIRE(call.has_value());
    CHECK(call->request.model == "plates");
    CHECK(call->stream);
    CHECK(call->request.maxTokens == 5);
    CHECK(call->request.nonce == "n17");
    CHECK(call->request.promptTokens.size() == 7);
}

TEST_CASE("what is no chat call is refused, and the length has a default and a least value")
{
    for (const char *bad : {"", "[]", "{}", R"({"messages": []})", R"({"messages": "x"})"}) {
        CAPTURE(bad);
        CHECK(!parseChat(bad).has_value());
    }
    CHECK(parseChat(R"({"messages": [{"role": "user", "content": "x"}]})")->request.maxTokens == 32);
    CHECK(parseChat(R"({"messages": [{}], "max_tokens": -4})")->request.maxTokens == 1);
}

TEST_CASE("chunks carry id, offset and text; the last one usage")
{
    const RequestId id{1, 2};
    CHECK(chunkEvent(id, "m", 3, "say \"x\" ")
          == "data: {\"id\":\"chatcmpl-00000000000000010000000000000002\",\"object\":\"chat.completion.chunk\","
             "\"created\":0,\"model\":\"m\",\"offset\":3,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"say "
             "\\\"x\\\" \"},\"finish_reason\":null}]}\n\n");
    RunRecord record;
    record.promptTokens = 40;
    record.cachedTokens = 16;
    record.tokens = 2;
    const std::string last = finishEvent(id, record);
    CHECK(last.find(R"("offset":2)") != std::string::npos);
    CHECK(last.find(R"("finish_reason":"length")") != std::string::npos);
    CHECK(last.find(R"("prompt_tokens":40,"completion_tokens":2)") != std::string::npos);
    CHECK(last.find(R"("cached_tokens":16)") != std::string::npos);
}
