#pragma once

// What the stand-in programs share: the ready line, and stopping on SIGTERM, SIGINT or the end of standard input.
//
//     QCoreApplication app(argc, argv);
//     stopOnSignals(app);
//     announceReady("engine", port);
//     return app.exec();

#include <QtCore/QCoreApplication>

#include <cstdint>
#include <string_view>

namespace Sequoiausher::Lab {

/** Makes SIGTERM and SIGINT end app's event loop with status 0. Call once, from the main thread. */
void stopOnSignals(QCoreApplication &app);

/**
 * Ends app's event loop when standard input closes: a test that dies takes its stand-ins with it, since the pipe it
 * held closes with it. What is written to standard input is ignored.
 */
void stopWithStdin(QCoreApplication &app);

/** Prints "ready NAME PORT" on a line and flushes it. */
void announceReady(std::string_view name, std::uint16_t port);

} // namespace Sequoiausher::Lab
