#include "sequoiausher/protocol/clientapi/clientrequest.h"

#include "sequoiausher/base/hashing.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <charconv>

namespace Sequoiausher {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr std::size_t maxChatLength = 128;
constexpr std::size_t maxPrefixLength = 128;
constexpr std::size_t maxKeyLength = 255;
constexpr std::int64_t maxDeadline = 3600000;
constexpr qsizetype messagesInChatDigest = 2;

[[noreturn]] void refuse(const std::string &code, const std::string &message, const std::string &param)
{
    throw BadRequest(ApiError{statusBadRequest, code, message, param});
}

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string readToken(const RequestHead &head, std::string_view name, std::size_t maxLength)
{
    std::string value = head.header(name);
    if (value.size() > maxLength || !isPrintable(value)) {
        refuse("invalid_header",
               std::string(name) + " must be 1 to " + std::to_string(maxLength)
                   + " printable ASCII characters without spaces.",
               std::string(name));
    }
    return value;
}

std::string readApiKey(const RequestHead &head)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = head.header("Authorization");
    if (value.size() <= scheme.size() || value.compare(0, scheme.size(), scheme) != 0) {
        throw BadRequest(ApiError{statusUnauthorized,
                                  "invalid_api_key",
                                  "Send the API key as 'Authorization: Bearer KEY'.",
                                  "Authorization"});
    }
    return value.substr(scheme.size());
}

RequestClass readClass(const RequestHead &head)
{
    const std::string value = head.header("X-Class");
    if (value.empty()) {
        return RequestClass::Interactive;
    }
    const std::optional<RequestClass> parsed = parseName<RequestClass>(value);
    if (!parsed) {
        refuse("invalid_header", "X-Class must be one of " + allNames<RequestClass>() + ".", "X-Class");
    }
    return *parsed;
}

std::optional<Millis> readDeadline(const RequestHead &head)
{
    const std::string value = head.header("X-Deadline-Ms");
    if (value.empty()) {
        return std::nullopt;
    }
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), count);
    if (error != std::errc{} || end != value.data() + value.size() || count < 1 || count > maxDeadline) {
        refuse("invalid_header", "X-Deadline-Ms must be a whole number from 1 to 3600000.", "X-Deadline-Ms");
    }
    return Millis{count};
}

// A chat whose caller gives no id is known by how it began: its first messages are sent again with each turn, so the
// same chat comes to the same target, whose cache holds them.
std::string chatDigest(const QJsonArray &messages)
{
    QJsonArray beginning;
    for (qsizetype i = 0; i < std::min(messages.size(), messagesInChatDigest); ++i) {
        beginning.append(messages.at(i));
    }
    const QByteArray text = QJsonDocument(beginning).toJson(QJsonDocument::Compact);
    const std::uint64_t digest = hash64(std::string_view(text.constData(), static_cast<std::size_t>(text.size())));
    return "digest-" + RequestId{0, digest}.toHex().substr(16);
}

// The first message of an application's chats is its system prompt, the same in all of them. Engines cache it once.
std::string prefixDigest(const QJsonValue &firstMessage)
{
    const QJsonValue content = firstMessage.toObject().value(QLatin1String("content"));
    const QByteArray text
        = content.isString() ? content.toString().toUtf8() : QJsonDocument(content.toArray()).toJson();
    const std::uint64_t digest = hash64(std::string_view(text.constData(), static_cast<std::size_t>(text.size())));
    return "digest-" + RequestId{0, digest}.toHex().substr(16);
}

std::size_t lengthOf(const QJsonArray &messages)
{
    std::size_t length = 0;
    for (const auto &message : messages) {
        const QJsonValue content = message.toObject().value(QLatin1String("content"));
        if (content.isString()) {
            length += static_cast<std::size_t>(content.toString().toUtf8().size());
        } else {
            length += static_cast<std::size_t>(QJsonDocument(content.toArray()).toJson().size());
        }
    }
    return length;
}

void readChat(ClientRequest &request, std::string_view body)
{
    QJsonParseError parseError;
    const QByteArray bytes = QByteArray::fromRawData(body.data(), static_cast<qsizetype>(body.size()));
    const QJsonDocument document = QJsonDocument::fromJson(bytes, &parseError);
    if (!document.isObject()) {
        const std::string reason = parseError.error == QJsonParseError::NoError
            ? "not an object"
            : parseError.errorString().toStdString() + " at byte " + std::to_string(parseError.offset);
        refuse("invalid_json", "The body must be a JSON object: " + reason + ".", "");
    }
    const QJsonObject object = document.object();
    const QJsonValue model = object.value(QLatin1String("model"));
    if (!model.isString() || model.toString().isEmpty()) {
        refuse("missing_field", "'model' must be a text.", "model");
    }
    const QJsonValue messages = object.value(QLatin1String("messages"));
    if (!messages.isArray() || messages.toArray().isEmpty()) {
        refuse("missing_field", "'messages' must be a list with at least one message.", "messages");
    }
    for (const auto &message : messages.toArray()) {
        if (!message.isObject()) {
            refuse("invalid_field", "Each of 'messages' must be an object.", "messages");
        }
    }
    const QJsonValue stream = object.value(QLatin1String("stream"));
    if (!stream.isUndefined() && !stream.isBool() && !stream.isNull()) {
        refuse("invalid_field", "'stream' must be true or false.", "stream");
    }
    request.isChat = true;
    request.model = model.toString().toStdString();
    request.streamed = stream.toBool(false);
    request.promptLength = lengthOf(messages.toArray());
    if (request.chat.empty()) {
        request.chat = chatDigest(messages.toArray());
    }
    if (request.prefix.empty()) {
        request.prefix = prefixDigest(messages.toArray().first());
    }
}

} // namespace

ClientRequest parseClientRequest(const RequestHead &head, std::string_view body)
{
    ClientRequest request;
    request.method = head.method;
    request.path = head.path;
    request.apiKey = readApiKey(head);
    request.requestClass = readClass(head);
    request.chat = readToken(head, "X-Chat-Id", maxChatLength);
    request.prefix = readToken(head, "X-Prefix-Id", maxPrefixLength);
    request.idempotencyKey = readToken(head, "Idempotency-Key", maxKeyLength);
    request.deadline = readDeadline(head);
    if (head.path == chatCompletionsPath) {
        readChat(request, body);
    } else {
        request.promptLength = body.size();
    }
    return request;
}

} // namespace Sequoiausher
