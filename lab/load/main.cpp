// lab-load: sends load to routers, or to an engine directly, and judges the answers.
//
//     lab-load --url http://127.0.0.1:7000,http://127.0.0.1:7001 --organisation maker:KEY:3,desk:KEY2
//              --rate 200 --workers 4 --seconds 10 --keyed 0.3 --duplicates 0.2 --json
//
// Exits with 0 where answers came and none was wrong, 2 where a wrong answer came, 3 where none came at all.

#include "lab/load/loadreport.h"
#include "lab/load/loadworker.h"
#include "sequoiausher/base/error.h"

#include <QCoreApplication>
#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

constexpr int exitWrong = 2;
constexpr int exitNothing = 3;
constexpr double millisPerSecond = 1000;

using Texts = std::vector<std::string>;
using Shares = std::vector<double>;

cxxopts::Options commandLine()
{
    cxxopts::Options options("lab-load", "Sends load and judges the answers");
    options.add_options()("h,help", "This text")("json", "Print JSON instead of a table");
    options.add_options()("url", "Base URLs of routers or engines", cxxopts::value<Texts>());
    options.add_options()(
        "organisation", "NAME:KEY[:WEIGHT]", cxxopts::value<Texts>()->default_value("organisation:key"));
    options.add_options()("classes",
                          "Weights of urgent, interactive and background requests",
                          cxxopts::value<Shares>()->default_value("0,1,0"));
    options.add_options()(
        "rate", "Requests a second in all, open loop; 0: closed", cxxopts::value<double>()->default_value("0"));
    options.add_options()(
        "concurrency", "Calls open at a time in all, closed loop", cxxopts::value<std::size_t>()->default_value("10"));
    options.add_options()("workers", "Threads", cxxopts::value<std::size_t>()->default_value("1"));
    options.add_options()("seconds", "How long to send", cxxopts::value<double>()->default_value("10"));
    options.add_options()(
        "drain-seconds", "How long to wait for the last answers", cxxopts::value<double>()->default_value("30"));
    options.add_options()(
        "deadline-ms", "Deadline of each request", cxxopts::value<std::int64_t>()->default_value("60000"));
    options.add_options()("model", "Model", cxxopts::value<std::string>()->default_value("model"));
    options.add_options()("chats",
                          "Chats under way for each organisation and worker",
                          cxxopts::value<std::size_t>()->default_value("100"));
    options.add_options()("turns", "Turns of a chat", cxxopts::value<std::size_t>()->default_value("8"));
    options.add_options()(
        "prompt-words", "Words of a chat's first prompt", cxxopts::value<std::size_t>()->default_value("200"));
    options.add_options()("tokens", "Tokens of an answer", cxxopts::value<std::size_t>()->default_value("32"));
    options.add_options()("stream", "Share of streamed chats", cxxopts::value<double>()->default_value("1"));
    options.add_options()("keyed", "Share with an idempotency key", cxxopts::value<double>()->default_value("0"));
    options.add_options()("duplicates",
                          "Share of the keyed ones sent twice, the second time to another URL",
                          cxxopts::value<double>()->default_value("0"));
    options.add_options()(
        "duplicate-delay-ms", "How much later the second time", cxxopts::value<std::int64_t>()->default_value("0"));
    options.add_options()("service", "Share of plain service calls", cxxopts::value<double>()->default_value("0"));
    options.add_options()(
        "service-path", "Path of plain service calls", cxxopts::value<std::string>()->default_value("/service/call"));
    options.add_options()("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    return options;
}

LoadPlanOptions planOf(const cxxopts::ParseResult &parsed)
{
    LoadPlanOptions plan;
    plan.urls = parsed["url"].as<Texts>();
    for (const std::string &text : parsed["organisation"].as<Texts>()) {
        plan.organisations.push_back(parseOrganisation(text));
    }
    const Shares classes = parsed["classes"].as<Shares>();
    if (classes.size() != plan.classWeights.size()) {
        throw Error(Step::Settings, "--classes", "expected three weights");
    }
    std::copy(classes.begin(), classes.end(), plan.classWeights.begin());
    plan.model = parsed["model"].as<std::string>();
    plan.servicePath = parsed["service-path"].as<std::string>();
    plan.seed = parsed["seed"].as<std::uint64_t>();
    plan.chats = parsed["chats"].as<std::size_t>();
    plan.turns = parsed["turns"].as<std::size_t>();
    plan.promptWords = parsed["prompt-words"].as<std::size_t>();
    plan.tokens = parsed["tokens"].as<std::size_t>();
    plan.streamShare = parsed["stream"].as<double>();
    plan.keyedShare = parsed["keyed"].as<double>();
    plan.duplicateShare = parsed["duplicates"].as<double>();
    plan.serviceShare = parsed["service"].as<double>();
    return plan;
}

Millis secondsOf(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return Millis{static_cast<std::int64_t>(parsed[name].as<double>() * millisPerSecond)};
}

std::vector<LoadWorkerOptions> workersOf(const cxxopts::ParseResult &parsed)
{
    const std::size_t count = std::max<std::size_t>(1, parsed["workers"].as<std::size_t>());
    const std::size_t concurrency = parsed["concurrency"].as<std::size_t>();
    LoadWorkerOptions one;
    one.plan = planOf(parsed);
    one.rate = parsed["rate"].as<double>() / static_cast<double>(count);
    one.duration = secondsOf(parsed, "seconds");
    one.drain = secondsOf(parsed, "drain-seconds");
    one.deadline = Millis{parsed["deadline-ms"].as<std::int64_t>()};
    one.duplicateDelay = Millis{parsed["duplicate-delay-ms"].as<std::int64_t>()};
    std::vector<LoadWorkerOptions> workers(count, one);
    for (std::size_t i = 0; i < count; ++i) {
        workers[i].concurrency = concurrency / count + (i < concurrency % count ? 1 : 0);
    }
    return workers;
}

LoadReport runWorkers(const std::vector<LoadWorkerOptions> &options)
{
    std::vector<std::unique_ptr<LoadWorker>> workers;
    for (const LoadWorkerOptions &one : options) {
        workers.push_back(std::make_unique<LoadWorker>(one, workers.size()));
        workers.back()->start();
    }
    LoadReport report;
    for (const auto &worker : workers) {
        worker->wait();
        report.merge(worker->report());
    }
    return report;
}

int run(int argc, char **argv)
{
    cxxopts::Options options = commandLine();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("url") == 0) {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : 1;
    }
    const LoadReport report = runWorkers(workersOf(parsed));
    std::cout << (parsed.count("json") > 0 ? toJson(report) : toTable(report));
    if (report.wrongAnswers() > 0) {
        return exitWrong;
    }
    return report.total().whole.count() > 0 ? 0 : exitNothing;
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "lab-load: " << error.what() << "\n";
        return 1;
    }
}
