#include "sequoiausher/protocol/clientapi/plainchunk.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

const std::string usual
    = R"({"id":"chatcmpl-1f","object":"chat.completion.chunk","created":0,"model":"m","offset":17,"choices":[{"index":0,)"
      R"("delta":{"content":"t17 "},"finish_reason":null}]})";

/** What the scan says must be what the full parser says. */
void checkAgainstParser(const std::string &text)
{
    const std::optional<PlainChunk> scanned = scanPlainChunk(text);
    if (!scanned) {
        return;
    }
    CAPTURE(text);
    const QJsonObject parsed = QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
    REQUIRE(parsed.value("id").isString());
    CHECK(parsed.value("id").toString().toStdString() == scanned->id);
    CHECK(parsed.value("offset").isDouble() == scanned->offset.has_value());
    if (scanned->offset) {
        CHECK(static_cast<std::uint64_t>(parsed.value("offset").toInteger()) == *scanned->offset);
    }
    CHECK(!parsed.value("usage").isObject());
    CHECK(!parsed.value("choices").toArray().first().toObject().value("finish_reason").isString());
}

} // namespace

TEST_CASE("a usual chunk is read by the scan")
{
    const std::optional<PlainChunk> chunk = scanPlainChunk(usual);
    REQUIRE(chunk);
    CHECK(chunk->id == "chatcmpl-1f");
    CHECK(chunk->offset == 17);
    CHECK(!scanPlainChunk(R"({"id":"a"})")->offset);
}

TEST_CASE("what is not plain is left to the full parser")
{
    const std::vector<std::string> others{"",
                                          "[]",
                                          "{}",
                                          R"({"id":"a"})"
                                          " x",
                                          R"({"id":"a","id":"b"})",
                                          R"({"id":"a","offset":1,"offset":2})",
                                          R"({"id":"a","offset":-1})",
                                          R"({"id":"a","offset":1.5})",
                                          R"({"id":"a","offset":01})",
                                          R"({"id":"a","offset":"1"})",
                                          R"({"i\u0064":"b","id":"a"})",
                                          R"({"id":"a","x":"\n"})",
                                          "{\"id\":\"a\",\"x\":\"\xc3\xa9\"}",
                                          R"({"id":"a","choices":[{"finish_reason":"stop"}]})",
                                          R"({"id":"a","usage":{"prompt_tokens":1}})",
                                          R"({"id":"a",})",
                                          R"({"id":"a")",
                                          R"({"x":{"id":"a"}})"};
    for (const std::string &text : others) {
        CAPTURE(text);
        CHECK(!scanPlainChunk(text));
    }
}

TEST_CASE("no changed, lost or added byte makes the scan differ from the full parser")
{
    const std::string bytes = "\"\\{}[]:,0129-.eE nulltrue\x01\x7f\xc3/";
    for (std::size_t i = 0; i < usual.size(); ++i) {
        checkAgainstParser(usual.substr(0, i));
        checkAgainstParser(usual.substr(0, i) + usual.substr(i + 1));
        for (const char byte : bytes) {
            std::string changed = usual;
            changed[i] = byte;
            checkAgainstParser(changed);
            checkAgainstParser(usual.substr(0, i) + byte + usual.substr(i));
        }
    }
}
