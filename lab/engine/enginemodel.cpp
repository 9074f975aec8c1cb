#include "lab/engine/enginemodel.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <array>
#include <deque>
#include <unordered_map>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr std::size_t priorities = 10;
/** Cache events and load samples kept; older ones are forgotten, which readers see as a gap. */
constexpr std::size_t maxHistory = 65536;

/** What a run needs beyond its record while it is queued or in the batch. */
struct ActiveRun
{
    RunNumber run = 0;
    std::vector<std::uint64_t> tokens;
    std::size_t prefillLeft = 0;
};

struct LoadSample
{
    Millis at;
    std::size_t inFlight = 0;
    std::size_t queued = 0;
};

struct TimedEvent
{
    Millis at;
    CacheEvent event;
};

/** A point in time at which something is to be looked at again. */
struct Due
{
    Millis at;
    RunNumber run = 0;
};

/** A token of an answer, without the blank after it. */
std::string wordOf(const RunRecord &record, std::size_t offset)
{
    return offset == 0 ? "echo-" + record.nonce : "t" + std::to_string(offset);
}

} // namespace

class EngineModel::Private
{
public:
    explicit Private(const EngineSettings &engineSettings) : settings(engineSettings), cache(engineSettings.cacheBlocks)
    {
    }

    void fillBatch();
    void prefill(ActiveRun &active, std::size_t &budget);
    void generate(ActiveRun &active, Millis now);
    void cacheAnswer(const ActiveRun &active);
    void end(RunNumber run, Millis now);
    void publishCacheChanges(Millis now);
    void sampleLoad(Millis now);
    bool ended(RunNumber run) const;

    EngineSettings settings;
    PrefixCache cache;
    std::vector<RunRecord> records;
    std::array<std::deque<ActiveRun>, priorities> queues;
    std::vector<ActiveRun> batch;
    std::vector<Emission> emissions;
    std::unordered_map<RequestId, RunNumber> streams;
    std::unordered_map<RunNumber, Millis> lostAt;
    std::deque<Due> graceEnds;
    std::deque<Due> keepEnds;
    std::deque<LoadSample> samples;
    std::deque<TimedEvent> events;
    std::uint64_t lastEvent = 0;
    std::size_t queued = 0;
    std::size_t maxInFlight = 0;
    std::size_t cachedTokens = 0;
    std::size_t promptTokens = 0;
};

EngineModel::EngineModel(const EngineSettings &settings) : d(std::make_unique<Private>(settings))
{
}

EngineModel::~EngineModel() = default;
EngineModel::EngineModel(EngineModel &&other) noexcept = default;
EngineModel &EngineModel::operator=(EngineModel &&other) noexcept = default;

RunNumber EngineModel::submit(const EngineRequest &request, Millis now)
{
    const RunNumber run = this->d->records.size();
    RunRecord record;
    record.request = request.request;
    record.model = request.model;
    record.idempotencyKey = request.idempotencyKey;
    record.chat = request.chat;
    record.nonce = request.nonce;
    record.at = now;
    record.promptTokens = request.promptTokens.size();
    record.maxTokens = std::max<std::size_t>(request.maxTokens, 1);
    this->d->records.push_back(std::move(record));
    this->d->streams[request.request] = run;
    const std::size_t priority = static_cast<std::size_t>(std::clamp<int>(request.priority, 0, priorities - 1));
    this->d->queues[priority].push_back({run, request.promptTokens, 0});
    ++this->d->queued;
    this->d->maxInFlight = std::max(this->d->maxInFlight, this->d->queued + this->d->batch.size());
    this->d->sampleLoad(now);
    if (this->d->settings.instant || this->d->batch.empty()) {
        this->d->fillBatch();
    }
    if (this->d->settings.instant && !this->d->batch.empty() && this->d->batch.back().run == run) {
        this->d->generate(this->d->batch.back(), now);
        if (this->d->ended(run)) {
            this->d->batch.pop_back();
        }
    }
    this->d->publishCacheChanges(now);
    return run;
}

