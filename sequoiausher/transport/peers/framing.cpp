#include "sequoiausher/transport/peers/framing.h"

#include "sequoiausher/base/error.h"

#include <cstdint>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr unsigned bitsPerByte = 8;
constexpr unsigned acknowledgedShift = 24;
constexpr std::uint32_t lengthMask = 0xffffff;

} // namespace

class FrameAssembler::Private
{
public:
    std::string peer;
    std::size_t largest;
    std::string bytes;
    std::size_t consumed = 0;
    bool expectsAcknowledgements = false;
    FrameNumber acknowledged = noFrame;
};

std::string framed(std::string_view body, FrameNumber acknowledged)
{
    const auto length
        = static_cast<std::uint32_t>(body.size()) | (static_cast<std::uint32_t>(acknowledged) << acknowledgedShift);
    std::string frame;
    frame.reserve(lengthBytes + body.size());
    for (unsigned i = 0; i < lengthBytes; ++i) {
        frame.push_back(static_cast<char>((length >> ((lengthBytes - 1 - i) * bitsPerByte)) & 0xff));
    }
    frame += body;
    return frame;
}

FrameAssembler::FrameAssembler(std::string peer, std::size_t largest)
    : d(std::make_unique<Private>(Private{std::move(peer), largest, {}}))
{
}

FrameAssembler::~FrameAssembler() = default;

void FrameAssembler::expectAcknowledgements()
{
    this->d->expectsAcknowledgements = true;
}

void FrameAssembler::setLargest(std::size_t bytes)
{
    this->d->largest = bytes;
}

void FrameAssembler::feed(std::string_view bytes)
{
    this->d->bytes.erase(0, this->d->consumed);
    this->d->consumed = 0;
    this->d->bytes += bytes;
}

std::optional<std::string> FrameAssembler::next()
{
    const std::string_view rest = std::string_view(this->d->bytes).substr(this->d->consumed);
    if (rest.size() < lengthBytes) {
        return std::nullopt;
    }
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        length = (length << bitsPerByte) | static_cast<unsigned char>(rest[i]);
    }
    FrameNumber acknowledged = noFrame;
    if (this->d->expectsAcknowledgements) {
        acknowledged = static_cast<FrameNumber>(length >> acknowledgedShift);
        length &= lengthMask;
    }
    if (length > this->d->largest) {
        throw Error(Step::Read, this->d->peer, "a frame of " + std::to_string(length) + " bytes is announced");
    }
    if (rest.size() < lengthBytes + length) {
        return std::nullopt;
    }
    this->d->consumed += lengthBytes + length;
    this->d->acknowledged = acknowledged;
    return std::string(rest.substr(lengthBytes, length));
}

FrameNumber FrameAssembler::acknowledged() const
{
    return this->d->acknowledged;
}

} // namespace Sequoiausher
