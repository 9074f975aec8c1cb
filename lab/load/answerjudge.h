#pragma once

// Whether an answer is whole and the caller's own. Written apart from the router's own check (answercheck), so that a
// mistake there is seen here.
//
//     AnswerJudge judge("w1-0-7", true);
//     judge.head(200, headers);
//     judge.data(bytes);          // how many tokens came with these bytes
//     judge.finish();             // AnswerVerdict::Whole

#include "lab/load/chunktemplate.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/protocol/clientapi/ssereader.h"
#include "sequoiausher/protocol/http/httpheaders.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

class QJsonObject;

namespace Sequoiausher::Lab {

/** What an answer was. */
enum class AnswerVerdict {
    Whole,
    /** A status other than 200. */
    Refused,
    /** A stream that ended in an error event. */
    ErrorEvent,
    /** No end mark, or a body that is no answer. */
    Incomplete,
    /** Chunks missing, repeated or out of order, or the end mark before the finish. */
    Disordered,
    /** Another request's answer, or part of one. */
    Foreign,
};

/** The kind of an answer. */
enum class AnswerKind { Stream, Whole, Service };

/** The judge of one answer. */
class AnswerJudge
{
public:
    /** @param expectedEcho what the target repeats: the request's nonce, or for a service the digest of its body. */
    AnswerJudge(std::string expectedEcho, AnswerKind expected);

    void head(int code, const HttpHeaders &headers);
    /** Takes body bytes; returns how many chunks with text they completed. */
    std::size_t data(std::string_view bytes);
    /** The verdict at the end of the body. */
    AnswerVerdict finish();

    int status() const;
    /** X-Ran, or "-" where there is none. */
    const std::string &ran() const;
    /** The text of the answer. */
    const std::string &text() const;
    std::size_t cachedTokens() const;
    std::size_t promptTokens() const;

private:
    bool takeEvent(const std::string &data);
    bool takeParsed(const std::string &data);
    void learn(const std::string &data, const std::string &part);
    void takeWhole();
    void takeUsage(const QJsonObject &json);
    void spoil(AnswerVerdict how);

    std::string nonce;
    AnswerKind kind;
    SseReader reader;
    std::string body;
    std::string requestId;
    std::string ranHeader = "-";
    std::string answer;
    std::optional<ChunkTemplate> chunks;
    AnswerVerdict spoilt = AnswerVerdict::Whole;
    std::size_t nextOffset = 0;
    std::size_t cached = 0;
    std::size_t prompt = 0;
    int code = 0;
    bool finishSeen = false;
    bool ended = false;
};

} // namespace Sequoiausher::Lab

namespace Sequoiausher {

template<>
inline constexpr auto nameTable<Lab::AnswerVerdict> = std::to_array<NameEntry<Lab::AnswerVerdict>>({
    {Lab::AnswerVerdict::Whole, "whole"},
    {Lab::AnswerVerdict::Refused, "refused"},
    {Lab::AnswerVerdict::ErrorEvent, "error_event"},
    {Lab::AnswerVerdict::Incomplete, "incomplete"},
    {Lab::AnswerVerdict::Disordered, "disordered"},
    {Lab::AnswerVerdict::Foreign, "foreign"},
});

} // namespace Sequoiausher