void EngineModel::step(Millis now)
{
    std::size_t budget = this->d->settings.prefillTokensPerStep;
    for (ActiveRun &active : this->d->batch) {
        // A run whose prefill ends within this step has its first token at the step's end.
        this->d->prefill(active, budget);
        if (active.prefillLeft == 0) {
            this->d->generate(active, now);
        }
    }
    std::erase_if(this->d->batch, [this](const ActiveRun &active) { return this->d->ended(active.run); });
    this->d->fillBatch();
    this->d->publishCacheChanges(now);
    this->d->sampleLoad(now);
}

void EngineModel::Private::fillBatch()
{
    for (auto &queue : this->queues) {
        while (!queue.empty() && this->batch.size() < this->settings.maxBatch) {
            ActiveRun active = std::move(queue.front());
            queue.pop_front();
            --this->queued;
            const auto blocks = prefixBlocks(active.tokens);
            const std::size_t cached = this->cache.cachedBlocks(blocks) * prefixBlockTokens;
            this->records[active.run].cachedTokens = cached;
            this->cachedTokens += cached;
            this->promptTokens += active.tokens.size();
            active.prefillLeft = this->settings.instant ? 0 : active.tokens.size() - cached;
            this->cache.store(blocks);
            this->batch.push_back(std::move(active));
        }
    }
}

void EngineModel::Private::prefill(ActiveRun &active, std::size_t &budget)
{
    const std::size_t done = std::min(active.prefillLeft, budget);
    active.prefillLeft -= done;
    budget -= done;
}

void EngineModel::Private::generate(ActiveRun &active, Millis now)
{
    RunRecord &record = this->records[active.run];
    const bool wholeAnswer = this->settings.stepMicros == 0;
    const std::size_t count = wholeAnswer ? record.maxTokens - record.tokens : 1;
    const std::size_t offset = record.tokens;
    record.tokens += count;
    record.finished = record.tokens == record.maxTokens;
    this->emissions.push_back({active.run, offset, count, record.finished});
    if (record.finished) {
        this->cacheAnswer(active);
        this->end(active.run, now);
    }
}

void EngineModel::Private::cacheAnswer(const ActiveRun &active)
{
    // The next turn of the chat sends the answer back as a part of its prompt.
    std::vector<std::uint64_t> tokens = active.tokens;
    const RunRecord &record = this->records[active.run];
    for (std::size_t offset = 0; offset < record.tokens; ++offset) {
        tokens.push_back(hash64(wordOf(record, offset)));
    }
    this->cache.store(prefixBlocks(tokens));
}

void EngineModel::Private::end(RunNumber run, Millis now)
{
    this->keepEnds.push_back({now + this->settings.keep, run});
    this->lostAt.erase(run);
}

bool EngineModel::Private::ended(RunNumber run) const
{
    return this->records[run].finished || this->records[run].cancelled;
}

void EngineModel::expire(Millis now)
{
    auto &graceEnds = this->d->graceEnds;
    while (!graceEnds.empty() && graceEnds.front().at <= now) {
        const Due due = graceEnds.front();
        graceEnds.pop_front();
        const auto lost = this->d->lostAt.find(due.run);
        // A run that was attached and lost again since has a later entry of its own.
        if (lost != this->d->lostAt.end() && lost->second + this->d->settings.grace <= now) {
            this->cancel(due.run, now);
        }
    }
    auto &keepEnds = this->d->keepEnds;
    while (!keepEnds.empty() && keepEnds.front().at <= now) {
        const RunNumber run = keepEnds.front().run;
        keepEnds.pop_front();
        const auto stream = this->d->streams.find(this->d->records[run].request);
        if (stream != this->d->streams.end() && stream->second == run) {
            this->d->streams.erase(stream);
        }
    }
}

bool EngineModel::busy() const
{
    return this->d->queued > 0 || !this->d->batch.empty();
}

