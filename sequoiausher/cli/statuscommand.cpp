#include "sequoiausher/cli/statuscommand.h"

#include "sequoiausher/cli/fleetoptions.h"
#include "sequoiausher/cli/statustext.h"

#include <ostream>

namespace Sequoiausher {

CommandHelp StatusCommand::help() const
{
    return {"status",
            "Show the fleet: revisions in force, routers, pools, targets, owners, and what is wrong",
            {"sequoiausher status --router 127.0.0.1:7401",
             "sequoiausher status --settings etc/router.ini --json",
             "sequoiausher status --router 127.0.0.1:7401 --first-start > instances.ini"}};
}

void StatusCommand::addOptions(cxxopts::Options &options) const
{
    addFleetOptions(options);
    auto add = options.add_options();
    add("first-start", "Print the document 'instances' that lets a fleet which never ran take keyed requests at once");
    add("json", "Print one JSON object");
}

ExitCode StatusCommand::run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream & /*err*/) const
{
    const std::vector<std::string> addresses = fleetAddresses(options);
    OperatorClient client;
    const FleetStatus fleet = readFleet(client, addresses);
    if (options.count("first-start") > 0) {
        out << firstStartDocument(fleet);
        return ExitCode::Ok;
    }
    out << (options.count("json") > 0 ? statusJsonOf(fleet) : statusText(fleet));
    return exitCodeOf(fleet);
}

} // namespace Sequoiausher
