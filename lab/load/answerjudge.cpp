#include "lab/load/answerjudge.h"

#include "sequoiausher/base/error.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr int statusOk = 200;

QJsonObject parseObject(const std::string &text)
{
    return QJsonDocument::fromJson(QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()))).object();
}

QJsonObject firstChoice(const QJsonObject &json)
{
    return json.value("choices").toArray().first().toObject();
}

std::string contentOf(const QJsonObject &choice)
{
    return choice.value("delta").toObject().value("content").toString().toStdString();
}

std::string idOf(const QJsonObject &json)
{
    return json.value("id").toString().toStdString();
}

qint64 offsetOf(const QJsonObject &json)
{
    return json.value("offset").toInteger(-1);
}

constexpr std::uint64_t probeOffset = 987654;
constexpr const char *probeText = "probe";

} // namespace

AnswerJudge::AnswerJudge(std::string expectedEcho, AnswerKind expected) : nonce(std::move(expectedEcho)), kind(expected)
{
}

void AnswerJudge::head(int status, const HttpHeaders &headers)
{
    this->code = status;
    this->requestId = headers.value("X-Request-Id");
    if (headers.has("X-Ran")) {
        this->ranHeader = headers.value("X-Ran");
    }
}

std::size_t AnswerJudge::data(std::string_view bytes)
{
    if (this->kind != AnswerKind::Stream || this->code != statusOk) {
        this->body += bytes;
        return 0;
    }
    std::size_t tokens = 0;
    try {
        for (const SseEvent &event : this->reader.push(bytes)) {
            tokens += this->takeEvent(event.data) ? 1 : 0;
        }
    } catch (const Error &) {
        this->spoil(AnswerVerdict::Incomplete);
    }
    return tokens;
}

bool AnswerJudge::takeEvent(const std::string &data)
{
    if (this->ended) {
        this->spoil(AnswerVerdict::Disordered);
        return false;
    }
    if (data == "[DONE]") {
        this->ended = true;
        if (!this->finishSeen) {
            this->spoil(AnswerVerdict::Disordered);
        }
        return false;
    }
    if (this->chunks) {
        if (const std::optional<std::string_view> text = this->chunks->match(data, this->nextOffset)) {
            ++this->nextOffset;
            this->answer += *text;
            return !text->empty();
        }
    }
    return this->takeParsed(data);
}

bool AnswerJudge::takeParsed(const std::string &data)
{
    const QJsonObject json = parseObject(data);
    if (json.contains("error")) {
        this->spoil(AnswerVerdict::ErrorEvent);
        return false;
    }
    if (idOf(json) != "chatcmpl-" + this->requestId) {
        this->spoil(AnswerVerdict::Foreign);
    }
    if (offsetOf(json) != static_cast<qint64>(this->nextOffset)) {
        this->spoil(AnswerVerdict::Disordered);
    }
    ++this->nextOffset;
    const QJsonObject choice = firstChoice(json);
    if (choice.value("finish_reason").isString()) {
        this->finishSeen = true;
        this->takeUsage(json);
    }
    const std::string part = contentOf(choice);
    this->answer += part;
    if (!this->chunks && !this->finishSeen && this->spoilt == AnswerVerdict::Whole && !part.empty()) {
        this->learn(data, part);
    }
    return !part.empty();
}

/** data is a right chunk, the last one taken: those like it need no parser, if a probe is read as it should be. */
void AnswerJudge::learn(const std::string &data, const std::string &part)
{
    const auto found = ChunkTemplate::of(data, this->nextOffset - 1, part);
    if (!found) {
        return;
    }
    const QJsonObject probe = parseObject(found->fill(probeOffset, probeText));
    const QJsonObject choice = firstChoice(probe);
    const bool finishes = choice.value("finish_reason").isString() || probe.contains("error");
    const bool isOwn = idOf(probe) == "chatcmpl-" + this->requestId;
    if (isOwn && !finishes && offsetOf(probe) == probeOffset && contentOf(choice) == probeText) {
        this->chunks = found;
    }
}

void AnswerJudge::takeWhole()
{
    const QJsonObject json = parseObject(this->body);
    if (this->kind == AnswerKind::Service) {
        if (!json.contains("run") || this->requestId.empty()) {
            this->spoil(AnswerVerdict::Incomplete);
        } else if (json.value("echo").toString().toStdString() != this->nonce) {
            this->spoil(AnswerVerdict::Foreign);
        }
        return;
    }
    const QJsonObject choice = firstChoice(json);
    if (!choice.value("finish_reason").isString()) {
        this->spoil(AnswerVerdict::Incomplete);
        return;
    }
    if (json.value("id").toString().toStdString() != "chatcmpl-" + this->requestId) {
        this->spoil(AnswerVerdict::Foreign);
    }
    this->answer = choice.value("message").toObject().value("content").toString().toStdString();
    this->takeUsage(json);
}

AnswerVerdict AnswerJudge::finish()
{
    if (this->code != statusOk) {
        return AnswerVerdict::Refused;
    }
    if (this->kind == AnswerKind::Stream) {
        if (!this->ended) {
            this->spoil(AnswerVerdict::Incomplete);
        }
    } else {
        this->takeWhole();
    }
    const std::string expected = "echo-" + this->nonce + " ";
    const bool own = this->kind == AnswerKind::Service || this->answer.compare(0, expected.size(), expected) == 0;
    if (this->spoilt == AnswerVerdict::Whole && !own) {
        this->spoil(AnswerVerdict::Foreign);
    }
    return this->spoilt;
}

/** The first fault found is the verdict, but for another's answer, which is the worst. */
void AnswerJudge::spoil(AnswerVerdict how)
{
    if (this->spoilt == AnswerVerdict::Whole || how == AnswerVerdict::Foreign) {
        this->spoilt = how;
    }
}

void AnswerJudge::takeUsage(const QJsonObject &json)
{
    const QJsonObject usage = json.value("usage").toObject();
    this->prompt = static_cast<std::size_t>(usage.value("prompt_tokens").toInteger());
    this->cached
        = static_cast<std::size_t>(usage.value("prompt_tokens_details").toObject().value("cached_tokens").toInteger());
}

int AnswerJudge::status() const
{
    return this->code;
}

const std::string &AnswerJudge::ran() const
{
    return this->ranHeader;
}

const std::string &AnswerJudge::text() const
{
    return this->answer;
}

std::size_t AnswerJudge::cachedTokens() const
{
    return this->cached;
}

std::size_t AnswerJudge::promptTokens() const
{
    return this->prompt;
}

} // namespace Sequoiausher::Lab