std::int64_t EngineModel::stepMicros() const
{
    if (this->d->settings.stepMicros == 0) {
        return 0;
    }
    return this->d->settings.stepMicros
        + this->d->settings.stepMicrosPerRun * static_cast<std::int64_t>(this->d->batch.size());
}

std::vector<Emission> EngineModel::takeEmissions()
{
    return std::exchange(this->d->emissions, {});
}

std::optional<RunNumber> EngineModel::find(const RequestId &request) const
{
    const auto stream = this->d->streams.find(request);
    return stream == this->d->streams.end() ? std::nullopt : std::make_optional(stream->second);
}

void EngineModel::disconnect(RunNumber run, Millis now)
{
    if (this->d->ended(run)) {
        return;
    }
    this->d->lostAt[run] = now;
    this->d->graceEnds.push_back({now + this->d->settings.grace, run});
}

void EngineModel::attach(RunNumber run)
{
    this->d->lostAt.erase(run);
}

void EngineModel::cancel(RunNumber run, Millis now)
{
    if (this->d->ended(run)) {
        return;
    }
    this->d->records[run].cancelled = true;
    this->d->end(run, now);
    std::erase_if(this->d->batch, [run](const ActiveRun &active) { return active.run == run; });
    for (auto &queue : this->d->queues) {
        this->d->queued -= std::erase_if(queue, [run](const ActiveRun &active) { return active.run == run; });
    }
    this->d->sampleLoad(now);
}

std::string EngineModel::tokenText(RunNumber run, std::size_t offset) const
{
    return wordOf(this->d->records[run], offset) + " ";
}

const RunRecord &EngineModel::record(RunNumber run) const
{
    return this->d->records[run];
}

const std::vector<RunRecord> &EngineModel::records() const
{
    return this->d->records;
}

EngineStats EngineModel::stats() const
{
    return {this->d->queued + this->d->batch.size(),
            this->d->maxInFlight,
            this->d->records.size(),
            this->d->cachedTokens,
            this->d->promptTokens};
}

void EngineModel::Private::sampleLoad(Millis now)
{
    if (!this->samples.empty() && this->samples.back().at == now) {
        this->samples.pop_back();
    }
    this->samples.push_back({now, this->batch.size() + this->queued, this->queued});
    // Only the newest sample older than the lag is ever read again, and what came after it.
    while (this->samples.size() > 1 && this->samples[1].at + this->settings.loadLag <= now) {
        this->samples.pop_front();
    }
}

EngineLoad EngineModel::load(Millis now)
{
    this->d->sampleLoad(now);
    const LoadSample &oldest = this->d->samples.front();
    if (oldest.at + this->d->settings.loadLag > now) {
        return {0, 0, this->d->settings.loadLag};
    }
    return {oldest.inFlight, oldest.queued, this->d->settings.loadLag};
}

void EngineModel::Private::publishCacheChanges(Millis now)
{
    for (const CacheChange &change : this->cache.takeChanges()) {
        ++this->lastEvent;
        const std::uint64_t gap = this->settings.cacheEventGap;
        if (gap != 0 && this->lastEvent % gap == 0) {
            continue;
        }
        this->events.push_back({now, {this->lastEvent, change}});
    }
    while (this->events.size() > maxHistory) {
        this->events.pop_front();
    }
}

std::vector<CacheEvent> EngineModel::cacheEvents(std::uint64_t after, Millis now, std::size_t limit) const
{
    const auto isBefore
        = [](const TimedEvent &timed, std::uint64_t sequence) { return timed.event.sequence <= sequence; };
    std::vector<CacheEvent> published;
    auto next = std::lower_bound(this->d->events.begin(), this->d->events.end(), after, isBefore);
    while (next != this->d->events.end() && published.size() < limit) {
        if (next->at + this->d->settings.cacheEventLag > now) {
            break;
        }
        published.push_back(next->event);
        ++next;
    }
    return published;
}

} // namespace Sequoiausher::Lab
