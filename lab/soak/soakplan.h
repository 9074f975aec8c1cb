#pragma once

// The faults of one soak, drawn from its seed: what happens to whom, when and for how long, overlapping and in series.
//
//     for (const SoakFault &fault : planFaults(seed, Millis{12000}, fleet)) { ... }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Sequoiausher {

namespace Lab {

/** What can happen. */
enum class SoakFaultKind {
    /** A gateway is killed and started again. */
    KillGateway,
    KillAllGateways,
    /** A gateway's process stands still. */
    FreezeGateway,
    /** A planned stop, then a start. */
    StopGateway,
    /** All gateways, one after the other. */
    RollGateways,
    /** SIGHUP. */
    ReloadGateway,
    /** What other gateways send to one: reset, swallowed, swallowed one way, swallowed on open connections, late. */
    CutPeers,
    SilencePeers,
    OneWayPeers,
    SilenceOpenPeers,
    DelayPeers,
    /** The way from one gateway to the store. */
    CutStore,
    SilenceStore,
    OneWayStore,
    SilenceOpenStore,
    /** The store itself. */
    StoreSilent,
    StoreBusy,
    StoreReset,
    StoreSlow,
    StoreLosing,
    StoreCompact,
    /** Down for so long that the targets' entries lapse, and back a moment after its return. */
    StoreLapse,
    /** The connections of one gateway's callers. */
    CutCallers,
    DelayCallers,
    /** A target dies and starts again. */
    CrashTarget,
    /** A target is gone for good, and its address goes to another service. */
    ReuseAddress,
    /** A target says that it leaves, goes on for a while, and is replaced. */
    LeaveTarget,
    /** Connections to a target go silent: the open ones, or all. */
    SilenceTarget,
    SilenceOpenTarget,
    DelayTarget,
    /** A target fails some of its requests, in one of its moods. */
    SpoilTarget,
    SpoilService,
    /** The operator. */
    AddRoute,
    DropRoute,
    MoveRoute,
    ChangeTimeout,
    RevokeKey,
    Storm,
};

/** One of them. */
struct SoakFault
{
    SoakFaultKind kind = SoakFaultKind::KillGateway;
    /** From the start of the faults. */
    Millis at;
    Millis lasts;
    /** Which gateway or target it strikes. */
    std::size_t subject = 0;
    /** Further choices, such as a mood, are made by it. */
    std::uint64_t detail = 0;
};

/** What can be struck. */
struct SoakFleet
{
    std::size_t gateways = 5;
    std::size_t targets = 10;
    /** The longest that one fault lasts. */
    Millis longest{4000};
};

/** The same plan for the same seed, in order of time. */
std::vector<SoakFault> planFaults(std::uint64_t seed, Millis length, const SoakFleet &fleet);

/** One line for a log. */
std::string toText(const SoakFault &fault);

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::SoakFaultKind> = std::to_array<NameEntry<Lab::SoakFaultKind>>({
    {Lab::SoakFaultKind::KillGateway, "kill-gateway"},
    {Lab::SoakFaultKind::KillAllGateways, "kill-all-gateways"},
    {Lab::SoakFaultKind::FreezeGateway, "freeze-gateway"},
    {Lab::SoakFaultKind::StopGateway, "stop-gateway"},
    {Lab::SoakFaultKind::RollGateways, "roll-gateways"},
    {Lab::SoakFaultKind::ReloadGateway, "reload-gateway"},
    {Lab::SoakFaultKind::CutPeers, "cut-peers"},
    {Lab::SoakFaultKind::SilencePeers, "silence-peers"},
    {Lab::SoakFaultKind::OneWayPeers, "one-way-peers"},
    {Lab::SoakFaultKind::SilenceOpenPeers, "silence-open-peers"},
    {Lab::SoakFaultKind::DelayPeers, "delay-peers"},
    {Lab::SoakFaultKind::CutStore, "cut-store"},
    {Lab::SoakFaultKind::SilenceStore, "silence-store"},
    {Lab::SoakFaultKind::OneWayStore, "one-way-store"},
    {Lab::SoakFaultKind::SilenceOpenStore, "silence-open-store"},
    {Lab::SoakFaultKind::StoreSilent, "store-silent"},
    {Lab::SoakFaultKind::StoreBusy, "store-busy"},
    {Lab::SoakFaultKind::StoreReset, "store-reset"},
    {Lab::SoakFaultKind::StoreSlow, "store-slow"},
    {Lab::SoakFaultKind::StoreLosing, "store-losing"},
    {Lab::SoakFaultKind::StoreCompact, "store-compact"},
    {Lab::SoakFaultKind::StoreLapse, "store-lapse"},
    {Lab::SoakFaultKind::CutCallers, "cut-callers"},
    {Lab::SoakFaultKind::DelayCallers, "delay-callers"},
    {Lab::SoakFaultKind::CrashTarget, "crash-target"},
    {Lab::SoakFaultKind::ReuseAddress, "reuse-address"},
    {Lab::SoakFaultKind::LeaveTarget, "leave-target"},
    {Lab::SoakFaultKind::SilenceTarget, "silence-target"},
    {Lab::SoakFaultKind::SilenceOpenTarget, "silence-open-target"},
    {Lab::SoakFaultKind::DelayTarget, "delay-target"},
    {Lab::SoakFaultKind::SpoilTarget, "spoil-target"},
    {Lab::SoakFaultKind::SpoilService, "spoil-service"},
    {Lab::SoakFaultKind::AddRoute, "add-route"},
    {Lab::SoakFaultKind::DropRoute, "drop-route"},
    {Lab::SoakFaultKind::MoveRoute, "move-route"},
    {Lab::SoakFaultKind::ChangeTimeout, "change-timeout"},
    {Lab::SoakFaultKind::RevokeKey, "revoke-key"},
    {Lab::SoakFaultKind::Storm, "storm"},
});

} // namespace Sequoiausher
