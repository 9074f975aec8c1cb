#pragma once

// The head of an HTTP/1.1 message as it was read.
//
//     const std::string_view host = head.headers.value("host");

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/protocol/http/httpheaders.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** The head of a request or of an answer. */
struct HttpHead
{
    /** Of a request. */
    std::string method;
    std::string target;
    /** Of an answer. */
    int status = 0;
    /** 11 is HTTP/1.1. */
    int version = 11;
    HttpHeaders headers;
    bool keepAlive = true;
    bool chunked = false;
    /** Present where the head says how long the body is. */
    std::optional<std::uint64_t> contentLength;
};

/** What marks the end of an answer's body. */
enum class BodyFraming {
    Length,
    Chunks,
    /** Nothing in the answer: the body ends with the connection. */
    Close,
};

template<>
inline constexpr auto nameTable<BodyFraming> = std::to_array<NameEntry<BodyFraming>>({
    {BodyFraming::Length, "length"},
    {BodyFraming::Chunks, "chunks"},
    {BodyFraming::Close, "close"},
});

/** Returns the memory that the fields of a message take, in bytes. Many short fields take many times their text. */
std::size_t memoryOf(const HttpHeaders &headers);

/** The same for an answer, whose head its reader keeps beside who passes it on. */
std::size_t memoryOfAnswerHead(const HttpHead &head);

/** How an answer with this head frames its body, if it has one. */
BodyFraming framingOf(const HttpHead &head);

/** Whether a comma separated list, as in Connection, holds word, in whatever case. */
bool listHolds(std::string_view list, std::string_view word);

/** The reason phrase of a status. */
std::string_view reasonOf(int status);

} // namespace Sequoiausher
