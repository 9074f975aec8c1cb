#pragma once

// Chats that return: organisations of very different size (Zipf), chats that grow with each turn and end at some time.
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
};

/** One request of a chat. */
struct Turn
{
    std::uint64_t chat = 0;
    std::uint32_t promptTokens = 0;
    /** Prompt and answer. */
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
    };

    std::size_t draw(std::size_t below);

    WorkloadSettings settings;
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> organisation;
    /** By organisation. */
    std::vector<std::vector<Chat>> chats;
    std::uint64_t lastId = 0;
};

} // namespace Sequoiausher
