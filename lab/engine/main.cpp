// lab-engine: one or several stand-in model engines in one process, each on a port of its own.
//
//     lab-engine --ports 9001,9002 --name plate --step-ms 3.3
//     ready plate-1 9001
//     ready plate-2 9002

#include "lab/engine/engineserver.h"
#include "lab/support/labprogram.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QThread>

#include <algorithm>
#include <cmath>
#include <future>
#include <memory>
#include <string>
#include <vector>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

constexpr double microsPerMilli = 1000;

/** What the command line asks for. */
struct ProgramOptions
{
    std::vector<EngineServerOptions> engines;
    std::size_t threads = 1;
};

cxxopts::Options commandLine()
{
    cxxopts::Options options("lab-engine", "Stand-in model engines");
    addTextOption(options, "address", "IP number to listen on", "127.0.0.1");
    options.add_options()("port,ports",
                          "One port for each engine; 0 picks a free one",
                          cxxopts::value<std::vector<int>>()->default_value("0"));
    addTextOption(options, "name", "Name; of several engines NAME-1, NAME-2, ...", "engine");
    addIntegerOption(options, "incarnation", "Which life of the engine this is", 1);
    options.add_options()("step-ms", "Time of a step", cxxopts::value<double>()->default_value("3.3"));
    addIntegerOption(options, "step-us-per-run", "What each run adds to a step", 5);
    addIntegerOption(options, "max-batch", "Runs in one step", 64);
    addIntegerOption(options, "prefill-per-step", "Prompt tokens prefilled in a step", 512);
    addIntegerOption(options, "cache-blocks", "Prefix cache, in blocks of 16 tokens", 4096);
    addIntegerOption(options, "load-lag-ms", "Age of the reported load", 200);
    addIntegerOption(options, "cache-lag-ms", "Age of published cache events", 200);
    addIntegerOption(options, "cache-gap", "Each n-th cache event is lost; 0 for none", 0);
    addIntegerOption(options, "grace-ms", "How long a run outlives its connection", 5000);
    addIntegerOption(options, "keep-ms", "How long an ended stream can be read", 30000);
    options.add_options()("instant", "First token at once, no prefill");
    addIntegerOption(options, "threads", "Threads that share the engines", 1);
    return options;
}

EngineSettings settingsOf(const cxxopts::ParseResult &parsed)
{
    EngineSettings settings;
    settings.stepMicros = std::llround(parsed["step-ms"].as<double>() * microsPerMilli);
    settings.stepMicrosPerRun = integerOption(parsed, "step-us-per-run");
    settings.maxBatch = static_cast<std::size_t>(integerOption(parsed, "max-batch"));
    settings.prefillTokensPerStep = static_cast<std::size_t>(integerOption(parsed, "prefill-per-step"));
    settings.cacheBlocks = static_cast<std::size_t>(integerOption(parsed, "cache-blocks"));
    settings.instant = parsed.count("instant") > 0;
    settings.loadLag = Millis{integerOption(parsed, "load-lag-ms")};
    settings.cacheEventLag = Millis{integerOption(parsed, "cache-lag-ms")};
    settings.cacheEventGap = static_cast<std::uint64_t>(integerOption(parsed, "cache-gap"));
    settings.grace = Millis{integerOption(parsed, "grace-ms")};
    settings.keep = Millis{integerOption(parsed, "keep-ms")};
    return settings;
}

ProgramOptions optionsOf(const cxxopts::ParseResult &parsed)
{
    ProgramOptions options;
    const auto ports = parsed["ports"].as<std::vector<int>>();
    for (std::size_t i = 0; i < ports.size(); ++i) {
        EngineServerOptions engine;
        const std::string name = textOption(parsed, "name");
        engine.name = ports.size() == 1 ? name : name + "-" + std::to_string(i + 1);
        engine.incarnation = static_cast<std::uint64_t>(integerOption(parsed, "incarnation"));
        engine.settings = settingsOf(parsed);
        engine.listen.address = textOption(parsed, "address");
        engine.listen.port = static_cast<std::uint16_t>(ports[i]);
        options.engines.push_back(engine);
    }
    options.threads
        = std::clamp<std::size_t>(static_cast<std::size_t>(integerOption(parsed, "threads")), 1, ports.size());
    return options;
}

/** Every n-th engine on a thread and an event loop of its own. */
class EngineThread : public QThread
{
public:
    EngineThread(std::vector<EngineServerOptions> engines) : options(std::move(engines))
    {
    }

    ~EngineThread() override
    {
        this->quit();
        this->wait();
    }

    /** Starts the thread and waits until its engines listen. @throws Error(Step::Listen). */
    std::vector<std::uint16_t> listen()
    {
        auto ports = this->listening.get_future();
        this->start();
        return ports.get();
    }

protected:
    void run() override
    {
        std::vector<std::unique_ptr<EngineServer>> engines;
        try {
            std::vector<std::uint16_t> ports;
            for (const EngineServerOptions &engine : this->options) {
                engines.push_back(std::make_unique<EngineServer>(engine));
                engines.back()->listen();
                ports.push_back(engines.back()->port());
            }
            this->listening.set_value(ports);
        } catch (...) {
            this->listening.set_exception(std::current_exception());
            return;
        }
        this->exec();
    }

private:
    std::vector<EngineServerOptions> options;
    std::promise<std::vector<std::uint16_t>> listening;
};

int run(QCoreApplication &app, const cxxopts::ParseResult &parsed)
{
    const ProgramOptions options = optionsOf(parsed);
    std::vector<std::vector<EngineServerOptions>> shares(options.threads);
    for (std::size_t i = 0; i < options.engines.size(); ++i) {
        shares[i % shares.size()].push_back(options.engines[i]);
    }
    std::vector<std::unique_ptr<EngineThread>> threads;
    for (const auto &share : shares) {
        threads.push_back(std::make_unique<EngineThread>(share));
        const auto ports = threads.back()->listen();
        for (std::size_t i = 0; i < ports.size(); ++i) {
            announceReady(share[i].name, ports[i]);
        }
    }
    return app.exec();
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, commandLine(), run);
}
