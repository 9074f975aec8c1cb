#include "lab/engine/enginestreams.h"

#include "lab/engine/engineprotocol.h"
#include "lab/support/labhttp.h"

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace Sequoiausher::Lab {

namespace {

/** One connection that reads a run. */
struct Reader
{
    std::shared_ptr<HttpExchange> exchange;
    RequestId answerId;
    bool streamed = false;
    /** The next chunk to write; the one after the last token is the finishing one. */
    std::size_t next = 0;
    std::optional<std::size_t> breakAfter;
};

using Readers = std::vector<Reader>;

} // namespace

class EngineStreams::Private
{
public:
    explicit Private(EngineModel &engine) : model(engine)
    {
    }

    /** Writes what reader has not seen yet; whether it is done with. */
    bool write(Reader &reader, RunNumber run);
    bool writeStream(Reader &reader, RunNumber run);
    bool writeWhole(Reader &reader, RunNumber run);
    void update(RunNumber run);
    void clientGone(RunNumber run, const HttpExchange *exchange);

    EngineModel &model;
    std::unordered_map<RunNumber, Readers> readers;
};

EngineStreams::EngineStreams(EngineModel &model) : d(std::make_unique<Private>(model))
{
}

EngineStreams::~EngineStreams()
{
    for (const auto &[run, readers] : this->d->readers) {
        for (const Reader &reader : readers) {
            reader.exchange->onClientGone({});
        }
    }
}

void EngineStreams::add(const std::shared_ptr<HttpExchange> &exchange,
                        RunNumber run,
                        bool streamed,
                        std::size_t offset,
                        const ReaderFault &fault)
{
    const RequestId answerId = fault.answerId.value_or(this->d->model.record(run).request);
    Readers &readers = this->d->readers[run];
    readers.push_back({exchange, answerId, streamed, offset, fault.breakAfter});
    // The exchange keeps the callback, so the callback must not keep the exchange.
    exchange->onClientGone([this, run, gone = exchange.get()] { this->d->clientGone(run, gone); });
    if (streamed) {
        exchange->startStream(200,
                              {{{"Content-Type", "text/event-stream"},
                                {"Cache-Control", "no-cache"},
                                {std::string(requestIdHeader), answerId.toHex()}}});
    }
    this->d->update(run);
}

void EngineStreams::deliver()
{
    for (const Emission &emission : this->d->model.takeEmissions()) {
        this->d->update(emission.run);
    }
}

void EngineStreams::Private::update(RunNumber run)
{
    const auto known = this->readers.find(run);
    if (known == this->readers.end()) {
        return;
    }
    std::erase_if(known->second, [this, run](Reader &reader) { return this->write(reader, run); });
    if (known->second.empty()) {
        this->readers.erase(known);
        this->model.disconnect(run, Millis::monotonicNow());
    }
}

bool EngineStreams::Private::write(Reader &reader, RunNumber run)
{
    if (reader.exchange->isClientGone()) {
        return true;
    }
    return reader.streamed ? this->writeStream(reader, run) : this->writeWhole(reader, run);
}

bool EngineStreams::Private::writeStream(Reader &reader, RunNumber run)
{
    const RunRecord &record = this->model.record(run);
    const std::size_t end = std::min(record.tokens, reader.breakAfter.value_or(record.tokens));
    std::string events;
    for (; reader.next < end; ++reader.next) {
        events += chunkEvent(reader.answerId, record.model, reader.next, this->model.tokenText(run, reader.next));
    }
    const bool breaks = reader.breakAfter && reader.next >= *reader.breakAfter;
    if (record.finished && !breaks) {
        events += reader.next == record.tokens ? finishEvent(reader.answerId, record) : std::string{};
        events += doneEvent;
    }
    reader.exchange->writeChunk(events);
    if (breaks) {
        reader.exchange->abortStream();
    } else if (record.finished) {
        reader.exchange->endStream();
    }
    return breaks || record.finished;
}

bool EngineStreams::Private::writeWhole(Reader &reader, RunNumber run)
{
    const RunRecord &record = this->model.record(run);
    if (reader.breakAfter && record.tokens >= *reader.breakAfter) {
        reader.exchange->abortStream();
        return true;
    }
    if (!record.finished) {
        return false;
    }
    std::string content;
    for (std::size_t offset = 0; offset < record.tokens; ++offset) {
        content += this->model.tokenText(run, offset);
    }
    reader.exchange->respond(
        200,
        {{{"Content-Type", "application/json"}, {std::string(requestIdHeader), reader.answerId.toHex()}}},
        wholeAnswer(reader.answerId, record, content));
    return true;
}

void EngineStreams::Private::clientGone(RunNumber run, const HttpExchange *exchange)
{
    const auto known = this->readers.find(run);
    if (known == this->readers.end()) {
        return;
    }
    std::erase_if(known->second, [exchange](const Reader &reader) { return reader.exchange.get() == exchange; });
    if (known->second.empty()) {
        this->readers.erase(known);
        this->model.disconnect(run, Millis::monotonicNow());
    }
}

void EngineStreams::endCancelled(RunNumber run)
{
    const auto known = this->d->readers.find(run);
    if (known == this->d->readers.end()) {
        return;
    }
    const Readers readers = std::move(known->second);
    this->d->readers.erase(known);
    for (const Reader &reader : readers) {
        if (reader.streamed) {
            reader.exchange->writeChunk(errorEvent("cancelled"));
            reader.exchange->endStream();
        } else {
            respondError(*reader.exchange, 500, "cancelled");
        }
    }
}

} // namespace Sequoiausher::Lab
