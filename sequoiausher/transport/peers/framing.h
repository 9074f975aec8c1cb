#pragma once

// Frames on a byte stream between routers: a byte that acknowledges a frame of the other direction, three bytes of
// length, most significant first, then the body. An empty body is a sign of life. Routers of the first version send a
// length of four bytes instead. For every permitted length its first byte is 0, which acknowledges nothing.
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

/** Returns the body after its header. @param acknowledged noFrame for a peer that does not support acknowledgements. */
std::string framed(std::string_view body, FrameNumber acknowledged = noFrame);

/** Splits a stream of bytes into frames, whatever parts the bytes arrive in. */
class FrameAssembler
{
public:
    /** @param peer names the sender in errors. @param largest the largest accepted body, in bytes. */
    FrameAssembler(std::string peer, std::size_t largest);
    ~FrameAssembler();

    /** The next frame and all later ones contain acknowledgements; earlier ones have a length of four bytes. */
    void expectAcknowledgements();

    /** Changes the largest accepted body for the next frame and all later ones, in bytes. */
    void setLargest(std::size_t bytes);

    /** Appends received bytes. */
    void feed(std::string_view bytes);

    /**
     * Returns the next complete body; std::nullopt if more bytes are needed. Throws Error(Step::Read, peer, ...) for a
     * length above the largest, without waiting for its body; nothing can be read after that.
     */
    std::optional<std::string> next();

    /** Returns the frame that the last result of next() acknowledges, or noFrame. */
    FrameNumber acknowledged() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
