// Bytes from other routers.

#include "lab/fuzz/fuzztargets.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/codec/hellocodec.h"
#include "sequoiausher/protocol/codec/peercodec.h"
#include "sequoiausher/protocol/tunnel/tunnelframes.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Sequoiausher {

namespace {

void expectStep(const Error &error, Step step)
{
    if (error.step() != step) {
        throw FuzzFinding(std::string("refused in another step: ") + error.what());
    }
}

std::optional<DecodedFrame> decoded(std::string_view bytes)
{
    try {
        return decodeFrame(bytes, "peer");
    } catch (const Error &error) {
        expectStep(error, Step::Decode);
        return std::nullopt;
    }
}

/** What a reader made of a tunnel's frames; no state where they were refused. */
using ReadTunnel = std::pair<std::optional<TunnelState>, std::string>;

ReadTunnel readTunnel(std::string_view bytes, std::size_t part)
{
    TunnelReader reader("peer");
    std::string input;
    try {
        for (; !bytes.empty(); bytes.remove_prefix(std::min(part, bytes.size()))) {
            input += bytes.substr(0, part);
            reader.read(input);
        }
    } catch (const Error &error) {
        expectStep(error, Step::Decode);
        return {std::nullopt, reader.bytes()};
    }
    return {reader.state(), reader.bytes()};
}

} // namespace

void feedTunnel(std::string_view bytes)
{
    std::string input(bytes);
    try {
        if (const std::optional<TargetId> target = takeTunnelRequest(input, "peer")) {
            if (encodeTunnelRequest(*target) + input != bytes) {
                throw FuzzFinding("a tunnel request changes when it is read and encoded again");
            }
        }
    } catch (const Error &error) {
        expectStep(error, Step::Decode);
    }
    if (readTunnel(bytes, 1) != readTunnel(bytes, bytes.size() + 1)) {
        throw FuzzFinding("the frames of a tunnel depend on how they arrive");
    }
}

void feedFrame(std::string_view bytes)
{
    const std::optional<DecodedFrame> frame = decoded(bytes);
    if (!frame || frame->messages.empty()) {
        return;
    }
    const DecodedFrame again = decodeFrame(encodeFrame(frame->messages), "self");
    if (again.messages != frame->messages || again.skipped != 0) {
        throw FuzzFinding("a decoded frame changes when it is encoded and decoded again");
    }
}

void feedHello(std::string_view bytes)
{
    std::optional<Hello> hello;
    try {
        hello = decodeHello(bytes, "peer");
    } catch (const Error &error) {
        expectStep(error, Step::Decode);
        return;
    }
    if (!(decodeHello(encodeHello(*hello), "self") == *hello)) {
        throw FuzzFinding("a decoded hello changes when it is encoded and decoded again");
    }
}

} // namespace Sequoiausher
