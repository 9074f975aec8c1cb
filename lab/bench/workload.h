#pragma once

// Chats that return: organisations of very different size (Zipf), chats that grow with each turn and end at some time.
// Where organisations have applications, each chat of one begins with the application's system prompt, which all of
// them share.
//
//     Workload workload(settings, seed);
//     const Turn turn = workload.next();

#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <random>
#include <vector>

namespace Sequoiausher {

struct WorkloadSettings
{
    std::uint32_t organisations = 10;
    std::uint32_t chats = 3000;
    double requestsPerSecond = 30;
    /** Mean time that a request runs. */
    Millis meanRun{4000};
    /** Applications of each organisation, of very different use (Zipf); 0: prompts share nothing. */
    std::uint32_t applications = 0;
    /** A system prompt has from fewest to most tokens, drawn evenly. */
    std::uint32_t fewestSharedTokens = 600;
    std::uint32_t mostSharedTokens = 9000;
};

/** One request of a chat. */
struct Turn
{
    std::uint64_t chat = 0;
    /** The application whose system prompt opens the chat, from 1; 0 where nothing is shared. */
    std::uint64_t sharedPrefix = 0;
    /** Tokens of the shared part, which come before those below. */
    std::uint32_t sharedTokens = 0;
    /** The chat's own part. */
    std::uint32_t promptTokens = 0;
    /** The chat's own part with the answer. */
    std::uint32_t tokensAfter = 0;
    Millis run;
    /** Until the next request arrives. */
    Millis untilNext;
};

/** The stream of requests; the same for the same seed. */
class Workload
{
public:
    Workload(const WorkloadSettings &settings, std::uint64_t seed);

    Turn next();

private:
    struct Chat
    {
        std::uint64_t id;
        std::uint32_t tokens;
        std::uint64_t sharedPrefix;
    };

    std::size_t draw(std::size_t below);
    Chat newChat(std::size_t owner);
    void drawSharedTokens();

    WorkloadSettings settings;
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> organisation;
    std::discrete_distribution<std::size_t> application;
    /** By shared prefix, from 1. */
    std::vector<std::uint32_t> sharedTokens{0};
    /** By organisation. */
    std::vector<std::vector<Chat>> chats;
    std::uint64_t lastId = 0;
};

} // namespace Sequoiausher
