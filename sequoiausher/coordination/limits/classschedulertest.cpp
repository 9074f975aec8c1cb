#include "sequoiausher/coordination/limits/classscheduler.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

TEST_CASE("the class served next depends on which classes wait and which are ready")
{
    struct Row
    {
        const char *what;
        ClassFlags waiting;
        ClassFlags ready;
        /** How many of a hundred dispatches each class gets. */
        std::array<int, requestClassCount> served;
    };
    const std::vector<Row> rows{
        {"all", {true, true, true}, {true, true, true}, {85, 12, 3}},
        {"urgent alone", {true, false, false}, {true, false, false}, {100, 0, 0}},
        {"interactive before background", {false, true, true}, {false, true, true}, {0, 97, 3}},
        {"held back", {true, true, true}, {false, false, true}, {0, 0, 100}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ClassScheduler scheduler;
        std::array<int, requestClassCount> served{};
        for (int i = 0; i < 100; ++i) {
            const std::size_t index = scheduler.next(row.ready);
            served[index] += 1;
            scheduler.recordServed(index, row.waiting);
        }
        CHECK(served == row.served);
    }
}

TEST_CASE("a class that was held back is served first when it becomes ready")
{
    ClassScheduler scheduler;
    const ClassFlags waiting{true, true, false};
    for (int i = 0; i < 20; ++i) {
        scheduler.recordServed(0, waiting);
    }
    CHECK(scheduler.next({true, true, false}) == 1);
    scheduler.recordServed(1, waiting);
    CHECK(scheduler.next({true, true, false}) == 0);
}
