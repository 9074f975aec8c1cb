#include "sequoiausher/cli/checkcommand.h"

#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/cli/documentfolder.h"
#include "sequoiausher/protocol/settings/fleetdocuments.h"
#include "sequoiausher/protocol/settings/routersettings.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <ostream>

namespace Sequoiausher {

namespace {

/** What was checked, and what was found. */
struct CheckReport
{
    std::size_t files = 0;
    Problems problems;

    std::size_t count(Severity severity) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->problems.begin(), this->problems.end(), [severity](const Problem &problem) {
                return problem.severity == severity;
            }));
    }
};

void checkSettings(const std::string &file, CheckReport &report)
{
    parseRouterSettings(readFile(file), file, report.problems);
    ++report.files;
}

void checkDocuments(const std::string &folder, CheckReport &report)
{
    const DocumentSet documents = readDocumentFolder(folder);
    Problems found;
    parseFleetDocuments(documents, Severity::Error, found);
    for (Problem &problem : found) {
        problem.file = documentPath(folder, problem.file);
        addProblem(report.problems, problem);
    }
    report.files += documents.size();
}

std::string plural(std::size_t count, const std::string &word)
{
    return std::to_string(count) + " " + word + (count == 1 ? "" : "s");
}

void printText(const CheckReport &report, std::ostream &out)
{
    for (const Problem &problem : report.problems) {
        out << toText(problem) << "\n";
    }
    out << "check: " << plural(report.files, "file") << ", " << plural(report.count(Severity::Error), "error") << ", "
        << plural(report.count(Severity::Warning), "warning") << "\n";
}

QJsonObject toJson(const Problem &problem)
{
    return {
        {"severity", QString::fromUtf8(nameOf(problem.severity).data())},
        {"file", QString::fromStdString(problem.file)},
        {"line", static_cast<qint64>(problem.line)},
        {"column", static_cast<qint64>(problem.column)},
        {"section", QString::fromStdString(problem.section)},
        {"key", QString::fromStdString(problem.key)},
        {"found", QString::fromStdString(problem.found)},
        {"expected", QString::fromStdString(problem.expected)},
        {"nearest", QString::fromStdString(problem.nearest)},
    };
}

void printJson(const CheckReport &report, std::ostream &out)
{
    QJsonArray problems;
    for (const Problem &problem : report.problems) {
        problems.append(toJson(problem));
    }
    const QJsonObject object{
        {"good", !hasErrors(report.problems)},
        {"files", static_cast<qint64>(report.files)},
        {"problems", problems},
    };
    out << QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() << "\n";
}

} // namespace

CommandHelp CheckCommand::help() const
{
    return {"check",
            "Check a router's settings, the platform's documents, or both",
            {"sequoiausher check --settings etc/router.ini",
             "sequoiausher check --documents etc/documents",
             "sequoiausher check --settings etc/router.ini --documents etc/documents --json"}};
}

void CheckCommand::addOptions(cxxopts::Options &options) const
{
    auto add = options.add_options();
    add("settings", "The router's settings", cxxopts::value<std::string>(), "FILE");
    add("documents",
        "A folder with documents; rules/fleet.ini holds rules/fleet",
        cxxopts::value<std::string>(),
        "DIR");
    add("json", "Print one JSON object");
}

ExitCode CheckCommand::run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const
{
    if (options.count("settings") + options.count("documents") == 0) {
        err << "check: found neither --settings nor --documents, expected one of them\n";
        return ExitCode::BadInput;
    }
    CheckReport report;
    if (options.count("settings") > 0) {
        checkSettings(options["settings"].as<std::string>(), report);
    }
    if (options.count("documents") > 0) {
        checkDocuments(options["documents"].as<std::string>(), report);
    }
    if (options.count("json") > 0) {
        printJson(report, out);
    } else {
        printText(report, out);
    }
    return hasErrors(report.problems) ? ExitCode::BadInput : ExitCode::Ok;
}

} // namespace Sequoiausher
