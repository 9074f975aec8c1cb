#pragma once

// Frames on a byte stream between routers: four bytes of length, most significant first, then the body. A body of no
// bytes is a sign of life.
//
//     FrameAssembler assembler("router r3");
//     assembler.feed(bytes);
//     while (auto body = assembler.next()) { ... }

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** body with its length in front. */
std::string framed(std::string_view body);

/** Cuts a stream of bytes into frames, however the bytes arrive. */
class FrameAssembler
{
public:
    /** @param peer names the sender in errors. @param largest the longest body taken, in bytes. */
    FrameAssembler(std::string peer, std::size_t largest);
    ~FrameAssembler();

    /** Takes bytes as they arrived. */
    void feed(std::string_view bytes);

    /**
     * The next whole body; std::nullopt until more bytes come. Throws Error(Step::Read, peer, ...) as soon as a length
     * above the largest is announced, before its body is awaited; nothing can be read after that.
     */
    std::optional<std::string> next();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
