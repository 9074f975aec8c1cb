#pragma once

// What the stand-in programs share: the command line, the ready line, and stopping on SIGTERM, SIGINT or, where it
// is asked for by --stop-with-stdin, at the end of standard input.
//
//     int run(QCoreApplication &app, const cxxopts::ParseResult &parsed)
//     {
//         ...
//         announceReady("engine", port);
//         return app.exec();
//     }
//     return runProgram(argc, argv, options, run);

#include <QtCore/QCoreApplication>
#include <cxxopts.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Sequoiausher::Lab {

/** Sets the program up and runs its event loop; its exit status. */
using RunFunction = std::function<int(QCoreApplication &, const cxxopts::ParseResult &)>;

/**
 * Parses the command line by options, to which --help and --stop-with-stdin are added, and calls run. With
 * --stop-with-stdin the event loop ends when standard input closes: a test that dies takes its stand-ins with it,
 * since the pipe it held closes with it. SIGTERM and SIGINT end it too, with status 0.
 * @return the program's exit status; 1 where run or the parser throws, with the error on standard error.
 */
int runProgram(int argc, char **argv, cxxopts::Options options, const RunFunction &run);

/** Adds an option that holds text. */
void addTextOption(cxxopts::Options &options,
                   const std::string &name,
                   const std::string &help,
                   const std::string &fallback);

/** Adds an option that holds a whole number. */
void addIntegerOption(cxxopts::Options &options,
                      const std::string &name,
                      const std::string &help,
                      std::int64_t fallback);

/** The value of an option that holds a whole number. */
std::int64_t integerOption(const cxxopts::ParseResult &parsed, const std::string &name);

/** The value of an option that holds text. */
std::string textOption(const cxxopts::ParseResult &parsed, const std::string &name);

/** Prints "ready NAME PORT" on a line and flushes it. */
void announceReady(std::string_view name, std::uint16_t port);

} // namespace Sequoiausher::Lab
