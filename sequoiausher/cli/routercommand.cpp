#include "sequoiausher/cli/routercommand.h"

#include "sequoiausher/cli/documentfolder.h"
#include "sequoiausher/cli/signalwatch.h"
#include "sequoiausher/transport/router/router.h"

#include <QCoreApplication>

#include <array>
#include <csignal>
#include <ostream>

namespace Sequoiausher {

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
    holdSignals();
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
    Router router(settings, log, [] { QCoreApplication::quit(); });
    const SignalWatch signals({SIGTERM, SIGINT}, [&router](int) { router.stop(); });
    router.start();
    out << "ready " << settings.name.value << " " << settings.address << std::endl;
    const int status = QCoreApplication::exec();
    return status == 0 ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace Sequoiausher
