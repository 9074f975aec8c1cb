#include "lab/engine/enginemodel.h"

#include "sequoiausher/base/hashing.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

EngineRequest requestOf(std::uint64_t number, std::size_t promptWords, std::size_t maxTokens, int priority = 5)
{
    EngineRequest request;
    request.request = RequestId{0, number};
    request.nonce = "n" + std::to_string(number);
    request.maxTokens = maxTokens;
    request.priority = priority;
    for (std::size_t i = 0; i < promptWords; ++i) {
        request.promptTokens.push_back(hash64("word" + std::to_string(i)));
    }
    return request;
}

/** Steps at one millisecond each until idle; the number of steps. */
int runDry(EngineModel &engine, Millis &now)
{
    int steps = 0;
    while (engine.busy()) {
        now += Millis{1};
        engine.step(now);
        ++steps;
    }
    return steps;
}

} // namespace

TEST_CASE("a run gives one token a step, from the echoed nonce to its limit")
{
    EngineModel engine{EngineSettings{}};
    Millis now{1000};
    const RunNumber run = engine.submit(requestOf(1, 3, 4), now);
    CHECK(runDry(engine, now) == 4);
    const auto emissions = engine.takeEmissions();
    REQUIRE(emissions.size() == 4);
    CHECK(emissions[2].offset == 2);
    CHECK(emissions[3].finished);
    CHECK(engine.tokenText(run, 0) == "echo-n1 ");
    CHECK(engine.tokenText(run, 3) == "t3 ");
    CHECK(engine.record(run).finished);
}

TEST_CASE("a full batch makes others wait, and those of better priority go first")
{
    EngineSettings settings;
    settings.maxBatch = 1;
    EngineModel engine(settings);
    Millis now{1000};
    engine.submit(requestOf(1, 1, 2), now);
    const RunNumber background = engine.submit(requestOf(2, 1, 1, 9), now);
    const RunNumber urgent = engine.submit(requestOf(3, 1, 1, 0), now);
    CHECK(engine.stats().inFlight == 3);
    runDry(engine, now);
    const auto emissions = engine.takeEmissions();
    REQUIRE(emissions.size() == 4);
    CHECK(emissions[2].run == urgent);
    CHECK(emissions[3].run == background);
    CHECK(engine.stats().maxInFlight == 3);
}

TEST_CASE("a returning prompt skips the prefill of what is cached, the answer of the last turn included")
{
    EngineSettings settings;
    settings.prefillTokensPerStep = 16;
    EngineModel engine(settings);
    Millis now{1000};
    auto request = requestOf(1, 160, 16);
    engine.submit(request, now);
    CHECK(runDry(engine, now) == 10 + 15);
    const RunNumber again = engine.submit(request, now);
    CHECK(runDry(engine, now) == 16);
    CHECK(engine.record(again).cachedTokens == 160);
    request.promptTokens.push_back(hash64("echo-n1"));
    for (int i = 1; i < 16; ++i) {
        request.promptTokens.push_back(hash64("t" + std::to_string(i)));
    }
    const RunNumber next = engine.submit(request, now);
    CHECK(engine.record(next).cachedTokens == 176);
    CHECK(engine.stats().promptTokens == 160 + 160 + 176);
}

TEST_CASE("an instant engine answers within submit, and all at once where a step takes no time")
{
    EngineSettings settings;
    settings.instant = true;
    EngineModel stepped(settings);
    Millis now{1000};
    stepped.submit(requestOf(1, 10000, 3), now);
    CHECK(stepped.takeEmissions().size() == 1);
    CHECK(runDry(stepped, now) == 2);
    settings.stepMicros = 0;
    EngineModel atOnce(settings);
    atOnce.submit(requestOf(1, 10000, 3), now);
    const auto emissions = atOnce.takeEmissions();
    REQUIRE(emissions.size() == 1);
    CHECK(emissions[0].count == 3);
    CHECK(emissions[0].finished);
    CHECK(!atOnce.busy());
}

TEST_CASE("a run whose connection is lost ends after the grace time unless it is attached again")
{
    struct Case
    {
        bool attachedAgain;
        Millis lookedAt;
        bool cancelled;
    };
    const Case cases[] = {
        {false, Millis{1099}, false},
        {false, Millis{1100}, true},
        {true, Millis{1100}, false},
    };
    for (const Case &row : cases) {
        CAPTURE(row.lookedAt.count);
        EngineSettings settings;
        settings.grace = Millis{100};
        EngineModel engine(settings);
        const RunNumber run = engine.submit(requestOf(1, 1, 1000), Millis{1000});
        engine.disconnect(run, Millis{1000});
        if (row.attachedAgain) {
            engine.attach(run);
        }
        engine.expire(row.lookedAt);
        CHECK(engine.record(run).cancelled == row.cancelled);
        CHECK(engine.busy() == !row.cancelled);
    }
}

TEST_CASE("an ended stream is known for its keep time")
{
    EngineSettings settings;
    settings.keep = Millis{50};
    EngineModel engine(settings);
    Millis now{1000};
    const RunNumber run = engine.submit(requestOf(7, 1, 1), now);
    runDry(engine, now);
    engine.expire(now + Millis{49});
    CHECK(engine.find(RequestId{0, 7}) == run);
    engine.expire(now + Millis{50});
    CHECK(!engine.find(RequestId{0, 7}).has_value());
}

TEST_CASE("cancelling takes a run out of the batch and out of the queue")
{
    EngineSettings settings;
    settings.maxBatch = 1;
    EngineModel engine(settings);
    Millis now{1000};
    const RunNumber running = engine.submit(requestOf(1, 1, 100), now);
    const RunNumber waiting = engine.submit(requestOf(2, 1, 100), now);
    engine.step(now);
    engine.cancel(waiting, now);
    engine.cancel(running, now);
    CHECK(!engine.busy());
    CHECK(engine.record(running).tokens == 1);
    CHECK(engine.record(waiting).tokens == 0);
}

TEST_CASE("load is reported as it was a lag ago")
{
    EngineModel engine{EngineSettings{}};
    CHECK(engine.load(Millis{1000}).inFlight == 0);
    engine.submit(requestOf(1, 1, 100), Millis{1000});
    CHECK(engine.load(Millis{1199}).inFlight == 0);
    CHECK(engine.load(Millis{1200}).inFlight == 1);
}

TEST_CASE("cache events come late and with gaps")
{
    EngineSettings settings;
    settings.cacheEventGap = 3;
    EngineModel engine(settings);
    engine.submit(requestOf(1, 64, 1), Millis{1000});
    CHECK(engine.cacheEvents(0, Millis{1199}, 100).empty());
    const auto events = engine.cacheEvents(0, Millis{1200}, 100);
    REQUIRE(events.size() == 3);
    CHECK(events[1].sequence == 2);
    CHECK(events[2].sequence == 4);
    CHECK(engine.cacheEvents(2, Millis{1200}, 100).size() == 1);
}
