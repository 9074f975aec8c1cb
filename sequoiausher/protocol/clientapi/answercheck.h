#pragma once

// Checks that the stream from an engine is the whole answer to one request: each chunk carries the request's id, no
// chunk is missing or comes twice, and the end mark comes last, after the chunk with the finish reason.
//
//     AnswerCheck check(request);
//     if (check.accept(event.data) == ChunkVerdict::Pass) { relay(event); }
//     if (check.isComplete()) { ... }

#include "sequoiausher/base/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** What is to be done with a chunk. */
enum class ChunkVerdict {
    Pass,
    /** Seen before, as after a resumed stream that overlaps: drop it. */
    Repeated,
    /** Chunks are missing before it: the stream must be resumed. */
    Gap,
    /** Another request's, or not a chunk at all: drop the connection. */
    Foreign,
};

/** Tokens counted by the engine, from the last chunk. */
struct TokenUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
};

/** The check of one answer. */
class AnswerCheck
{
public:
    explicit AnswerCheck(const RequestId &request);

    /** Looks at the data of one server-sent event. */
    ChunkVerdict accept(std::string_view data);

    /** The end mark was accepted. */
    bool isComplete() const;

    /** The offset of the first chunk not yet accepted: where a resumed stream must begin. */
    std::uint64_t nextOffset() const;

    const TokenUsage &usage() const;

private:
    ChunkVerdict acceptParsed(std::string_view data);
    ChunkVerdict acceptAt(bool isOwn, std::optional<std::uint64_t> offset);

    std::string expectedId;
    std::uint64_t next = 0;
    bool finished = false;
    bool complete = false;
    TokenUsage counted;
};

} // namespace Sequoiausher
