// Bytes from other routers.

#include "lab/fuzz/fuzztargets.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/codec/hellocodec.h"
#include "sequoiausher/protocol/codec/peercodec.h"

#include <optional>

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

} // namespace

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
