#include "sequoiausher/protocol/codec/hellocodec.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/codec/generated/peerwire.h"

#include <vector>

namespace Sequoiausher {

namespace {

// Tells a hello from a frame of messages and from another program's bytes.
constexpr const char *helloIdentifier = "SQH1";
constexpr std::size_t largestHello = 4096;
constexpr std::size_t alignment = 8;

std::string textOf(const flatbuffers::String *text)
{
    return text != nullptr ? text->str() : std::string();
}

} // namespace

std::string encodeHello(const Hello &hello)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto instance = builder.CreateString(hello.instance.value);
    const auto dataCentre = builder.CreateString(hello.dataCentre.value);
    const auto wanted = builder.CreateString(hello.wanted.value);
    const auto root
        = Wire::CreateHello(builder, hello.version, instance, hello.incarnation, dataCentre, wanted, hello.lastFrame);
    builder.Finish(root, helloIdentifier);
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

Hello decodeHello(std::string_view bytes, const std::string &peer)
{
    if (bytes.size() > largestHello) {
        throw Error(Step::Decode, peer, "a hello is too long");
    }
    std::vector<std::uint64_t> aligned(bytes.size() / alignment + 1);
    auto *start = reinterpret_cast<std::uint8_t *>(aligned.data());
    std::copy(bytes.begin(), bytes.end(), start);
    flatbuffers::Verifier verifier(start, bytes.size());
    if (!verifier.VerifyBuffer<Wire::Hello>(helloIdentifier)) {
        throw Error(Step::Decode, peer, "not a hello");
    }
    const auto *wire = flatbuffers::GetRoot<Wire::Hello>(start);
    Hello hello;
    hello.version = wire->version();
    hello.instance.value = textOf(wire->instance());
    hello.incarnation = wire->incarnation();
    hello.dataCentre.value = textOf(wire->data_centre());
    hello.wanted.value = textOf(wire->wanted());
    hello.lastFrame = wire->last_frame();
    if (hello.instance.empty()) {
        throw Error(Step::Decode, peer, "a hello without a name");
    }
    return hello;
}

} // namespace Sequoiausher
