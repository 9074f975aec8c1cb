#pragma once

// The faults and changes of a soak whose targets stay whole, drawn from its seed: what happens to gateways and the
// links between them, planned changes of targets, and changes of the load, overlapping and in series.
//
//     for (const FleetFault &fault : planFleetFaults(seed, Millis{20000})) { ... }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Sequoiausher {

namespace Lab {

/** What can happen. */
enum class FleetFaultKind {
    KillGateway,
    KillHalf,
    KillAll,
    FreezeGateway,
    FreezeHalf,
    StopGateway,
    RollGateways,
    /** What other gateways send to one: reset, swallowed, swallowed on open connections, swallowed one way, late. */
    CutPeers,
    SilencePeers,
    SilenceOpenPeers,
    OneWayPeers,
    DelayPeers,
    /** What callers send to one gateway comes late. */
    DelayCallers,
    /** Some targets leave as planned and are replaced. */
    LeaveTargets,
    /** Further targets start. */
    JoinTargets,
    /** Further targets start, and as many others leave a moment later. */
    ReleaseTargets,
    /** Many requests are about one document. */
    HeavyUse,
    /** More requests come. */
    Burst,
    /** Callers send again at once what was refused. */
    Impatience,
    /** Targets run requests whose answers are lost without a sign. */
    LoseAnswers,
};

/** One of them. */
struct FleetFault
{
    FleetFaultKind kind = FleetFaultKind::KillGateway;
    /** From the start of the faults. */
    Millis at;
    Millis lasts;
    /** The first gateway or target that it strikes. */
    std::size_t subject = 0;
    /** Further choices, such as how many, are made by it. */
    std::uint64_t detail = 0;
};

/** The same plan for the same seed, in order of time. */
std::vector<FleetFault> planFleetFaults(std::uint64_t seed, Millis length);

/** One line for a log. */
std::string toText(const FleetFault &fault);

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::FleetFaultKind> = std::to_array<NameEntry<Lab::FleetFaultKind>>({
    {Lab::FleetFaultKind::KillGateway, "kill-gateway"},   {Lab::FleetFaultKind::KillHalf, "kill-half"},
    {Lab::FleetFaultKind::KillAll, "kill-all"},           {Lab::FleetFaultKind::FreezeGateway, "freeze-gateway"},
    {Lab::FleetFaultKind::FreezeHalf, "freeze-half"},     {Lab::FleetFaultKind::StopGateway, "stop-gateway"},
    {Lab::FleetFaultKind::RollGateways, "roll-gateways"}, {Lab::FleetFaultKind::CutPeers, "cut-peers"},
    {Lab::FleetFaultKind::SilencePeers, "silence-peers"}, {Lab::FleetFaultKind::SilenceOpenPeers, "silence-open-peers"},
    {Lab::FleetFaultKind::OneWayPeers, "one-way-peers"},  {Lab::FleetFaultKind::DelayPeers, "delay-peers"},
    {Lab::FleetFaultKind::DelayCallers, "delay-callers"}, {Lab::FleetFaultKind::LeaveTargets, "leave-targets"},
    {Lab::FleetFaultKind::JoinTargets, "join-targets"},   {Lab::FleetFaultKind::ReleaseTargets, "release-targets"},
    {Lab::FleetFaultKind::HeavyUse, "heavy-use"},         {Lab::FleetFaultKind::Burst, "burst"},
    {Lab::FleetFaultKind::Impatience, "impatience"},      {Lab::FleetFaultKind::LoseAnswers, "lose-answers"},
});

} // namespace Sequoiausher
