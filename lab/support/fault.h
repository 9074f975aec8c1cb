#pragma once

// The faults that a stand-in target shows when told to by POST /lab/fault.
//
//     const std::optional<Fault> fault = parseFault(R"({"mode": "break_midway", "value": 3})");

#include "sequoiausher/base/nametable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

namespace Lab {

/** What goes wrong; value is Fault::value. Resuming and the lab's own calls are never affected. */
enum class FaultMode {
    None,
    /** 503 with `X-Ran: no`, before running. */
    Refuse,
    /** The request is run value milliseconds late. */
    Slow,
    /** Accepts the request and never answers; runs it where value is 1. */
    Silent,
    /** Closes the connection after value tokens of an engine, or in the middle of a service's answer. */
    BreakMidway,
    /** Answers under another request's id. */
    WrongId,
    /** Two requests at a time get each other's answer; a lone one gets its own after a while. */
    Crossed,
    /** Answers 500; runs the request where value is 1. */
    Error500,
};

/** A fault as it is in force. */
struct Fault
{
    FaultMode mode = FaultMode::None;
    std::int64_t value = 0;

    bool operator==(const Fault &) const = default;
};

/** Reads {"mode": NAME, "value": N}; value may be left out. std::nullopt where it is anything else. */
std::optional<Fault> parseFault(std::string_view json);

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::FaultMode> = std::to_array<NameEntry<Lab::FaultMode>>({
    {Lab::FaultMode::None, "none"},
    {Lab::FaultMode::Refuse, "refuse"},
    {Lab::FaultMode::Slow, "slow"},
    {Lab::FaultMode::Silent, "silent"},
    {Lab::FaultMode::BreakMidway, "break_midway"},
    {Lab::FaultMode::WrongId, "wrong_id"},
    {Lab::FaultMode::Crossed, "crossed"},
    {Lab::FaultMode::Error500, "error500"},
});

} // namespace Sequoiausher
