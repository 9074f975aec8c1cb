#pragma once

// What a stand-in engine reads and writes, in OpenAI's shape: the chat request, the chunks of a stream and the whole
// answer. No sockets.
//
//     const auto chat = parseChat(body);
//     text += chunkEvent(id, "plates", offset, "t1 ");
//     text += finishEvent(id, record) + std::string(doneEvent);

#include "lab/engine/enginemodel.h"

#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher::Lab {

/** The end mark of a stream. */
inline constexpr std::string_view doneEvent = "data: [DONE]\n\n";

/** The part of a chat request that an engine cares for. */
struct ChatCall
{
    bool stream = false;
    /** Without ids and priority, which come in headers. */
    EngineRequest request;
};

/** Reads the body of POST /v1/chat/completions; std::nullopt where it is not JSON with messages. */
std::optional<ChatCall> parseChat(std::string_view body);

/** The chunk of one token, as a server-sent event. */
std::string chunkEvent(const RequestId &id, std::string_view model, std::size_t offset, std::string_view text);

/** The chunk after the last token, with finish_reason and usage. Its offset is the number of tokens. */
std::string finishEvent(const RequestId &id, const RunRecord &record);

/** An error event, in place of the rest of a stream. */
std::string errorEvent(std::string_view message);

/** The whole answer, not streamed. */
std::string wholeAnswer(const RequestId &id, const RunRecord &record, std::string_view content);

} // namespace Sequoiausher::Lab
