#include "sequoiausher/transport/router/tickpacer.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace Sequoiausher;

namespace {

void ensureApplication()
{
    static int argumentCount = 1;
    static char name[] = "tickpacertest";
    static char *arguments[] = {name, nullptr};
    static const QCoreApplication application(argumentCount, arguments);
}

void letPass(Millis span)
{
    QEventLoop loop;
    QTimer::singleShot(static_cast<int>(span.count), &loop, &QEventLoop::quit);
    loop.exec();
}

} // namespace

TEST_CASE("it ticks seldom while nothing is due, and no more often than the busy interval while all is")
{
    ensureApplication();
    struct Case
    {
        Millis deadline;
        std::size_t atLeast;
        std::size_t atMost;
    };
    // A slow machine ticks less, never more.
    const std::vector<Case> cases{{Millis::never(), 3, 11}, {Millis{0}, 15, 51}};
    for (const Case &c : cases) {
        CAPTURE(c.deadline.count);
        std::size_t ticks = 0;
        TickPacer pacer([&] {
            ++ticks;
            return c.deadline;
        });
        pacer.start();
        CHECK(ticks == 1);
        letPass(Millis{1000});
        CHECK(ticks >= c.atLeast);
        CHECK(ticks <= c.atMost);
    }
}

// Guards against asking again late for a request whose owner does not answer. A worker begins a request with a deadline
// while nothing else is due, and the next tick was planned before that.
TEST_CASE("a wake-up from another thread brings the next tick forward, once for each tick")
{
    ensureApplication();
    constexpr int rounds = 10;
    std::size_t ticks = 0;
    TickPacer pacer([&] {
        ++ticks;
        return Millis::never();
    });
    pacer.start();
    for (int round = 0; round < rounds; ++round) {
        std::thread worker([&pacer] {
            for (int i = 0; i < 100; ++i) {
                pacer.wake();
            }
        });
        worker.join();
        letPass(Millis{60});
    }
    // Resting alone, 600 ms hold six ticks.
    CHECK(ticks >= rounds);
    CHECK(ticks <= 2 * rounds + 2);
}
