// Bytes from targets.

#include "lab/fuzz/fuzztargets.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/clientapi/answercheck.h"
#include "sequoiausher/protocol/clientapi/plainchunk.h"
#include "sequoiausher/protocol/clientapi/ssereader.h"
#include "sequoiausher/protocol/targetapi/targetload.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace Sequoiausher {

namespace {

constexpr std::size_t eventLimit = 512;
constexpr RequestId ownRequest{0, 1};

/** What a reader made of a stream. */
struct ReadStream
{
    std::vector<SseEvent> events;
    bool isTooLong = false;
    bool isPartial = false;

    bool operator==(const ReadStream &) const = default;
};

ReadStream readInParts(std::string_view bytes, std::size_t part)
{
    SseReader reader(eventLimit);
    ReadStream read;
    try {
        for (; !bytes.empty(); bytes.remove_prefix(std::min(part, bytes.size()))) {
            for (SseEvent &event : reader.push(bytes.substr(0, part))) {
                read.events.push_back(std::move(event));
            }
        }
        read.isPartial = reader.hasPartialEvent();
    } catch (const Error &) {
        // The events of the push that failed are lost with it, which depends on how the stream was cut.
        read.events.clear();
        read.isTooLong = true;
    }
    return read;
}

void checkScan(std::string_view data)
{
    const std::optional<PlainChunk> plain = scanPlainChunk(data);
    if (!plain) {
        return;
    }
    const QByteArray bytes(data.data(), static_cast<qsizetype>(data.size()));
    const QJsonDocument document = QJsonDocument::fromJson(bytes);
    const QJsonObject chunk = document.object();
    const QJsonValue offset = chunk.value(QLatin1String("offset"));
    const bool sameOffset = plain->offset
        ? offset.isDouble() && static_cast<std::uint64_t>(offset.toInteger()) == *plain->offset
        : offset.isUndefined();
    const bool sameId = chunk.value(QLatin1String("id")).toString().toStdString() == plain->id;
    if (!document.isObject() || !sameId || !sameOffset) {
        throw FuzzFinding("the scan of a chunk sees another value than the full parser");
    }
}

void checkAnswer(const std::vector<SseEvent> &events)
{
    AnswerCheck check(ownRequest);
    for (const SseEvent &event : events) {
        checkScan(event.data);
        const bool wasComplete = check.isComplete();
        const std::uint64_t before = check.nextOffset();
        const ChunkVerdict verdict = check.accept(event.data);
        const bool moved = check.nextOffset() != before;
        if (wasComplete && (verdict != ChunkVerdict::Foreign || moved)) {
            throw FuzzFinding("a chunk was accepted behind the end of its answer");
        }
        if (moved && verdict != ChunkVerdict::Pass) {
            throw FuzzFinding("a chunk that was not accepted moved the offset");
        }
    }
}

} // namespace

void feedStream(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    const std::size_t part = static_cast<unsigned char>(bytes.front()) + std::size_t{1};
    bytes.remove_prefix(1);
    const ReadStream whole = readInParts(bytes, std::max<std::size_t>(bytes.size(), 1));
    if (!(whole == readInParts(bytes, part))) {
        throw FuzzFinding("the events of a stream hang on where it was cut");
    }
    checkAnswer(whole.events);
}

void feedLoad(std::string_view bytes)
{
    constexpr Millis now{1000000};
    const std::optional<ReportedLoad> load = parseTargetLoad(now, bytes);
    if (load && load->measuredAt > now) {
        throw FuzzFinding("a load from the future");
    }
}

} // namespace Sequoiausher
