#include "sequoiausher/protocol/codec/peercodec.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/codec/generated/peerwire.h"
#include "sequoiausher/protocol/codec/messagegenerators.h"
#include "sequoiausher/protocol/codec/messagekind.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

using Batch = std::vector<PeerMessage>;

// What decoding makes of any bytes: messages, or the one kind of error.
bool decodesOrRefuses(const std::string &bytes)
{
    try {
        decodeFrame(bytes, "r1");
    } catch (const Error &error) {
        return error.step() == Step::Decode && error.peer() == "r1";
    }
    return true;
}

std::string frameOf(flatbuffers::FlatBufferBuilder &builder, flatbuffers::Offset<Wire::Frame> frame)
{
    builder.Finish(frame);
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/** A frame with one claim that starts at a multiple of 4 bytes, and, for one of two numbers of padding, not of 8. */
std::string frameAlignedToFour(int padding)
{
    flatbuffers::FlatBufferBuilder builder;
    const Wire::ClaimRequest request({1, 2}, {3, 4}, 6, 5);
    builder.StartVector(sizeof(request), 1);
    builder.PushBytes(reinterpret_cast<const std::uint8_t *>(&request), sizeof(request));
    const flatbuffers::Offset<flatbuffers::Vector<const Wire::ClaimRequest *>> requests(builder.EndVector(1));
    for (int i = 0; i < padding; ++i) {
        builder.PushElement<std::uint32_t>(0);
    }
    Wire::FrameBuilder frame(builder);
    frame.add_claim_requests(requests);
    return frameOf(builder, frame.Finish());
}

} // namespace

TEST_CASE("each kind of message comes back with every field")
{
    for (const KindOfMessage &kind : everyKind()) {
        CHECK(rc::check("round trip of " + kind.name, [&kind] {
            const Batch batch = *rc::gen::container<Batch>(kind.generator);
            const DecodedFrame decoded = decodeFrame(encodeFrame(batch), "r1");
            RC_ASSERT(decoded.messages == batch);
            RC_ASSERT(decoded.skipped == 0U);
        }));
    }
}

TEST_CASE("a batch of mixed kinds comes back in its order")
{
    CHECK(rc::check([](const Batch &batch) { RC_ASSERT(decodeFrame(encodeFrame(batch), "r1").messages == batch); }));
}

TEST_CASE("a span beyond 24 days arrives as never")
{
    const Batch batch{ReserveReply{{}, ReserveVerdict::Full, {}, Millis{std::int64_t{1} << 40}}};
    const DecodedFrame decoded = decodeFrame(encodeFrame(batch), "r1");
    CHECK(std::get<ReserveReply>(decoded.messages.at(0)).retryAfter == Millis::never());
}

// Symptom: a router crashes, or reads past a buffer, when a peer's bytes arrive cut or altered.
// Events: a broken middle box, a stray client or a faulty peer writes such bytes on a link.
// Cause: FlatBuffers trusts offsets that nobody verified.
TEST_CASE("cut, altered and random bytes are refused without harm")
{
    CHECK(rc::check("cut", [](const Batch &batch) {
        const std::string frame = encodeFrame(batch);
        const auto length = *rc::gen::inRange<std::size_t>(0, frame.size());
        RC_ASSERT(decodesOrRefuses(frame.substr(0, length)));
    }));
    CHECK(rc::check("altered", [](const Batch &batch) {
        std::string frame = encodeFrame(batch);
        for (int i = 0; i < 8; ++i) {
            frame.at(*rc::gen::inRange<std::size_t>(0, frame.size())) = *rc::gen::arbitrary<char>();
            RC_ASSERT(decodesOrRefuses(frame));
        }
    }));
    CHECK(rc::check("random", [](const std::string &bytes) { RC_ASSERT(decodesOrRefuses(bytes)); }));
    CHECK_THROWS_AS(decodeFrame("", "r1"), Error);
}

// Symptom: during a rolling upgrade the routers not yet upgraded drop their links to the upgraded ones.
// Events: a later version puts a message of a new kind, or with a new verdict, into a batch.
// Cause: a decoder that takes everything unknown for corruption.
TEST_CASE("what a later version says is skipped and counted, and the rest of the batch arrives")
{
    constexpr std::uint8_t laterKind = 200;
    constexpr std::uint8_t laterVerdict = 99;
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<Wire::ClaimVote> votes{Wire::ClaimVote({1, 2}, {3, 4}, 5, 0, laterVerdict, true),
                                             Wire::ClaimVote({1, 2}, {3, 4}, 6, 0, 0, true)};
    const std::vector<Wire::Refusal> refusals{Wire::Refusal({7, 7}, 0), Wire::Refusal({8, 8}, 0)};
    const std::vector<std::uint8_t> order{laterKind,
                                          static_cast<std::uint8_t>(MessageKind::ClaimVote),
                                          0,
                                          static_cast<std::uint8_t>(MessageKind::ClaimVote)};
    const auto votesAt = builder.CreateVectorOfStructs(votes);
    const auto refusalsAt = builder.CreateVectorOfStructs(refusals);
    const auto orderAt = builder.CreateVector(order);
    Wire::FrameBuilder frame(builder);
    frame.add_claim_votes(votesAt);
    frame.add_refusals(refusalsAt);
    frame.add_order(orderAt);
    const DecodedFrame decoded = decodeFrame(frameOf(builder, frame.Finish()), "r1");
    CHECK(decoded.skipped == 3);
    REQUIRE(decoded.messages.size() == 1);
    CHECK(std::get<ClaimVote>(decoded.messages.front()).round == 6);
    CHECK(std::get<ClaimVote>(decoded.messages.front()).heldBy == RequestId{8, 8});
}

