#pragma once

// A model engine as the benches see it: a count of running requests, a prompt-prefix cache of limited size with the
// least recently used prefix going first, and load reports that lag.
//
//     EngineModel engine(400000);
//     const std::uint32_t cached = engine.run(chat, promptTokens, newLength);

#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>

namespace Sequoiausher {

/** One engine. */
class EngineModel
{
public:
    explicit EngineModel(std::uint64_t cacheTokens);

    /**
     * Runs one request of a chat.
     * @return how many of its prompt's tokens the cache held.
     */
    std::uint32_t run(std::uint64_t chat, std::uint32_t promptTokens, std::uint32_t tokensAfter);

    /** How many tokens of the chat the cache holds, without touching it. */
    std::uint32_t cached(std::uint64_t chat) const;

    /** Remembers the load now, for reports. */
    void sample(Millis now);
    /** The load as it was lag before now. */
    std::uint32_t reported(Millis now, Millis lag) const;

    std::uint32_t inFlight = 0;

private:
    struct Entry
    {
        std::uint64_t chat;
        std::uint32_t tokens;
    };
    struct Sample
    {
        Millis at;
        std::uint32_t load;
    };

    std::uint64_t capacity;
    std::uint64_t used = 0;
    std::list<Entry> recent;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entries;
    std::deque<Sample> samples;
};

} // namespace Sequoiausher
