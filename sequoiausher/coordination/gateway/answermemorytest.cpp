#include "sequoiausher/coordination/gateway/answermemory.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("an answer is remembered until its time is over")
{
    AnswerMemory<int> memory({Millis{1000}, 10});
    CHECK_FALSE(memory.lastAnswer(1, Millis{0}));
    memory.record(1, {Millis{100}});
    memory.record(1, {Millis{400}});
    CHECK(memory.lastAnswer(1, Millis{1400}) == ObservationTime{Millis{400}});
    CHECK_FALSE(memory.lastAnswer(1, Millis{1401}));
    memory.record(2, {Millis{1401}});
    CHECK(memory.lastAnswer(2, Millis{1401}));
    memory.record(3, {Millis{3000}});
    CHECK(memory.size() == 1);
}

// Guards against something that is answered all the time driving everything else out of the memory.
TEST_CASE("the least recently answered is forgotten first, however often others are answered")
{
    AnswerMemory<int> memory({Millis{60000}, 3});
    memory.record(1, {Millis{0}});
    memory.record(2, {Millis{1}});
    for (int i = 0; i < 1000; ++i) {
        memory.record(3, {Millis{2 + i}});
    }
    CHECK(memory.lastAnswer(1, Millis{1002}));
    memory.record(1, {Millis{1003}});
    memory.record(4, {Millis{1004}});
    CHECK(memory.size() == 3);
    CHECK_FALSE(memory.lastAnswer(2, Millis{1004}));
    CHECK(memory.lastAnswer(1, Millis{1004}) == ObservationTime{Millis{1003}});
    CHECK(memory.lastAnswer(3, Millis{1004}));
}
