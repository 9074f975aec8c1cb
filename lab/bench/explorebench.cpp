// Explores the schedules of tiny fleets that claim a key, and prints the shortest schedule that breaks a promise where
// one does.
//
//     explorebench [NAME]
//
// With the name of an exploration, runs that one; without, all. Prints lines "figure NAME VALUE UNIT"; exits 1 where an
// exploration did not show what it must.

#include "lab/explore/explorationcases.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace Sequoiausher;

namespace {

template<typename Value>
void figure(const std::string &name, Value value, const std::string &unit)
{
    std::cout << "figure " << name << ' ' << value << ' ' << unit << '\n';
}

bool isAsExpected(const ExplorationCase &one, const Exploration &found)
{
    switch (one.expectation) {
    case Expectation::Holds:
        return !found.violation && found.complete;
    case Expectation::Breaks:
        return found.violation.has_value();
    case Expectation::HoldsPartly:
        return !found.violation;
    }
    return false;
}

void printViolation(const Exploration &found)
{
    if (!found.violation) {
        return;
    }
    std::cout << "  " << nameOf(found.violation->kind) << " after " << found.violation->steps.size() << " events:\n";
    for (const std::string &step : found.violation->steps) {
        std::cout << "    " << step << '\n';
    }
}

/** @return whether it showed what it must. */
bool run(const ExplorationCase &one)
{
    const auto begin = std::chrono::steady_clock::now();
    const Exploration found = explore(one.setup, one.bounds);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    const bool isRight = isAsExpected(one, found);
    std::cout << one.name << ": " << nameOf(one.expectation) << (isRight ? "" : " EXPECTED, NOT SHOWN") << '\n';
    figure(one.name + "_complete", found.complete ? 1 : 0, "bool");
    figure(one.name + "_states", found.states, "states");
    figure(one.name + "_transitions", found.transitions, "transitions");
    figure(one.name + "_depth", found.depth, "events");
    if (found.complete) {
        figure(one.name + "_schedules", found.schedules, "schedules");
    }
    figure(one.name + "_histories", found.histories, "histories");
    figure(one.name + "_time", took.count(), "s");
    printViolation(found);
    std::cout.flush();
    return isRight;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string wanted = argc > 1 ? argv[1] : "";
    std::size_t ran = 0;
    bool isRight = true;
    for (const ExplorationCase &one : explorationCases()) {
        if (wanted.empty() || wanted == one.name) {
            isRight = run(one) && isRight;
            ++ran;
        }
    }
    if (ran == 0) {
        std::cerr << "explorebench: no exploration '" << wanted << "'\n";
    }
    return isRight && ran > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
