#include "sequoiausher/cli/fleetoptions.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/cli/documentfolder.h"
#include "sequoiausher/protocol/settings/routersettings.h"

namespace Sequoiausher {

void addFleetOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("router",
        "A router: its [operators] address, or else that for callers; one is enough, more help where it is down",
        cxxopts::value<std::vector<std::string>>(),
        "ADDRESS");
    add("settings", "A router's settings, to ask that router", cxxopts::value<std::string>(), "FILE");
}

std::vector<std::string> fleetAddresses(const cxxopts::ParseResult &options)
{
    std::vector<std::string> addresses;
    if (options.count("router") > 0) {
        addresses = options["router"].as<std::vector<std::string>>();
    }
    for (const std::string &address : addresses) {
        if (!isAddressAndPort(address)) {
            throw Error(Step::Settings,
                        "--router",
                        "found " + inQuotes(address) + ", expected an IP number and a port, as in 10.1.2.3:7401");
        }
    }
    if (options.count("settings") > 0) {
        const auto file = options["settings"].as<std::string>();
        const RouterSettings settings = parseRouterSettings(readFile(file), file);
        addresses.push_back(settings.operators.address.empty() ? settings.address : settings.operators.address);
    }
    if (addresses.empty()) {
        throw Error(Step::Settings, "--router", "found neither --router nor --settings");
    }
    return addresses;
}

} // namespace Sequoiausher
