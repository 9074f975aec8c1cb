#include "sequoiausher/cli/watchcommand.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/cli/fleetoptions.h"
#include "sequoiausher/cli/statustext.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ostream>
#include <thread>

#include <unistd.h>

namespace Sequoiausher {

namespace {

constexpr const char *clearScreen = "\x1b[H\x1b[2J";
constexpr int sliceMillis = 50;
constexpr std::uint32_t shortestInterval = 100;

volatile std::sig_atomic_t stopped = 0;

void noteStop(int)
{
    stopped = 1;
}

void catchStop()
{
    stopped = 0;
    struct sigaction action = {};
    action.sa_handler = noteStop;
    sigaction(SIGINT, &action, nullptr);
    sigaction(SIGTERM, &action, nullptr);
}

void waitFor(std::uint32_t millis)
{
    for (std::uint32_t waited = 0; waited < millis && stopped == 0; waited += sliceMillis) {
        std::this_thread::sleep_for(std::chrono::milliseconds(sliceMillis));
    }
}

/** Once found, every router can lead to the others: the view goes on when the one that was given dies. */
void remember(const FleetStatus &fleet, std::vector<std::string> &addresses)
{
    for (const RouterStatus &router : fleet.routers) {
        if (std::find(addresses.begin(), addresses.end(), router.address) == addresses.end()) {
            addresses.push_back(router.address);
        }
    }
}

} // namespace

CommandHelp WatchCommand::help() const
{
    return {"watch",
            "Show the fleet again and again, until Ctrl-C",
            {"sequoiausher watch --router 127.0.0.1:7401",
             "sequoiausher watch --router 127.0.0.1:7401 --router 127.0.0.1:7402 --count 3 --interval-ms 500"}};
}

void WatchCommand::addOptions(cxxopts::Options &options) const
{
    addFleetOptions(options);
    auto add = options.add_options();
    add("count",
        "Stop after so many views; 0 is without end",
        cxxopts::value<std::uint32_t>()->default_value("0"),
        "N");
    add("interval-ms",
        "From one view to the next, at least 100",
        cxxopts::value<std::uint32_t>()->default_value("1000"),
        "MS");
}

ExitCode WatchCommand::run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream & /*err*/) const
{
    std::vector<std::string> addresses = fleetAddresses(options);
    const auto count = options["count"].as<std::uint32_t>();
    const auto interval = options["interval-ms"].as<std::uint32_t>();
    if (interval < shortestInterval) {
        throw Error(Step::Settings, "--interval-ms", "found " + std::to_string(interval) + ", expected at least 100");
    }
    const bool terminal = isatty(STDOUT_FILENO) != 0;
    catchStop();
    OperatorClient client;
    for (std::uint32_t view = 1; stopped == 0; ++view) {
        const FleetStatus fleet = readFleet(client, addresses);
        out << (terminal ? clearScreen : "") << statusText(fleet) << std::flush;
        if (view == count) {
            return exitCodeOf(fleet);
        }
        remember(fleet, addresses);
        waitFor(interval);
    }
    return ExitCode::Ok;
}

} // namespace Sequoiausher
