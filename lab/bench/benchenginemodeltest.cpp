#include "lab/bench/enginemodel.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

Turn turnOf(std::uint64_t chat, std::uint64_t sharedPrefix, std::uint32_t sharedTokens)
{
    Turn turn;
    turn.chat = chat;
    turn.sharedPrefix = sharedPrefix;
    turn.sharedTokens = sharedTokens;
    turn.promptTokens = 100;
    turn.tokensAfter = 200;
    return turn;
}

} // namespace

TEST_CASE("a chat's own part is found up to what the last turn left, and no more than the prompt has")
{
    EngineModel engine(1000);
    Turn turn = turnOf(1, 0, 0);
    CHECK(engine.run(turn).all() == 0);
    CHECK(engine.cached(turn).own == 100);
    turn.promptTokens = 500;
    CHECK(engine.run(turn).own == 200);
    CHECK(engine.cached(turnOf(2, 0, 0)).all() == 0);
}

TEST_CASE("the first chat of a prefix reads it, the next ones find it")
{
    EngineModel engine(5000);
    CHECK(engine.run(turnOf(1, 7, 1000)).all() == 0);
    CHECK(engine.run(turnOf(2, 7, 1000)).shared == 1000);
    CHECK(engine.cached(turnOf(2, 7, 1000)).own == 100);
    CHECK(engine.cached(turnOf(3, 8, 1000)).all() == 0);
}

TEST_CASE("the least recently used part goes first, and an own part before the shared one that it stands behind")
{
    EngineModel engine(2500);
    engine.run(turnOf(1, 7, 1000));
    engine.run(turnOf(2, 8, 1000));
    CHECK(engine.cached(turnOf(1, 7, 1000)).all() == 1100);
    // 200 more than fit: the own part of chat 1 is the oldest.
    engine.run(turnOf(3, 8, 1000));
    CHECK(engine.cached(turnOf(1, 7, 1000)).shared == 1000);
    CHECK(engine.cached(turnOf(1, 7, 1000)).own == 0);
    engine.run(turnOf(4, 8, 1000));
    CHECK(engine.cached(turnOf(1, 7, 1000)).all() == 0);
    CHECK(engine.cached(turnOf(2, 8, 1000)).all() == 1100);
}

TEST_CASE("an own part is of no use where its shared prefix is gone")
{
    // More than fits: the newest part alone stays.
    EngineModel engine(500);
    engine.run(turnOf(1, 7, 1000));
    CHECK(engine.cached(turnOf(1, 7, 1000)).shared == 1000);
    CHECK(engine.cached(turnOf(1, 7, 1000)).own == 0);
    CHECK(engine.cached(turnOf(1, 9, 1000)).all() == 0);
}
