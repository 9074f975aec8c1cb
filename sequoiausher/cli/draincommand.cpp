#include "sequoiausher/cli/draincommand.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/cli/documentfolder.h"
#include "sequoiausher/cli/fleetoptions.h"
#include "sequoiausher/cli/fleetstatus.h"

#include <chrono>
#include <ostream>
#include <thread>

namespace Sequoiausher {

namespace {

constexpr int askEveryMillis = 500;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr std::int64_t millisPerSecond = 1000;

/** The token in a file, without the end of its line. */
std::string tokenOf(const cxxopts::ParseResult &options)
{
    if (options.count("token-file") == 0) {
        return "";
    }
    std::string token = readFile(options["token-file"].as<std::string>());
    token.erase(token.find_last_not_of("\r\n") + 1);
    return token;
}

void order(OperatorClient &client, const std::string &address, const std::string &token)
{
    const PageAnswer answer = client.ask({address}, {"POST", "/drain", token}).front();
    if (answer.isGood()) {
        return;
    }
    if (!answer.failure.empty()) {
        throw Error(Step::Connect, routerAt(address), answer.failure);
    }
    if (answer.status == statusUnauthorized) {
        throw Error(Step::Report, routerAt(address), "it wants the token of its [operators]: --token-file FILE");
    }
    if (answer.status == statusNotFound) {
        throw Error(Step::Report, routerAt(address), "it takes no such order here: use its [operators] address");
    }
    throw Error(Step::Report, routerAt(address), "it answered with status " + std::to_string(answer.status));
}

/** Tells what is open until the router is gone; false where that takes longer than limit. */
bool waitForEnd(OperatorClient &client, const std::string &address, Millis limit, std::ostream &out)
{
    const Millis end = Millis::monotonicNow() + limit;
    std::string last;
    while (Millis::monotonicNow() < end) {
        const PageAnswer answer = client.ask({address}, {"GET", "/status", ""}).front();
        if (!answer.failure.empty()) {
            return true;
        }
        if (answer.isGood()) {
            const RouterStatus status = parseRouterStatus(answer.body, address);
            const std::string line = status.name + " is leaving, " + std::to_string(status.requests) + " requests open";
            if (line != last) {
                out << line << std::endl;
                last = line;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(askEveryMillis));
    }
    return false;
}

} // namespace

CommandHelp DrainCommand::help() const
{
    return {"drain",
            "Order one router to a planned stop: it serves what it has, takes nothing new, and ends",
            {"sequoiausher drain --router 127.0.0.1:7401",
             "sequoiausher drain --router 127.0.0.1:7401 --wait --timeout-s 700 --token-file token"}};
}

void DrainCommand::addOptions(cxxopts::Options &options) const
{
    addFleetOptions(options);
    auto add = options.add_options();
    add("wait", "Wait until the router has stopped");
    add("timeout-s", "The longest wait", cxxopts::value<std::uint32_t>()->default_value("660"), "S");
    add("token-file", "A file with the token of the router's [operators]", cxxopts::value<std::string>(), "FILE");
}

ExitCode DrainCommand::run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const
{
    const std::vector<std::string> addresses = fleetAddresses(options);
    if (addresses.size() != 1) {
        throw Error(Step::Settings, "--router", "found several routers, expected one: drain one at a time");
    }
    const std::string &address = addresses.front();
    OperatorClient client;
    order(client, address, tokenOf(options));
    out << "drain: the " << routerAt(address) << " begins its planned stop" << std::endl;
    if (options.count("wait") == 0) {
        return ExitCode::Ok;
    }
    const auto limit = static_cast<std::int64_t>(options["timeout-s"].as<std::uint32_t>());
    if (!waitForEnd(client, address, Millis{limit * millisPerSecond}, out)) {
        err << "drain: the " << routerAt(address) << " has not stopped within " << limit << " s\n";
        return ExitCode::Failed;
    }
    out << "drain: the " << routerAt(address) << " has stopped" << std::endl;
    return ExitCode::Ok;
}

} // namespace Sequoiausher
