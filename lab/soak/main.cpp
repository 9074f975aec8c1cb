// lab-soak: plays random faults against real gateways and holds them to their promises.
//
//     lab-soak --seed 17 --seeds 4 --folder /tmp/soak
//     soak seed 17: passed, 812 of 903 calls served, 131 of 131 in the calm at the end, 40 crossed a close unread
//
// Each seed leaves a folder with what every gateway wrote and the run's own log, taken away where the seed passed.

#include "lab/soak/soakrun.h"
#include "lab/support/labprogram.h"

#include <QDir>

#include <algorithm>
#include <iostream>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

/** Plays one seed; whether every promise was kept. */
bool play(const SoakOptions &options)
{
    SoakRun run(options);
    const SoakResult result = run.play();
    std::cout << "soak seed " << options.seed << ": " << (result.violations.empty() ? "passed" : "FAILED") << ", "
              << result.served << " of " << result.sent << " calls served, " << result.lastServed << " of "
              << result.lastSent << " in the calm at the end, " << result.unread
              << " crossed a close unread, longest own pause " << toText(result.longestPause);
    if (options.versions > 0) {
        std::cout << ", " << result.streams.takenUpGoneOn << " of " << result.streams.takenUp
                  << " streams taken up went on, " << result.streams.freshBegun << " of " << result.streams.fresh
                  << " new ones began";
    }
    if (options.stops > 0) {
        std::cout << ", " << result.stops.refused << " refused by gateways that stop, " << result.stops.servedAgain
                  << " of " << result.stops.cameAgain << " next attempts of these served, " << result.stops.streamsCut
                  << " streams cut by stops";
    }
    for (const LimitWindow &window : result.worstWindows) {
        std::cout << ", " << window.above.size() << " of " << window.arrivals << " requests to " << window.service
                  << " above the limit in the worst five seconds";
    }
    std::cout << std::endl;
    for (const SoakViolation &violation : result.violations) {
        std::cout << "  " << violation.promise << ": " << violation.detail << std::endl;
    }
    return result.violations.empty();
}

int runSoak(QCoreApplication & /*application*/, const cxxopts::ParseResult &parsed)
{
    const std::string folder = textOption(parsed, "folder");
    const auto first = static_cast<std::uint64_t>(integerOption(parsed, "seed"));
    bool isGood = true;
    for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(integerOption(parsed, "seeds")); ++i) {
        SoakOptions options;
        options.seed = first + i;
        options.gateways = static_cast<std::size_t>(integerOption(parsed, "gateways"));
        options.callersEach = static_cast<std::size_t>(integerOption(parsed, "callers"));
        options.lastingEach = static_cast<std::size_t>(integerOption(parsed, "lasting"));
        options.returns = static_cast<std::size_t>(integerOption(parsed, "returns"));
        options.evacuations = static_cast<std::size_t>(integerOption(parsed, "evacuations"));
        options.cuts = static_cast<std::size_t>(integerOption(parsed, "cuts"));
        options.stops = static_cast<std::size_t>(integerOption(parsed, "stops"));
        options.outages = static_cast<std::size_t>(integerOption(parsed, "outages"));
        options.fleetKills = static_cast<std::size_t>(integerOption(parsed, "fleet-kills"));
        options.hasColdTargets = integerOption(parsed, "cold") > 0;
        options.crashing
            = static_cast<CrashingRequests>(std::clamp<std::int64_t>(integerOption(parsed, "crashing"), 0, 2));
        options.hasUnframedAnswers = integerOption(parsed, "unframed") > 0;
        options.versions = static_cast<std::size_t>(integerOption(parsed, "versions"));
        options.hasLargeBodies = integerOption(parsed, "large") > 0;
        options.foreign = static_cast<std::size_t>(integerOption(parsed, "foreign"));
        options.reservesPlaces = integerOption(parsed, "reserve") > 0;
        options.hasHostileClients = integerOption(parsed, "hostile") > 0;
        options.loadPerSecond = static_cast<std::size_t>(integerOption(parsed, "load"));
        options.mayLoseAllAnswers = integerOption(parsed, "losing") > 0;
        options.mayLeaveTogether = integerOption(parsed, "leaving") > 0;
        options.rules = textOption(parsed, "rules");
        options.program = textOption(parsed, "program");
        options.faults = Millis{integerOption(parsed, "faults-ms")};
        options.longest = Millis{integerOption(parsed, "longest-ms")};
        options.folder = folder + "/seed-" + std::to_string(options.seed);
        const bool passed = play(options);
        if (passed) {
            QDir(QString::fromStdString(options.folder)).removeRecursively();
        }
        isGood = isGood && passed;
    }
    return isGood ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("lab-soak", "Random faults against real gateways, whose promises are checked meanwhile");
    addIntegerOption(options, "seed", "The first seed", 1);
    addIntegerOption(options, "seeds", "How many, one after the other", 1);
    addIntegerOption(options, "gateways", "Gateways of the fleet", 5);
    addIntegerOption(options, "callers", "Callers for each gateway", 3);
    addIntegerOption(options, "lasting", "Callers for each gateway that keep their connections", 2);
    addIntegerOption(options, "faults-ms", "For how long faults begin", 12000);
    addIntegerOption(options, "longest-ms", "How long one fault lasts at most", 4000);
    addIntegerOption(options, "returns", "How often the store comes back from a copy meanwhile", 0);
    addIntegerOption(options, "evacuations", "How often a data centre is evacuated meanwhile", 0);
    addIntegerOption(options, "outages", "How often a service rejects requests while gateways are killed in series", 0);
    addIntegerOption(options, "cuts", "How often gateways lose all paths to targets meanwhile", 0);
    addIntegerOption(options, "stops", "Series of planned stops meanwhile, beside streams that outlast the grace", 0);
    addIntegerOption(options, "fleet-kills", "How often all gateways are killed at once meanwhile", 0);
    addIntegerOption(options, "cold", "1: targets are cold after a start and after an evacuation", 0);
    addIntegerOption(
        options, "crashing", "Requests that end their targets. 1: one again and again; 2: a shared part", 0);
    addIntegerOption(options, "unframed", "1: half of all answers have no length and end with their connection", 0);
    addIntegerOption(options, "versions", "Software versions of the targets; callers take up broken streams", 0);
    addIntegerOption(options, "large", "1: some jobs have bodies of megabytes, and gateways little memory", 0);
    addIntegerOption(
        options, "foreign", "How often a target sends unasked answers, and an entry names no service meanwhile", 0);
    addIntegerOption(options, "reserve", "1: places are reserved at admission owners, and slow requests hedged", 0);
    addIntegerOption(options, "hostile", "1: clients that do not behave keep connections to each gateway", 0);
    addIntegerOption(
        options,
        "load",
        "Requests a second of an open load, beside faults of gateways and links alone; 0 for other callers",
        0);
    addIntegerOption(options, "losing", "1: beside an open load, up to all engines lose up to all of their answers", 0);
    addIntegerOption(
        options, "leaving", "1: beside an open load, up to half of the engines that serve leave at each fault", 0);
    addTextOption(options, "program", "The gateway to play; empty for the one built with it", "");
    addTextOption(options, "rules", "The rules of the gateways; empty for those that are shipped", "");
    addTextOption(options, "folder", "Where logs go", "/tmp/sequoiausher-soak");
    return runProgram(argc, argv, std::move(options), runSoak);
}
