// Compares the ways in which gateways may treat requests during planned stops (lab/model/stopmodel), by simulated days.
//
//     stopbench [SEEDS] [SCENARIO-PREFIX] [WAY-PREFIX]
//
// Prints a table of each scenario, in hundredths of what was asked unless said otherwise, and lines
// "figure NAME VALUE UNIT".

#include "lab/model/stopscenarios.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr double percent = 100;

double of(std::size_t count, const StopResult &result)
{
    return percent * static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(result.asked, 1));
}

/** One way in one scenario, over all seeds. */
struct Row
{
    StopResult sum;
    double worstUnserved = 0;
    std::uint64_t worstSeed = 1;

    void add(const StopResult &result, std::uint64_t seed)
    {
        this->recordWorst(of(result.unserved(), result), seed);
        this->add(result);
    }

    void add(const Row &other)
    {
        this->recordWorst(other.worstUnserved, other.worstSeed);
        this->add(other.sum);
    }

    void recordWorst(double unserved, std::uint64_t seed)
    {
        if (unserved > this->worstUnserved) {
            this->worstUnserved = unserved;
            this->worstSeed = seed;
        }
    }

    void add(const StopResult &result)
    {
        this->sum.asked += result.asked;
        this->sum.served += result.served;
        this->sum.servedInTime += result.servedInTime;
        this->sum.refused += result.refused;
        this->sum.endedRefused += result.endedRefused;
        this->sum.cut += result.cut;
        this->sum.endedCut += result.endedCut;
        this->sum.endedUnconnected += result.endedUnconnected;
        this->sum.endedLate += result.endedLate;
        this->sum.lost += result.lost;
        this->sum.shortUnserved += result.shortUnserved;
        this->sum.attempts += result.attempts;
    }

    void print(const std::string &way) const
    {
        const StopResult &all = this->sum;
        std::printf("  %-20s %7zu %7.2f %6.2f(%llu) %7.2f %6.2f %6.2f %6.2f %6.2f %6.2f %6.2f %6zu %6zu %8.3f\n",
                    way.c_str(),
                    all.asked,
                    of(all.unserved(), all),
                    this->worstUnserved,
                    static_cast<unsigned long long>(this->worstSeed),
                    of(all.servedInTime, all),
                    of(all.refused, all),
                    of(all.endedRefused, all),
                    of(all.cut, all),
                    of(all.endedCut, all),
                    of(all.endedUnconnected, all),
                    of(all.endedLate, all),
                    all.lost,
                    all.shortUnserved,
                    of(all.attempts, all) / percent);
    }

    void printFigures(const std::string &name) const
    {
        std::printf("figure %s_unserved %.3f percent\n", name.c_str(), of(this->sum.unserved(), this->sum));
        std::printf("figure %s_unserved_worst %.3f percent\n", name.c_str(), this->worstUnserved);
        std::printf("figure %s_in_time %.3f percent\n", name.c_str(), of(this->sum.servedInTime, this->sum));
        std::printf("figure %s_cut %.3f percent\n", name.c_str(), of(this->sum.cut, this->sum));
        std::printf("figure %s_lost %zu requests\n", name.c_str(), this->sum.lost);
    }
};

void printHead(const std::string &title)
{
    std::printf("%s\n  %-20s %7s %7s %9s %7s %6s %6s %6s %6s %6s %6s %6s %6s %8s\n",
                title.c_str(),
                "way",
                "asked",
                "unserv",
                "worst",
                "in-time",
                "refus",
                "e-ref",
                "cut",
                "e-cut",
                "e-conn",
                "e-late",
                "LOST",
                "short",
                "attempts");
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
    const std::string prefix = argc > 2 ? argv[2] : "";
    std::vector<NamedStopPolicy> ways = otherWays();
    ways.insert(ways.begin(), shippedWay());
    const std::string way = argc > 3 ? argv[3] : "";
    std::erase_if(ways, [&way](const NamedStopPolicy &each) { return !each.name.starts_with(way); });
    std::vector<Row> sums(ways.size());
    for (const StopScenario &scenario : stopScenarios()) {
        if (!scenario.name.starts_with(prefix)) {
            continue;
        }
        printHead(scenario.name);
        for (std::size_t i = 0; i < ways.size(); ++i) {
            Row row;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                row.add(playStops(scenario.withSeed(seed), ways[i].policy), seed);
            }
            sums[i].add(row);
            row.print(ways[i].name);
            row.printFigures("stop_" + scenario.name + "_" + ways[i].name);
        }
    }
    printHead("all scenarios");
    for (std::size_t i = 0; i < ways.size(); ++i) {
        sums[i].print(ways[i].name);
        sums[i].printFigures("stop_all_scenarios_" + ways[i].name);
    }
    return EXIT_SUCCESS;
}
