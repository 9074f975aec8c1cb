#include "sequoiausher/transport/peers/framing.h"

#include "sequoiausher/base/error.h"

#include <cstdint>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr unsigned bitsPerByte = 8;

} // namespace

class FrameAssembler::Private
{
public:
    std::string peer;
    std::size_t largest;
    std::string bytes;
    std::size_t consumed = 0;
};

std::string framed(std::string_view body)
{
    const auto length = static_cast<std::uint32_t>(body.size());
    std::string frame;
    frame.reserve(lengthBytes + body.size());
    for (unsigned i = 0; i < lengthBytes; ++i) {
        frame.push_back(static_cast<char>((length >> ((lengthBytes - 1 - i) * bitsPerByte)) & 0xff));
    }
    frame += body;
    return frame;
}

FrameAssembler::FrameAssembler(std::string peer, std::size_t largest)
    : d(std::make_unique<Private>(Private{std::move(peer), largest, {}, 0}))
{
}

FrameAssembler::~FrameAssembler() = default;

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
    if (length > this->d->largest) {
        throw Error(Step::Read, this->d->peer, "a frame of " + std::to_string(length) + " bytes is announced");
    }
    if (rest.size() < lengthBytes + length) {
        return std::nullopt;
    }
    this->d->consumed += lengthBytes + length;
    return std::string(rest.substr(lengthBytes, length));
}

} // namespace Sequoiausher
