#pragma once

// A model engine as the benches see it: a count of running requests, a prompt-prefix cache of limited size with the
// least recently used part going first, and load reports that lag.
//
//     EngineModel engine(400000);
//     const CachedTokens cached = engine.run(turn);
//
// A prompt has up to two parts: what several chats share, and the chat's own. The own part is cached behind the shared
// one, so it is of use only while the shared one is there too.

#include "lab/bench/workload.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>

namespace Sequoiausher {

/** Tokens of a prompt that a cache holds. */
struct CachedTokens
{
    std::uint32_t shared = 0;
    std::uint32_t own = 0;

    std::uint32_t all() const
    {
        return this->shared + this->own;
    }
};

/** One engine. */
class EngineModel
{
public:
    explicit EngineModel(std::uint64_t cacheTokens);

    /** Runs one request of a chat. @return what the cache held of its prompt before. */
    CachedTokens run(const Turn &turn);

    /** What the cache holds of the turn's prompt, without touching it. */
    CachedTokens cached(const Turn &turn) const;

    /** Remembers the load now, for reports. */
    void sample(Millis now);
    /** The load as it was lag before now. */
    std::uint32_t reported(Millis now, Millis lag) const;

    std::uint32_t inFlight = 0;

private:
    enum class PartKind {
        Shared,
        Own,
    };
    /** One part of prompts: a shared prefix, or what a chat adds to it. */
    struct Part
    {
        PartKind kind;
        std::uint64_t id;

        bool operator==(const Part &) const = default;
    };
    struct PartHash
    {
        std::size_t operator()(const Part &part) const
        {
            return std::hash<std::uint64_t>()(part.id * 2 + (part.kind == PartKind::Own ? 1 : 0));
        }
    };
    struct Entry
    {
        Part part;
        std::uint32_t tokens;
    };
    struct Sample
    {
        Millis at;
        std::uint32_t load;
    };

    std::uint32_t held(const Part &part) const;
    void keep(const Part &part, std::uint32_t tokens);
    void evict();

    std::uint64_t capacity;
    std::uint64_t used = 0;
    std::list<Entry> recent;
    std::unordered_map<Part, std::list<Entry>::iterator, PartHash> entries;
    std::deque<Sample> samples;
};

} // namespace Sequoiausher
