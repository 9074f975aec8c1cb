#pragma once

// Whether the events that a caller got are those of its call: in order, each once, from one run unless the stream may
// go on elsewhere, and up to the last one where the answer claims to be whole.
//
//     const std::optional<std::string> fault = streamFault(call, body, true);

#include "lab/soak/soakrecords.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Sequoiausher::Lab {

/** How many events the stream has that answers a call; the same at every target. */
std::uint32_t eventsOf(const std::string &callId);
/** One event as a target sends it, blank line included. */
std::string eventOf(const std::string &callId, std::uint32_t number, const std::string &target);

/** How many whole events the body has. */
std::uint32_t wholeEventsIn(const std::string &body);
/** The targets that made the whole events of the body. */
std::set<std::string> targetsIn(const std::string &body);

/** What is wrong with the body; std::nullopt where nothing is. @param isWhole it came with its end. */
std::optional<std::string> streamFault(const SoakCall &call, const std::string &body, bool isWhole);

} // namespace Sequoiausher::Lab
