#pragma once

// An event loop for test programs, which have doctest's main instead of one of Qt's.
//
//     REQUIRE(runUntil([&] { return answered; }));

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

#include <array>
#include <functional>

namespace Sequoiausher::Internal {

/** The application object of the test program, made at the first call. */
inline QCoreApplication &testApplication()
{
    static int count = 1;
    static std::array<char, 5> name{"test"};
    static std::array<char *, 2> arguments{name.data(), nullptr};
    static QCoreApplication application(count, arguments.data());
    return application;
}

/** Runs the event loop until condition holds or limitMs have passed; returns whether it holds. */
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

/** Runs the event loop for a while. */
inline void runFor(int spanMs)
{
    runUntil([] { return false; }, spanMs);
}

} // namespace Sequoiausher::Internal
