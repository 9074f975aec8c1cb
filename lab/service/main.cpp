// lab-service: one or several stand-in plain services in one process, each on a port of its own.
//
//     lab-service --port 9101 --name desk-1 --latency-ms 20
//     ready desk-1 9101

#include "lab/service/serviceserver.h"
#include "lab/support/labprogram.h"

#include <QtCore/QCoreApplication>

#include <memory>
#include <string>
#include <vector>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

cxxopts::Options commandLine()
{
    cxxopts::Options options("lab-service", "Stand-in plain services");
    addTextOption(options, "address", "IP number to listen on", "127.0.0.1");
    options.add_options()("port,ports",
                          "One port for each service; 0 picks a free one",
                          cxxopts::value<std::vector<int>>()->default_value("0"));
    addTextOption(options, "name", "Name; of several services NAME-1, NAME-2, ...", "service");
    addIntegerOption(options, "latency-ms", "How long each call takes", 0);
    return options;
}

int run(QCoreApplication &app, const cxxopts::ParseResult &parsed)
{
    std::vector<std::unique_ptr<ServiceServer>> services;
    const auto ports = parsed["ports"].as<std::vector<int>>();
    for (const int port : ports) {
        ServiceServerOptions options;
        options.name = textOption(parsed, "name");
        if (ports.size() > 1) {
            options.name += "-" + std::to_string(services.size() + 1);
        }
        options.latency = Millis{integerOption(parsed, "latency-ms")};
        options.listen.address = textOption(parsed, "address");
        options.listen.port = static_cast<std::uint16_t>(port);
        services.push_back(std::make_unique<ServiceServer>(options));
        services.back()->listen();
        announceReady(options.name, services.back()->port());
    }
    return app.exec();
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, commandLine(), run);
}
