#pragma once

// Reads HTTP/1.1 messages incrementally with Boost.Beast's parser. Rejects what would allow request smuggling: two
// lengths, a length beside chunks, transfer codings other than chunked, and bare line feeds.
//
//     HttpReader reader(HttpReader::Kind::Request, {.headBytes = 16384, .bodyBytes = 4194304});
//     reader.read(stream.input());          // takes what belongs to this message, never a byte of the next one
//     if (reader.isComplete()) { use(reader.head(), reader.takeBody()); reader.restart(); }

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/protocol/http/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Sequoiausher {

/** Why a message was rejected. */
enum class HttpFault {
    None,
    HeadTooLong,
    BodyTooLong,
    /** Not valid HTTP/1.1, or ambiguous. */
    Malformed,
};

template<>
inline constexpr auto nameTable<HttpFault> = std::to_array<NameEntry<HttpFault>>({
    {HttpFault::None, "none"},
    {HttpFault::HeadTooLong, "head-too-long"},
    {HttpFault::BodyTooLong, "body-too-long"},
    {HttpFault::Malformed, "malformed"},
});

/** The size limits of a message. */
struct HttpReaderLimits
{
    /** Of the head, and of each part between the chunks of a body: a chunk's line, the fields after the last one. */
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
};

/** Reads the messages of one direction. */
class HttpReader
{
public:
    enum class Kind {
        Request,
        Answer,
    };

    HttpReader(Kind kind, const HttpReaderLimits &limits);
    ~HttpReader();
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /** Applies from the next message on. */
    void setLimits(const HttpReaderLimits &limits);
    /** The next answer has no body, whatever its head says, since it answers a HEAD request. */
    void expectNoBody();

    /** Consumes the bytes of the current message from the front of bytes. */
    void read(std::string &bytes);
    /** Records an orderly close of the connection, which completes an answer without a length. */
    void finish();

    bool hasHead() const;
    bool isComplete() const;
    HttpFault fault() const;
    const HttpHead &head() const;
    /** Returns the head of a complete message, and removes it from the reader. */
    HttpHead takeHead();
    /** Returns the body so far, without chunk headers, and removes it from the reader. */
    std::string takeBody();
    std::size_t bodySize() const;
    /** Reserves the memory of a body of so many bytes, which does not grow step by step then. */
    void reserveBody(std::size_t bytes);

    /** Begins the next message. */
    void restart();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
