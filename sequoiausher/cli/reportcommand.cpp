#include "sequoiausher/cli/reportcommand.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/cli/fleetoptions.h"
#include "sequoiausher/cli/fleetstatus.h"
#include "sequoiausher/cli/reporthtml.h"
#include "sequoiausher/cli/reporttext.h"
#include "sequoiausher/transport/router/reportpage.h"

#include <QDateTime>

#include <fstream>
#include <ostream>

namespace Sequoiausher {

namespace {

/** What was gathered, and from how many. */
struct Gathered
{
    MetricsSnapshot merged;
    std::size_t routers = 0;
    std::vector<std::string> missing;
};

Gathered gather(OperatorClient &client, const FleetStatus &fleet)
{
    Gathered gathered;
    std::vector<std::string> addresses;
    for (const RouterStatus &router : fleet.routers) {
        addresses.push_back(router.address);
    }
    for (const UnreachableRouter &router : fleet.unreachable) {
        gathered.missing.push_back(router.name + " at " + router.address + ": " + router.reason);
    }
    for (const PageAnswer &answer : client.ask(addresses, {"GET", "/report", ""})) {
        if (answer.isGood()) {
            gathered.merged.merge(parseReport(answer.body, routerAt(answer.address)));
            ++gathered.routers;
        } else {
            gathered.missing.push_back(answer.address + ": " + answer.reason());
        }
    }
    return gathered;
}

void writeFile(const std::string &file, const std::string &text)
{
    std::ofstream stream(file);
    stream << text;
    stream.close();
    if (!stream) {
        throw Error(Step::Report, file, "the file cannot be written");
    }
}

std::string sourceText(const Gathered &gathered)
{
    std::string text = std::to_string(gathered.routers) + " routers, "
        + QDateTime::currentDateTimeUtc().toString(Qt::ISODate).toStdString();
    if (!gathered.missing.empty()) {
        text += ", without " + std::to_string(gathered.missing.size()) + " that could not be reached";
    }
    return text + ", figures since each router's start";
}

} // namespace

CommandHelp ReportCommand::help() const
{
    return {"report",
            "Compare the arms of each experiment by the figures of all routers",
            {"sequoiausher report --router 127.0.0.1:7401",
             "sequoiausher report --router 127.0.0.1:7401 --csv report.csv --html report.html"}};
}

void ReportCommand::addOptions(cxxopts::Options &options) const
{
    addFleetOptions(options);
    auto add = options.add_options();
    add("csv", "Write every figure as CSV", cxxopts::value<std::string>(), "FILE");
    add("html", "Write one page with tables and plots", cxxopts::value<std::string>(), "FILE");
    add("json", "Print the merged figures as one JSON object, as a router gives its own at /report");
}

ExitCode ReportCommand::run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const
{
    const std::vector<std::string> addresses = fleetAddresses(options);
    OperatorClient client;
    const Gathered gathered = gather(client, readFleet(client, addresses));
    const std::vector<ExperimentReport> experiments = compareArms(gathered.merged);
    if (options.count("csv") > 0) {
        writeFile(options["csv"].as<std::string>(), reportCsv(experiments, gathered.merged));
    }
    if (options.count("html") > 0) {
        writeFile(options["html"].as<std::string>(), reportHtml(experiments, gathered.merged, sourceText(gathered)));
    }
    if (options.count("json") > 0) {
        out << reportJson(gathered.merged) << "\n";
    } else {
        out << reportText(experiments, gathered.merged) << "\nreport: " << sourceText(gathered) << "\n";
    }
    for (const std::string &missing : gathered.missing) {
        err << "report: without the figures of " << missing << "\n";
    }
    return gathered.missing.empty() ? ExitCode::Ok : ExitCode::Unreachable;
}

} // namespace Sequoiausher
