#include "lab/bench/workload.h"

#include <doctest/doctest.h>

#include <map>

using namespace Sequoiausher;

TEST_CASE("without applications, prompts share nothing")
{
    Workload workload(WorkloadSettings{}, 1);
    for (int i = 0; i < 1000; ++i) {
        const Turn turn = workload.next();
        CHECK(turn.sharedPrefix == 0);
        CHECK(turn.sharedTokens == 0);
        CHECK(turn.promptTokens >= 1200);
    }
}

TEST_CASE("a chat keeps its shared prefix, and all chats of a prefix have the same tokens of it")
{
    WorkloadSettings settings;
    settings.applications = 6;
    Workload workload(settings, 1);
    std::map<std::uint64_t, std::uint64_t> prefixOf;
    std::map<std::uint64_t, std::uint32_t> tokensOf;
    for (int i = 0; i < 5000; ++i) {
        const Turn turn = workload.next();
        CHECK(turn.sharedPrefix >= 1);
        CHECK(turn.sharedPrefix <= 60);
        CHECK(turn.sharedTokens >= 600);
        CHECK(turn.sharedTokens <= 9000);
        CHECK(prefixOf.try_emplace(turn.chat, turn.sharedPrefix).first->second == turn.sharedPrefix);
        CHECK(tokensOf.try_emplace(turn.sharedPrefix, turn.sharedTokens).first->second == turn.sharedTokens);
    }
    CHECK(tokensOf.size() > 30);
}
