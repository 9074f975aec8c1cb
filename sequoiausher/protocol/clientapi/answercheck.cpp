#include "sequoiausher/protocol/clientapi/answercheck.h"

#include "sequoiausher/protocol/clientapi/plainchunk.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace Sequoiausher {

namespace {

constexpr std::string_view endMark = "[DONE]";
constexpr std::string_view idPrefix = "chatcmpl-";

std::uint64_t countIn(const QJsonObject &object, const char *name)
{
    return static_cast<std::uint64_t>(object.value(QLatin1String(name)).toInteger());
}

TokenUsage readUsage(const QJsonObject &usage)
{
    const QJsonObject details = usage.value(QLatin1String("prompt_tokens_details")).toObject();
    return TokenUsage{
        countIn(usage, "prompt_tokens"), countIn(details, "cached_tokens"), countIn(usage, "completion_tokens")};
}

bool hasFinishReason(const QJsonObject &chunk)
{
    const QJsonObject choice = chunk.value(QLatin1String("choices")).toArray().first().toObject();
    return choice.value(QLatin1String("finish_reason")).isString();
}

} // namespace

AnswerCheck::AnswerCheck(const RequestId &theRequest) : expectedId(std::string(idPrefix) + theRequest.toHex())
{
}

ChunkVerdict AnswerCheck::accept(std::string_view data)
{
    if (this->complete) {
        return ChunkVerdict::Foreign;
    }
    if (data == endMark) {
        // Without a finish reason the last chunks were lost, and the answer would pass as whole.
        if (!this->finished) {
            return ChunkVerdict::Gap;
        }
        this->complete = true;
        return ChunkVerdict::Pass;
    }
    // Nearly all chunks are plain, and a tree of each would cost a fifth of what a token costs the router.
    const std::optional<PlainChunk> plain = scanPlainChunk(data);
    return plain ? this->acceptAt(plain->id == this->expectedId, plain->offset) : this->acceptParsed(data);
}

ChunkVerdict AnswerCheck::acceptParsed(std::string_view data)
{
    const QByteArray bytes = QByteArray::fromRawData(data.data(), static_cast<qsizetype>(data.size()));
    const QJsonObject chunk = QJsonDocument::fromJson(bytes).object();
    const bool isOwn = chunk.value(QLatin1String("id")).toString().toStdString() == this->expectedId;
    const QJsonValue offset = chunk.value(QLatin1String("offset"));
    const ChunkVerdict verdict = this->acceptAt(
        isOwn, offset.isDouble() ? std::optional(static_cast<std::uint64_t>(offset.toInteger())) : std::nullopt);
    if (verdict != ChunkVerdict::Pass) {
        return verdict;
    }
    this->finished = this->finished || hasFinishReason(chunk);
    const QJsonValue usage = chunk.value(QLatin1String("usage"));
    if (usage.isObject()) {
        this->counted = readUsage(usage.toObject());
    }
    return verdict;
}

ChunkVerdict AnswerCheck::acceptAt(bool isOwn, std::optional<std::uint64_t> offset)
{
    if (!isOwn) {
        return ChunkVerdict::Foreign;
    }
    // Engines that number no chunks cannot be resumed; their chunks are counted as they come.
    const std::uint64_t at = offset.value_or(this->next);
    if (at < this->next) {
        return ChunkVerdict::Repeated;
    }
    if (at > this->next) {
        return ChunkVerdict::Gap;
    }
    this->next += 1;
    return ChunkVerdict::Pass;
}

bool AnswerCheck::isComplete() const
{
    return this->complete;
}

std::uint64_t AnswerCheck::nextOffset() const
{
    return this->next;
}

const TokenUsage &AnswerCheck::usage() const
{
    return this->counted;
}

} // namespace Sequoiausher
