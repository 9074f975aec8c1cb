#pragma once

// Reads one HTTP/1.1 message after the other from bytes as they arrive, by Boost.Beast's parser. Strict where leniency
// would let one request hide in another: two lengths, a length beside chunks, transfer codings other than chunked, and
// bare line feeds are errors.
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

/** Why a message cannot be read. */
enum class HttpFault {
    None,
    HeadTooLong,
    BodyTooLong,
    /** Not HTTP/1.1 as this reader takes it. */
    Malformed,
};

template<>
inline constexpr auto nameTable<HttpFault> = std::to_array<NameEntry<HttpFault>>({
    {HttpFault::None, "none"},
    {HttpFault::HeadTooLong, "head-too-long"},
    {HttpFault::BodyTooLong, "body-too-long"},
    {HttpFault::Malformed, "malformed"},
});

/** The longest message that is taken. */
struct HttpReaderLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
};

/** Reads messages of one direction. */
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

    /** For the next message. */
    void setLimits(const HttpReaderLimits &limits);
    /** The next answer has no body whatever its head says: the answer to HEAD. */
    void expectNoBody();

    /** Takes from the front of bytes what belongs to the present message. */
    void read(std::string &bytes);
    /** The connection was closed in order: completes an answer without a length. */
    void finish();

    bool hasHead() const;
    bool isComplete() const;
    HttpFault fault() const;
    const HttpHead &head() const;
    /** The body so far, without chunk marks, taken away from the reader. */
    std::string takeBody();
    std::size_t bodySize() const;

    /** Begins with the next message. */
    void restart();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
