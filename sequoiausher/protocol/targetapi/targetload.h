#pragma once

// Reads what a target answers to GET /load.
//
//     const std::optional<ReportedLoad> load = parseTargetLoad(now, R"({"in_flight": 3, "queued": 1, "age_ms": 40})");

#include "sequoiausher/state/targets/targettable.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace Sequoiausher {

/** An answer longer than this is no report; whoever reads it from the wire stops there. */
inline constexpr std::size_t maximumLoadBytes = 64 * 1024;

/**
 * The load, measured age_ms before now. Fields left out count as 0. std::nullopt where body is no JSON object or too
 * long, or a number is negative, no whole number, or beyond what a target can have in work.
 */
std::optional<ReportedLoad> parseTargetLoad(Millis now, std::string_view body);

} // namespace Sequoiausher
