#include "sequoiausher/protocol/tunnel/tunnelframes.h"

#include "sequoiausher/base/error.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

/** The first byte of a tunnel request: the version of the protocol. */
constexpr char protocolVersion = 1;
/** The version and the length of the target's id. */
constexpr std::size_t requestHeadBytes = 2;
constexpr std::size_t maxIdBytes = 255;

/** The first byte of each frame; three bytes of length follow, most significant first, then the body. */
constexpr unsigned char openFrame = 1;
constexpr unsigned char unreachableFrame = 2;
constexpr unsigned char refusedFrame = 3;
constexpr unsigned char bytesFrame = 4;
constexpr unsigned char finishedFrame = 5;
constexpr std::size_t frameHeadBytes = 4;
/** Short enough that a reader is not kept waiting for a frame whose first part it could use. */
constexpr std::size_t maxFrameBody = 65536;
constexpr unsigned int byteBits = 8;
constexpr unsigned int byteMask = 0xff;

unsigned char kindOf(TunnelState state)
{
    switch (state) {
    case TunnelState::Open:
        return openFrame;
    case TunnelState::Refused:
        return refusedFrame;
    case TunnelState::Finished:
        return finishedFrame;
    case TunnelState::Opening:
    case TunnelState::Unreachable:
        return unreachableFrame;
    }
    return unreachableFrame;
}

std::string frame(unsigned char kind, std::string_view body)
{
    std::string bytes(1, static_cast<char>(kind));
    for (unsigned int shift = 2 * byteBits;; shift -= byteBits) {
        bytes += static_cast<char>((body.size() >> shift) & byteMask);
        if (shift == 0) {
            break;
        }
    }
    bytes += body;
    return bytes;
}

std::size_t bodyLength(std::string_view input)
{
    std::size_t length = 0;
    for (std::size_t i = 1; i < frameHeadBytes; ++i) {
        length = (length << byteBits) | static_cast<unsigned char>(input[i]);
    }
    return length;
}

} // namespace

std::string encodeTunnelRequest(const TargetId &target)
{
    const std::string id = target.value.substr(0, maxIdBytes);
    return std::string(1, protocolVersion) + static_cast<char>(id.size()) + id;
}

std::optional<TargetId> takeTunnelRequest(std::string &input, const std::string &peer)
{
    if (!input.empty() && input.front() != protocolVersion) {
        throw Error(Step::Decode, peer, "a tunnel request of an unknown version");
    }
    if (input.size() < requestHeadBytes) {
        return std::nullopt;
    }
    const std::size_t length = static_cast<unsigned char>(input[1]);
    if (length == 0) {
        throw Error(Step::Decode, peer, "a tunnel request without a target");
    }
    if (input.size() < requestHeadBytes + length) {
        return std::nullopt;
    }
    TargetId target{input.substr(requestHeadBytes, length)};
    input.erase(0, requestHeadBytes + length);
    return target;
}

std::string encodeTunnelState(TunnelState state)
{
    return frame(kindOf(state), {});
}

std::string encodeTunnelBytes(std::string_view bytes)
{
    std::string frames;
    while (!bytes.empty()) {
        const std::string_view body = bytes.substr(0, maxFrameBody);
        frames += frame(bytesFrame, body);
        bytes.remove_prefix(body.size());
    }
    return frames;
}

TunnelReader::TunnelReader(std::string peerName) : peer(std::move(peerName))
{
}

void TunnelReader::read(std::string &input)
{
    std::size_t used = 0;
    while (input.size() - used >= frameHeadBytes) {
        const std::string_view rest = std::string_view(input).substr(used);
        const std::size_t length = bodyLength(rest);
        if (length > maxFrameBody) {
            throw Error(Step::Decode, this->peer, "a tunnel frame of " + std::to_string(length) + " bytes");
        }
        if (rest.size() < frameHeadBytes + length) {
            break;
        }
        this->take(static_cast<unsigned char>(rest.front()), rest.substr(frameHeadBytes, length));
        used += frameHeadBytes + length;
    }
    input.erase(0, used);
}

void TunnelReader::take(unsigned char kind, std::string_view body)
{
    const bool isOpening = this->current == TunnelState::Opening;
    const bool isOpen = this->current == TunnelState::Open;
    if (kind == bytesFrame && isOpen) {
        this->arrived += body;
    } else if (kind == finishedFrame && isOpen && body.empty()) {
        this->current = TunnelState::Finished;
    } else if (kind == openFrame && isOpening && body.empty()) {
        this->current = TunnelState::Open;
    } else if (kind == unreachableFrame && isOpening && body.empty()) {
        this->current = TunnelState::Unreachable;
    } else if (kind == refusedFrame && isOpening && body.empty()) {
        this->current = TunnelState::Refused;
    } else {
        throw Error(Step::Decode,
                    this->peer,
                    "tunnel frame " + std::to_string(kind) + " of " + std::to_string(body.size())
                        + " bytes does not fit a tunnel that is " + std::string(nameOf(this->current)));
    }
}

TunnelState TunnelReader::state() const
{
    return this->current;
}

std::string &TunnelReader::bytes()
{
    return this->arrived;
}

} // namespace Sequoiausher
