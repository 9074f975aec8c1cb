#include "sequoiausher/protocol/codec/peercodec.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/codec/framereader.h"
#include "sequoiausher/protocol/codec/framewriter.h"
#include "sequoiausher/protocol/codec/generated/peerwire.h"
#include "sequoiausher/protocol/codec/messagekind.h"

#include <utility>

namespace Sequoiausher {

namespace {

// A small buffer may name one large table many times over, so that reading it would fill the memory; the symptom is a
// router killed for its memory by one peer's frame. The verifier counts each visit, and the sum of what was read is
// bounded too.
constexpr flatbuffers::uoffset_t deepestNesting = 8;
constexpr flatbuffers::uoffset_t mostTables = 65536;
constexpr std::size_t mostDecodedBytes = largestFrame * 4;

// FlatBuffers reads fields in place, so a buffer must start where its widest field may.
constexpr std::size_t alignment = 8;

} // namespace

std::string encodeFrame(std::span<const PeerMessage> batch)
{
    if (batch.size() > mostMessages) {
        throw Error(Step::Write, "peer frame", "more than " + std::to_string(mostMessages) + " messages");
    }
    Internal::FrameWriter writer;
    for (const PeerMessage &message : batch) {
        writer.add(message);
    }
    std::string frame = writer.finish();
    if (frame.size() > largestFrame) {
        throw Error(Step::Write, "peer frame", std::to_string(frame.size()) + " bytes are too many");
    }
    return frame;
}

DecodedFrame decodeFrame(std::string_view frame, const std::string &peer)
{
    if (frame.size() > largestFrame) {
        throw Error(Step::Decode, peer, std::to_string(frame.size()) + " bytes are too many for a frame");
    }
    std::vector<std::uint64_t> aligned(frame.size() / alignment + 1);
    auto *bytes = reinterpret_cast<std::uint8_t *>(aligned.data());
    std::copy(frame.begin(), frame.end(), bytes);
    flatbuffers::Verifier verifier(bytes, frame.size(), deepestNesting, mostTables);
    if (!verifier.VerifyBuffer<Wire::Frame>(nullptr)) {
        throw Error(Step::Decode, peer, "not a frame of messages");
    }
    Internal::FrameReader reader(*flatbuffers::GetRoot<Wire::Frame>(bytes), peer);
    DecodedFrame decoded;
    std::size_t decodedBytes = 0;
    while (auto message = reader.next()) {
        decodedBytes += roughSize(*message);
        if (decodedBytes > mostDecodedBytes) {
            throw Error(Step::Decode, peer, "a frame unfolds to too many bytes");
        }
        decoded.messages.push_back(std::move(*message));
        if (decoded.messages.size() + reader.skipped() > mostMessages) {
            throw Error(Step::Decode, peer, "too many messages in a frame");
        }
    }
    decoded.skipped = reader.skipped();
    return decoded;
}

} // namespace Sequoiausher
