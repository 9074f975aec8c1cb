#include "sequoiausher/cli/routercommand.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/cli/documentfolder.h"
#include "sequoiausher/transport/router/router.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <array>
#include <csignal>
#include <ostream>

#include <unistd.h>

namespace Sequoiausher {

namespace {

/** Written by the signal handler, which may do nothing else, and read by the event loop. */
std::array<int, 2> signalPipe{-1, -1};

void noteSignal(int)
{
    const char mark = 1;
    [[maybe_unused]] const ssize_t written = write(signalPipe[1], &mark, sizeof mark);
}

void catchSignals()
{
    if (pipe(signalPipe.data()) != 0) {
        throw Error(Step::Listen, "signals", "no pipe could be had");
    }
    struct sigaction action = {};
    action.sa_handler = noteSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    // A peer that closes while it is written to is no reason to die.
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

CommandHelp RouterCommand::help() const
{
    return {"router",
            "Run one router until SIGTERM or SIGINT; both bring it to a planned stop",
            {"sequoiausher router --config etc/router.ini"}};
}

void RouterCommand::addOptions(cxxopts::Options &options) const
{
    options.add_options()("config", "The router's settings", cxxopts::value<std::string>(), "FILE");
}

ExitCode RouterCommand::run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const
{
    if (options.count("config") == 0) {
        err << "router: found no --config, expected the settings file\n";
        return ExitCode::BadInput;
    }
    const auto file = options["config"].as<std::string>();
    const RouterSettings settings = parseRouterSettings(readFile(file), file);
    const Log log(settings.log);

    int argumentCount = 1;
    std::array<char, 13> name{"sequoiausher"};
    std::array<char *, 2> arguments{name.data(), nullptr};
    QCoreApplication application(argumentCount, arguments.data());
    catchSignals();
    Router router(settings, log, [] { QCoreApplication::quit(); });
    QSocketNotifier notifier(signalPipe[0], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &notifier, [&router] {
        char mark = 0;
        [[maybe_unused]] const ssize_t taken = read(signalPipe[0], &mark, sizeof mark);
        router.stop();
    });
    router.start();
    out << "ready " << settings.name.value << " " << settings.address << std::endl;
    const int status = QCoreApplication::exec();
    return status == 0 ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace Sequoiausher
