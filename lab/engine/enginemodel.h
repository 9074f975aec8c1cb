#pragma once

// The stand-in for a model engine, without its sockets: continuous batching in steps, priorities, a prefix cache that
// saves prefill, streams that outlive their connection for a while, and late reports of load and cache.
//
// The caller runs step() each stepMicros() microseconds while busy() and writes out what takeEmissions() returns.
//
//     EngineModel engine(settings);
//     const RunNumber run = engine.submit(request, now);
//     engine.step(now);
//     for (const Emission &emission : engine.takeEmissions()) { ... engine.tokenText(run, emission.offset) ... }

#include "lab/engine/prefixcache.h"
#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** How an engine behaves. */
struct EngineSettings
{
    /** Microseconds of a step with an empty batch; 0 finishes each answer within one step. */
    std::int64_t stepMicros = 3300;
    /** Microseconds that each run in the batch adds to a step. */
    std::int64_t stepMicrosPerRun = 5;
    std::size_t maxBatch = 64;
    /** Prompt tokens that one step can prefill beside generating. */
    std::size_t prefillTokensPerStep = 512;
    /** Capacity of the prefix cache in blocks. */
    std::size_t cacheBlocks = 4096;
    /** The first token comes with submit() and prefill costs nothing. */
    bool instant = false;
    /** How late the load is reported. */
    Millis loadLag{200};
    /** How late cache events are published. */
    Millis cacheEventLag{200};
    /** Each n-th cache event is lost; 0 loses none. */
    std::uint64_t cacheEventGap = 0;
    /** How long a run goes on after its connection was lost, and can be resumed. */
    Millis grace{5000};
    /** How long the tokens of an ended run can be read again. */
    Millis keep{30000};
};

/** Numbers the runs of one engine from 0, in the order of their arrival. */
using RunNumber = std::size_t;

/** A request as the engine takes it. */
struct EngineRequest
{
    RequestId request;
    std::string model;
    std::string idempotencyKey;
    std::string chat;
    /** 0 first to 9 last. */
    int priority = 5;
    /** hash64() of each word of the prompt. */
    std::vector<std::uint64_t> promptTokens;
    /** The last word of the last user message; the answer starts with it. */
    std::string nonce;
    std::size_t maxTokens = 32;
};

/** What is known of one run; kept for good, for tests to check against. */
struct RunRecord
{
    RequestId request;
    std::string model;
    std::string idempotencyKey;
    std::string chat;
    std::string nonce;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t maxTokens = 0;
    /** Tokens generated so far. */
    std::size_t tokens = 0;
    bool finished = false;
    bool cancelled = false;
    /** When the engine took it, by the clock of the machine. */
    Millis at;
};

/** Tokens offset to offset + count - 1 of a run have been generated. */
struct Emission
{
    RunNumber run = 0;
    std::size_t offset = 0;
    std::size_t count = 0;
    bool finished = false;
};

/** A load report, as it was age ago. */
struct EngineLoad
{
    std::size_t inFlight = 0;
    std::size_t queued = 0;
    Millis age;
};

/** A published change of the prefix cache. */
struct CacheEvent
{
    std::uint64_t sequence = 0;
    CacheChange change;
};

/** Sums over all runs. */
struct EngineStats
{
    std::size_t inFlight = 0;
    std::size_t maxInFlight = 0;
    std::size_t runs = 0;
    std::size_t cachedTokens = 0;
    std::size_t promptTokens = 0;
};

/** One engine. Time passed in must not step back. */
class EngineModel
{
public:
    explicit EngineModel(const EngineSettings &settings);
    ~EngineModel();
    EngineModel(EngineModel &&other) noexcept;
    EngineModel &operator=(EngineModel &&other) noexcept;

    /** Takes a request as a new run, into an idle batch at once; also where the same request id ran before: an engine
     * does not deduplicate. */
    RunNumber submit(const EngineRequest &request, Millis now);

    /**
     * Ends one step: prefills, gives each prefilled run its next token, and fills the batch for the next step from
     * the queue by priority.
     */
    void step(Millis now);

    /** Ends runs whose grace is over and forgets streams whose keep time is. Cheap enough to call each step. */
    void expire(Millis now);

    /** Whether a step would do anything. */
    bool busy() const;

    /** How long the next step takes, in microseconds. */
    std::int64_t stepMicros() const;

    /** What has been generated since the last call. */
    std::vector<Emission> takeEmissions();

    /** The newest run of request, where its tokens are still kept. */
    std::optional<RunNumber> find(const RequestId &request) const;

    /** The connection that read run is lost: without attach() the run is cancelled after the grace time. */
    void disconnect(RunNumber run, Millis now);

    /** A connection reads run (again). */
    void attach(RunNumber run);

    /** Ends a run at once; nothing is generated for it any more. An ended run stays as it is. */
    void cancel(RunNumber run, Millis now);

    /** The text of a token: "echo-NONCE " for the first, then "t1 ", "t2 " and so on. */
    std::string tokenText(RunNumber run, std::size_t offset) const;

    const RunRecord &record(RunNumber run) const;
    const std::vector<RunRecord> &records() const;
    EngineStats stats() const;

    /** The load as it was the lag ago. */
    EngineLoad load(Millis now);

    /** The events after sequence that are old enough to be published, at most limit. Lost ones are skipped. */
    std::vector<CacheEvent> cacheEvents(std::uint64_t after, Millis now, std::size_t limit) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
