#include "lab/bench/enginemodel.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

constexpr std::size_t samplesKept = 16;

} // namespace

EngineModel::EngineModel(std::uint64_t cacheTokens) : capacity(cacheTokens)
{
}

std::uint32_t EngineModel::held(const Part &part) const
{
    const auto entry = this->entries.find(part);
    return entry == this->entries.end() ? 0 : entry->second->tokens;
}

CachedTokens EngineModel::cached(const Turn &turn) const
{
    CachedTokens cached;
    if (turn.sharedPrefix != 0) {
        cached.shared = this->held(Part{PartKind::Shared, turn.sharedPrefix});
        if (cached.shared == 0) {
            return cached;
        }
    }
    cached.own = std::min(this->held(Part{PartKind::Own, turn.chat}), turn.promptTokens);
    return cached;
}

void EngineModel::keep(const Part &part, std::uint32_t tokens)
{
    const auto known = this->entries.find(part);
    if (known != this->entries.end()) {
        this->used -= known->second->tokens;
        this->recent.erase(known->second);
        this->entries.erase(known);
    }
    this->recent.push_front(Entry{part, tokens});
    this->entries[part] = this->recent.begin();
    this->used += tokens;
}

void EngineModel::evict()
{
    while (this->used > this->capacity && this->recent.size() > 1) {
        this->used -= this->recent.back().tokens;
        this->entries.erase(this->recent.back().part);
        this->recent.pop_back();
    }
}

CachedTokens EngineModel::run(const Turn &turn)
{
    const CachedTokens hit = this->cached(turn);
    this->keep(Part{PartKind::Own, turn.chat}, turn.tokensAfter);
    // Last, so that a shared part never goes before the own parts behind it.
    if (turn.sharedPrefix != 0) {
        this->keep(Part{PartKind::Shared, turn.sharedPrefix}, turn.sharedTokens);
    }
    this->evict();
    return hit;
}

void EngineModel::sample(Millis now)
{
    this->samples.push_back(Sample{now, this->inFlight});
    if (this->samples.size() > samplesKept) {
        this->samples.pop_front();
    }
}

std::uint32_t EngineModel::reported(Millis now, Millis lag) const
{
    std::uint32_t load = 0;
    for (const Sample &each : this->samples) {
        if (each.at <= now - lag) {
            load = each.load;
        }
    }
    return load;
}

} // namespace Sequoiausher
