#pragma once

// The events of a schedule in words.
//
//     textsOf(events, setup, histories); // {"e1 begins a claim", "w1 receives from e1: claim, round 1", ...}

#include "lab/explore/explorer.h"

namespace Sequoiausher::Internal {

/** One line for each event, with what the process then sends and concludes. */
std::vector<std::string> textsOf(const std::vector<Event> &events, const FleetSetup &setup, LocalHistories &histories);

} // namespace Sequoiausher::Internal
