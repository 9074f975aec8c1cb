#pragma once

// Frames on a byte stream between routers: a byte that acknowledges a frame of the other direction, three bytes of
// length, most significant first, then the body. A body of no bytes is a sign of life. Routers of the first version
// have a length of four bytes in its place, which for every frame that may be sent is the same with nothing
// acknowledged.
//
//     FrameAssembler assembler("router r3");
//     assembler.feed(bytes);
//     while (auto body = assembler.next()) { ... }

#include "sequoiausher/transport/peers/framenumber.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** body with its length in front, and the acknowledged frame: noFrame towards a peer that knows no acknowledgements. */
std::string framed(std::string_view body, FrameNumber acknowledged = noFrame);

/** Cuts a stream of bytes into frames, however the bytes arrive. */
class FrameAssembler
{
public:
    /** @param peer names the sender in errors. @param largest the longest body taken, in bytes. */
    FrameAssembler(std::string peer, std::size_t largest);
    ~FrameAssembler();

    /** From the next frame on, the other side acknowledges frames; before, a length has four bytes. */
    void expectAcknowledgements();

    /** Takes bytes as they arrived. */
    void feed(std::string_view bytes);

    /**
     * The next whole body; std::nullopt until more bytes come. Throws Error(Step::Read, peer, ...) as soon as a length
     * above the largest is announced, before its body is awaited; nothing can be read after that.
     */
    std::optional<std::string> next();

    /** What the frame that next() gave last acknowledges, or noFrame. */
    FrameNumber acknowledged() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
