#pragma once

// The fleet's state as tables for a terminal, and as one JSON object for scripts.
//
//     out << statusText(readFleet(client, addresses));

#include "sequoiausher/cli/exitcode.h"
#include "sequoiausher/cli/fleetstatus.h"

#include <string>

namespace Sequoiausher {

std::string statusText(const FleetStatus &fleet);

/** The routers' pages, pools, unreachable routers and warnings. */
std::string statusJsonOf(const FleetStatus &fleet);

/** Returns Unreachable if a router was not reached, and Failed if there is another warning. */
ExitCode exitCodeOf(const FleetStatus &fleet);

} // namespace Sequoiausher
