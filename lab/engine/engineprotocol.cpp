#include "lab/engine/engineprotocol.h"

#include "lab/support/jsontext.h"
#include "sequoiausher/base/hashing.h"

#include <QtCore/QByteArray>
#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <algorithm>

namespace Sequoiausher::Lab {

namespace {

constexpr std::string_view blanks = " \t\r\n";
constexpr std::size_t defaultMaxTokens = 32;
constexpr std::size_t highestMaxTokens = 1000000;

/** The text of a message's content: a string, or parts of which the texts count. */
std::string contentOf(const QJsonObject &message)
{
    const QJsonValue content = message.value("content");
    if (content.isString()) {
        return content.toString().toStdString();
    }
    std::string text;
    for (const QJsonValue part : content.toArray()) {
        text += part.toObject().value("text").toString().toStdString() + " ";
    }
    return text;
}

/** Adds the hash of each word of text to tokens; returns the last word. */
std::string_view addWords(std::string_view text, std::vector<std::uint64_t> &tokens)
{
    std::string_view word;
    std::size_t start = text.find_first_not_of(blanks);
    while (start != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(blanks, start), text.size());
        word = text.substr(start, end - start);
        tokens.push_back(hash64(word));
        start = text.find_first_not_of(blanks, end);
    }
    return word;
}

std::string head(const RequestId &id, std::string_view object, std::string_view model)
{
    std::string text = R"({"id":"chatcmpl-)";
    text += id.toHex();
    text += R"(","object":")";
    text += object;
    text += R"(","created":0,"model":)";
    text += jsonString(model);
    return text;
}

std::string usageOf(const RunRecord &record)
{
    return R"("usage":{"prompt_tokens":)" + std::to_string(record.promptTokens) + R"(,"completion_tokens":)"
        + std::to_string(record.tokens) + R"(,"total_tokens":)" + std::to_string(record.promptTokens + record.tokens)
        + R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(record.cachedTokens) + "}}";
}

} // namespace

std::optional<ChatCall> parseChat(std::string_view body)
{
    const QJsonObject json
        = QJsonDocument::fromJson(QByteArray::fromRawData(body.data(), static_cast<qsizetype>(body.size()))).object();
    const QJsonArray messages = json.value("messages").toArray();
    if (messages.isEmpty()) {
        return std::nullopt;
    }
    ChatCall call;
    call.request.model = json.value("model").toString().toStdString();
    call.stream = json.value("stream").toBool();
    const qint64 wanted = json.value("max_tokens").toInteger(defaultMaxTokens);
    call.request.maxTokens = static_cast<std::size_t>(std::clamp<qint64>(wanted, 1, highestMaxTokens));
    for (const QJsonValue value : messages) {
        const QJsonObject message = value.toObject();
        const std::string content = contentOf(message);
        const std::string_view lastWord = addWords(content, call.request.promptTokens);
        if (message.value("role").toString() == "user") {
            call.request.nonce = lastWord;
        }
    }
    return call;
}

std::string chunkEvent(const RequestId &id, std::string_view model, std::size_t offset, std::string_view text)
{
    std::string event = "data: " + head(id, "chat.completion.chunk", model);
    event += R"(,"offset":)";
    event += std::to_string(offset);
    event += R"(,"choices":[{"index":0,"delta":{"content":)";
    event += jsonString(text);
    event += "},\"finish_reason\":null}]}\n\n";
    return event;
}

std::string finishEvent(const RequestId &id, const RunRecord &record)
{
    std::string event = "data: " + head(id, "chat.completion.chunk", record.model);
    event += R"(,"offset":)";
    event += std::to_string(record.tokens);
    event += R"(,"choices":[{"index":0,"delta":{},"finish_reason":"length"}],)";
    return event + usageOf(record) + "}\n\n";
}

std::string errorEvent(std::string_view message)
{
    return R"(data: {"error":{"message":)" + jsonString(message)
        + ",\"type\":\"lab_error\",\"code\":null,\"param\":null}}\n\n";
}

std::string wholeAnswer(const RequestId &id, const RunRecord &record, std::string_view content)
{
    std::string answer = head(id, "chat.completion", record.model);
    answer += R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)";
    answer += jsonString(content);
    answer += R"(},"finish_reason":"length"}],)";
    return answer + usageOf(record) + "}";
}

} // namespace Sequoiausher::Lab
