#include "lab/bench/enginemodel.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

constexpr std::size_t samplesKept = 16;

} // namespace

EngineModel::EngineModel(std::uint64_t cacheTokens) : capacity(cacheTokens)
{
}

std::uint32_t EngineModel::cached(std::uint64_t chat) const
{
    const auto entry = this->entries.find(chat);
    return entry == this->entries.end() ? 0 : entry->second->tokens;
}

std::uint32_t EngineModel::run(std::uint64_t chat, std::uint32_t promptTokens, std::uint32_t tokensAfter)
{
    const std::uint32_t hit = std::min(this->cached(chat), promptTokens);
    const auto known = this->entries.find(chat);
    if (known != this->entries.end()) {
        this->used -= known->second->tokens;
        this->recent.erase(known->second);
        this->entries.erase(known);
    }
    this->recent.push_front(Entry{chat, tokensAfter});
    this->entries[chat] = this->recent.begin();
    this->used += tokensAfter;
    while (this->used > this->capacity && this->recent.size() > 1) {
        this->used -= this->recent.back().tokens;
        this->entries.erase(this->recent.back().chat);
        this->recent.pop_back();
    }
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
