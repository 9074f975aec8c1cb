#pragma once

// An event loop for test programs, since doctest's main has none.
//
//     REQUIRE(runUntil([&] { return answered; }));

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

#include <array>
#include <ctime>
#include <functional>

namespace Sequoiausher::Internal {

/** Returns the application object of the test program, created at the first call. */
inline QCoreApplication &testApplication()
{
    static int count = 1;
    static std::array<char, 5> name{"test"};
    static std::array<char *, 2> arguments{name.data(), nullptr};
    static QCoreApplication application(count, arguments.data());
    return application;
}

/** Runs the event loop until the condition holds or limitMs have passed. @return whether the condition holds. */
inline bool runUntil(const std::function<bool()> &condition, int limitMs = 5000)
{
    constexpr int sliceMs = 10;
    testApplication();
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < limitMs) {
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents, sliceMs);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return condition();
}

/** Runs the event loop for spanMs. */
inline void runFor(int spanMs)
{
    runUntil([] { return false; }, spanMs);
}

/**
 * Measures the time in which this program was ready to run and got no processor. Time limits of tests are extended by
 * that alone, so that a program that is itself busy for too long still exceeds them. Runs with the event loop.
 */
class HeldUpTime
{
public:
    HeldUpTime() : wall(clockMs(CLOCK_MONOTONIC)), processor(clockMs(CLOCK_PROCESS_CPUTIME_ID))
    {
        testApplication();
        QObject::connect(&this->timer, &QTimer::timeout, [this] { this->look(); });
        this->timer.setTimerType(Qt::PreciseTimer);
        this->timer.start(stepMs);
    }

    /** Returns the time so far, in milliseconds. */
    double totalMs()
    {
        this->look();
        return this->total;
    }

private:
    static constexpr int stepMs = 5;

    static double clockMs(clockid_t which)
    {
        constexpr double millisPerSecond = 1e3;
        constexpr double nanosPerMilli = 1e6;
        timespec now{};
        clock_gettime(which, &now);
        return static_cast<double>(now.tv_sec) * millisPerSecond + static_cast<double>(now.tv_nsec) / nanosPerMilli;
    }
    void look()
    {
        const double wallNow = clockMs(CLOCK_MONOTONIC);
        const double processorNow = clockMs(CLOCK_PROCESS_CPUTIME_ID);
        const double unused = (wallNow - this->wall) - (processorNow - this->processor) - stepMs;
        this->total += unused > 0 ? unused : 0;
        this->wall = wallNow;
        this->processor = processorNow;
    }

    double wall;
    double processor;
    double total = 0;
    QTimer timer;
};

} // namespace Sequoiausher::Internal
