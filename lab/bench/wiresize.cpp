#include "lab/bench/wiresize.h"

#include "sequoiausher/protocol/codec/peercodec.h"

namespace Sequoiausher {

namespace {

constexpr std::size_t segmentPayload = 1448;
constexpr std::size_t segmentHeaders = 52;

} // namespace

std::size_t wireSize(const PeerMessage &message)
{
    const std::size_t frame = encodeFrame({&message, 1}).size();
    const std::size_t segments = (frame + segmentPayload - 1) / segmentPayload;
    return frame + segments * segmentHeaders;
}

} // namespace Sequoiausher
