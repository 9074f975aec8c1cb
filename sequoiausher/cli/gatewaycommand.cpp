#include "sequoiausher/cli/gatewaycommand.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/base/log/linestream.h"
#include "sequoiausher/cli/documentfolder.h"
#include "sequoiausher/cli/signalwatch.h"
#include "sequoiausher/protocol/settings/gatewaysettings.h"
#include "sequoiausher/transport/gateway/gatewaynode.h"

#include <QCoreApplication>

#include <array>
#include <csignal>
#include <ostream>
#include <utility>

#include <malloc.h>
#include <unistd.h>

namespace Sequoiausher {

GatewayCommand::GatewayCommand(std::unique_ptr<const GatewayDialect> speaks) : dialect(std::move(speaks))
{
}

GatewayCommand::~GatewayCommand() = default;

CommandHelp GatewayCommand::help() const
{
    return {"gateway",
            "Run one gateway until SIGTERM or SIGINT, a planned stop; SIGHUP reads settings and rules again",
            {"sequoiausher gateway --config gateway.ini"}};
}

void GatewayCommand::addOptions(cxxopts::Options &options) const
{
    options.add_options()("config", "The gateway's settings", cxxopts::value<std::string>(), "FILE");
}

ExitCode GatewayCommand::run(const cxxopts::ParseResult &options, std::ostream & /*out*/, std::ostream &err) const
{
    holdSignals();
    if (options.count("config") == 0) {
        err << "gateway: found no --config, expected the settings file\n";
        return ExitCode::BadInput;
    }
    const auto file = options["config"].as<std::string>();
    const GatewaySettings settings = parseGatewaySettings(readFile(file), file);
    // Otherwise the allocator raises the threshold with the first large body that is freed. Later ones then come from
    // the heap, whose gaps between them the process keeps.
    constexpr int largeBlockBytes = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    // One thread does everything: GLib's loop brings locks and allocations for others.
    qputenv("QT_NO_GLIB", "1");
    int argumentCount = 1;
    std::array<char, 13> name{"sequoiausher"};
    std::array<char *, 2> arguments{name.data(), nullptr};
    QCoreApplication application(argumentCount, arguments.data());
    LineStream lines(STDOUT_FILENO);
    const Log log(settings.log, lines.stream(), &Millis::wallNow);
    GatewayNode node(*this->dialect, settings, log, [] { QCoreApplication::quit(); });
    const SignalWatch signals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
        if (signal != SIGHUP) {
            node.stop();
            return;
        }
        try {
            node.reload(parseGatewaySettings(readFile(file), file));
        } catch (const Error &error) {
            log.error(LogPart::Config, "the last good settings stay in force", {{"why", error.what()}});
        }
    });
    node.start();
    const int status = QCoreApplication::exec();
    return status == 0 ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace Sequoiausher
