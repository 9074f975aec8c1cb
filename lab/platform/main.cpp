// lab-platform: the stand-in configuration service.
//
//     lab-platform --port 7000 --documents lab/documents
//     ready platform 7000

#include "lab/platform/platformserver.h"
#include "lab/support/labprogram.h"

#include <QtCore/QCoreApplication>

#include <string>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

cxxopts::Options commandLine()
{
    cxxopts::Options options("lab-platform", "Stand-in configuration service");
    addTextOption(options, "address", "IP number to listen on", "127.0.0.1");
    addIntegerOption(options, "port", "Port; 0 picks a free one", 0);
    addTextOption(options, "name", "Name in the ready line", "platform");
    addTextOption(options, "documents", "Folder of the documents to start with", "");
    return options;
}

int run(QCoreApplication &app, const cxxopts::ParseResult &parsed)
{
    HttpServerOptions listen;
    listen.address = textOption(parsed, "address");
    listen.port = static_cast<std::uint16_t>(integerOption(parsed, "port"));
    PlatformServer platform(listen);
    const std::string folder = textOption(parsed, "documents");
    if (!folder.empty()) {
        platform.load(folder);
    }
    platform.listen();
    announceReady(textOption(parsed, "name"), platform.port());
    return app.exec();
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, commandLine(), run);
}
