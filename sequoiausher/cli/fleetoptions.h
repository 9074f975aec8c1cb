#pragma once

// The options that select the routers to ask, shared by all commands that ask routers.
//
//     addFleetOptions(options);
//     const FleetStatus fleet = readFleet(client, fleetAddresses(parsed));

#include <cxxopts.hpp>

#include <string>
#include <vector>

namespace Sequoiausher {

/** Adds --router and --settings. */
void addFleetOptions(cxxopts::Options &options);

/**
 * The addresses given by --router, and that of the router whose settings are given: its [operators] address where it
 * has one. @throws Error at step Settings where there are none or one is not an address.
 */
std::vector<std::string> fleetAddresses(const cxxopts::ParseResult &options);

} // namespace Sequoiausher