// Symptom: as above, and the routers not yet upgraded do not count what they passed over.
// Events: a batch holds messages of one kind alone, which the first version does not know.
// Cause: leaving out the order, as for the kinds of the first version.
TEST_CASE("a frame of one kind names the kind where the first version does not know it")
{
    const auto hasOrder = [](const PeerMessage &message) {
        const std::string bytes = encodeFrame(Batch{message});
        return flatbuffers::GetRoot<Wire::Frame>(bytes.data())->order() != nullptr;
    };
    for (const KindOfMessage &kind : everyKind()) {
        CAPTURE(kind.name);
        const PeerMessage message = kind.generator(rc::Random(1), 10).value();
        CHECK(hasOrder(message) == (kindOf(message) > MessageKind::AttachCancel));
    }
}

// Symptom: during a rolling upgrade, chats of upgraded entries lose their place. Events: an entry of an earlier
// version, which knows no prefixes, sends reservations to an owner of this one; or a frame names fewer hashes than
// reservations.
TEST_CASE("reservations without hashes of prefixes have none, and a frame has all of them or none")
{
    const std::vector<Wire::ReserveRequest> requests{Wire::ReserveRequest({1, 2}, 3, 0, 125, 0, 0, 0, 0, 0),
                                                     Wire::ReserveRequest({1, 3}, 4, 0, 125, 0, 0, 0, 0, 0)};
    const auto frameWith = [&requests](const std::vector<std::uint64_t> &hashes) {
        flatbuffers::FlatBufferBuilder builder;
        const auto requestsAt = builder.CreateVectorOfStructs(requests);
        const auto hashesAt = builder.CreateVector(hashes);
        Wire::FrameBuilder frame(builder);
        frame.add_reserve_requests(requestsAt);
        if (!hashes.empty()) {
            frame.add_prefix_hashes(hashesAt);
        }
        return frameOf(builder, frame.Finish());
    };
    const DecodedFrame without = decodeFrame(frameWith({}), "r1");
    REQUIRE(without.messages.size() == 2);
    CHECK(std::get<ReserveRequest>(without.messages.at(1)).chatHash == 4);
    CHECK(std::get<ReserveRequest>(without.messages.at(1)).prefixHash == 0);
    const DecodedFrame with = decodeFrame(frameWith({0, 9}), "r1");
    CHECK(std::get<ReserveRequest>(with.messages.at(0)).prefixHash == 0);
    CHECK(std::get<ReserveRequest>(with.messages.at(1)).prefixHash == 9);
    CHECK_THROWS_AS(decodeFrame(frameWith({9}), "r1"), Error);
}

TEST_CASE("reservations without hashes of prefixes are as small as before, and in a batch a hash costs little more "
          "than itself")
{
    ReserveRequest request{{1, 2}, PoolId{"plates"}, 1, 7};
    constexpr std::size_t batchSize = 32;
    const std::size_t bare = encodeFrame(Batch{request}).size();
    const std::size_t bareBatch = encodeFrame(Batch(batchSize, request)).size();
    request.prefixHash = 9;
    CHECK(bare <= 104);
    // A field at the end of the frame makes its table of fields longer, by two bytes for each field before it.
    CHECK(encodeFrame(Batch{request}).size() <= bare + 64);
    CHECK(encodeFrame(Batch(batchSize, request)).size() <= bareBatch + batchSize * 10);
}

TEST_CASE("a frame that contradicts itself is refused")
{
    struct Case
    {
        const char *what;
        std::vector<std::uint8_t> order;
        std::vector<std::uint8_t> nameLengths;
        std::uint16_t holder;
        bool refuses;
    };
    const auto vote = static_cast<std::uint8_t>(MessageKind::ClaimVote);
    const std::vector<Case> cases{{"more announced than present", {vote, vote}, {}, 0, false},
                                  {"another kind than present", {vote - 1}, {}, 0, false},
                                  {"a name that is missing", {vote}, {}, 1, false},
                                  {"names past their end", {vote}, {3}, 0, false},
                                  {"no refusal", {vote}, {}, 0, true}};
    for (const Case &c : cases) {
        CAPTURE(c.what);
        flatbuffers::FlatBufferBuilder builder;
        const std::vector<Wire::ClaimVote> votes{Wire::ClaimVote({1, 2}, {3, 4}, 5, c.holder, 0, c.refuses)};
        const auto votesAt = builder.CreateVectorOfStructs(votes);
        const auto lengthsAt = builder.CreateVector(c.nameLengths);
        const auto orderAt = builder.CreateVector(c.order);
        Wire::FrameBuilder frame(builder);
        frame.add_claim_votes(votesAt);
        frame.add_name_lengths(lengthsAt);
        frame.add_order(orderAt);
        const std::string bytes = frameOf(builder, frame.Finish());
        CHECK_THROWS_AS(decodeFrame(bytes, "r1"), Error);
    }
}

