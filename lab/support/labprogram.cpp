#include "lab/support/labprogram.h"

#include <QtCore/QSocketNotifier>

#include <array>
#include <csignal>
#include <cstdio>
#include <sys/socket.h>
#include <unistd.h>

namespace Sequoiausher::Lab {

namespace {

/** A signal handler may hardly do more than write a byte; the event loop reads the other end. */
std::array<int, 2> signalPipe{-1, -1};

void onSignal(int)
{
    const char byte = 1;
    [[maybe_unused]] const ssize_t written = ::write(signalPipe[1], &byte, 1);
}

void stopOnSignals(QCoreApplication &app)
{
    if (::pipe(signalPipe.data()) != 0) {
        return;
    }
    auto *notifier = new QSocketNotifier(signalPipe[0], QSocketNotifier::Read, &app);
    QObject::connect(notifier, &QSocketNotifier::activated, &app, [&app, notifier] {
        notifier->setEnabled(false);
        app.exit(0);
    });
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

void stopWithStdin(QCoreApplication &app)
{
    auto *notifier = new QSocketNotifier(STDIN_FILENO, QSocketNotifier::Read, &app);
    QObject::connect(notifier, &QSocketNotifier::activated, &app, [&app, notifier] {
        std::array<char, 512> ignored{};
        if (::read(STDIN_FILENO, ignored.data(), ignored.size()) <= 0) {
            notifier->setEnabled(false);
            app.exit(0);
        }
    });
}

} // namespace

int runProgram(int argc, char **argv, cxxopts::Options options, const RunFunction &run)
{
    QCoreApplication app(argc, argv);
    options.add_options()("h,help", "Show this");
    options.add_options()("stop-with-stdin", "Stop when standard input closes");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::printf("%s\n", options.help().c_str());
            return 0;
        }
        stopOnSignals(app);
        if (parsed.count("stop-with-stdin") > 0) {
            stopWithStdin(app);
        }
        return run(app, parsed);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s: %s\n", options.program().c_str(), error.what());
        return 1;
    }
}

void addTextOption(cxxopts::Options &options,
                   const std::string &name,
                   const std::string &help,
                   const std::string &fallback)
{
    options.add_options()(name, help, cxxopts::value<std::string>()->default_value(fallback));
}

void addIntegerOption(cxxopts::Options &options,
                      const std::string &name,
                      const std::string &help,
                      std::int64_t fallback)
{
    options.add_options()(name, help, cxxopts::value<std::int64_t>()->default_value(std::to_string(fallback)));
}

std::int64_t integerOption(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parsed[name].as<std::int64_t>();
}

std::string textOption(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parsed[name].as<std::string>();
}

void announceReady(std::string_view name, std::uint16_t port)
{
    std::printf("ready %.*s %u\n", static_cast<int>(name.size()), name.data(), static_cast<unsigned>(port));
    std::fflush(stdout);
}

} // namespace Sequoiausher::Lab