// Symptom: the undefined sanitizer reports a member call on a misaligned address; a machine that checks alignment stops
// the router.
// Events: a peer's frame places a vector of structs at a multiple of 4 bytes, where 8 are due.
// Cause: the verifier checks where a vector's length stands, and not where its first item does.
TEST_CASE("a frame whose items are not aligned is refused")
{
    int refused = 0;
    for (const int padding : {0, 1}) {
        try {
            const DecodedFrame decoded = decodeFrame(frameAlignedToFour(padding), "r1");
            CHECK(decoded.messages == Batch{ClaimRequest{{1, 2}, {3, 4}, 5, 6}});
        } catch (const Error &error) {
            CHECK(error.step() == Step::Decode);
            ++refused;
        }
    }
    CHECK(refused == 1);
}

// Symptom: the undefined sanitizer reports a member call on a null pointer.
// Events: a peer's frame has the lengths of names and no names.
// Cause: lengths of 0 run past no end, and the absent names were read all the same.
TEST_CASE("an empty name of absent names is read without them")
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<Wire::ClaimVote> votes{Wire::ClaimVote({1, 2}, {3, 4}, 5, 1, 0, false)};
    const auto votesAt = builder.CreateVectorOfStructs(votes);
    const auto lengthsAt = builder.CreateVector(std::vector<std::uint8_t>{0});
    Wire::FrameBuilder frame(builder);
    frame.add_claim_votes(votesAt);
    frame.add_name_lengths(lengthsAt);
    const DecodedFrame decoded = decodeFrame(frameOf(builder, frame.Finish()), "r1");
    REQUIRE(decoded.messages.size() == 1);
    CHECK(std::get<ClaimVote>(decoded.messages.front()).holder.empty());
}

// Symptom: one frame of a few megabytes takes gigabytes of a router's memory.
// Events: a frame names one large document push a thousand times.
// Cause: offsets in a buffer may share what they point to, but the messages read from them do not.
TEST_CASE("a frame that unfolds to far more than its bytes is refused")
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<std::uint8_t> body(1024 * 1024);
    const auto name = builder.CreateString("rules/fleet");
    const auto bodyAt = builder.CreateVector(body);
    const auto document = Wire::CreateDocument(builder, name, 1, bodyAt);
    const auto documents = builder.CreateVector(std::vector(1, document));
    const auto push = Wire::CreateDocumentPush(builder, documents);
    const auto pushes = builder.CreateVector(std::vector(1000, push));
    Wire::FrameBuilder frame(builder);
    frame.add_document_pushes(pushes);
    const std::string bytes = frameOf(builder, frame.Finish());
    CHECK_THROWS_AS(decodeFrame(bytes, "r1"), Error);
}

TEST_CASE("what does not fit a frame is refused when it is written")
{
    const Batch longName{IndirectProbe{1, InstanceId{std::string(256, 'x')}}};
    CHECK_THROWS_AS(encodeFrame(longName), Error);
    const Batch tooMany(mostMessages + 1, AttachCancel{});
    CHECK_THROWS_AS(encodeFrame(tooMany), Error);
    const Batch tooLarge{AttachChunk{{}, 0, std::string(largestFrame, 'x')}};
    CHECK_THROWS_AS(encodeFrame(tooLarge), Error);
}

TEST_CASE("the hot messages stay small")
{
    struct Row
    {
        PeerMessage message;
        std::size_t mostAlone;
        std::size_t mostInBatch;
    };
    const std::vector<Row> rows{{ClaimRequest{{1, 2}, {3, 4}, 1, 5}, 80, 50},
                                {ClaimVote{{1, 2}, {3, 4}, 1, ClaimVerdict::Granted, {}, {}}, 72, 42},
                                {Release{{1, 2}, PoolId{"plates"}, 1}, 96, 28}};
    constexpr std::size_t batchSize = 32;
    for (const Row &row : rows) {
        const std::string name(nameOf(kindOf(row.message)));
        CAPTURE(name);
        CHECK(encodeFrame(Batch{row.message}).size() <= row.mostAlone);
        CHECK(encodeFrame(Batch(batchSize, row.message)).size() <= row.mostInBatch * batchSize);
    }
}
