#pragma once

// Whether a target may get a request now and, if not, the reason. All reasons to pass a target over are in this one
// place.
//
//     if (const auto reason = findIneligibility(state, criteria, now)) { counts.add(*reason); }

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/allowedregions.h"
#include "sequoiausher/coordination/gateway/brittletargetlimit.h"
#include "sequoiausher/coordination/gateway/coldtargetlimit.h"
#include "sequoiausher/coordination/gateway/targetstate.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

/** Why a target does not get a request, the strongest reason first. */
enum class Ineligibility {
    /** The store no longer lists the target. */
    Unlisted,
    /** The store or the target itself announced that it leaves. */
    Leaving,
    /** The target's data centre is under evacuation. */
    Evacuated,
    /** Another target answers at its address. */
    Misdirected,
    /** The request must not leave its allowed regions, and the target is in another one. */
    Region,
    /** The request goes on with a stream that another software version began. */
    Version,
    /** The request was sent to the target before. */
    Tried,
    /** The target asked for no requests for a while. */
    Backoff,
    /** The target is cold, and this gateway's share of the requests that it bears is used up. */
    Cold,
    /** The target crashes when it rejects too many requests, and this gateway's share of them is used up. */
    Brittle,
    /** Too many requests failed at the target lately. */
    Failing,
    /** The target just reported itself full. */
    Full,
};

template<>
inline constexpr auto nameTable<Ineligibility> = std::to_array<NameEntry<Ineligibility>>({
    {Ineligibility::Unlisted, "unlisted"},
    {Ineligibility::Leaving, "leaving"},
    {Ineligibility::Evacuated, "evacuated"},
    {Ineligibility::Misdirected, "misdirected"},
    {Ineligibility::Region, "region"},
    {Ineligibility::Version, "version"},
    {Ineligibility::Tried, "tried"},
    {Ineligibility::Backoff, "backoff"},
    {Ineligibility::Cold, "cold"},
    {Ineligibility::Brittle, "brittle"},
    {Ineligibility::Failing, "failing"},
    {Ineligibility::Full, "full"},
});

/** What a request asks of each target. */
struct EligibilityCriteria
{
    /** Targets to which the request was sent before. */
    std::vector<TargetId> excluded;
    AllowedRegions allowedRegions;
    /** How much a cold target may get; none for no limit. */
    ColdTargetLimit *coldLimit = nullptr;
    /** How many rejections a target bears; none for any number. */
    BrittleTargetLimit *brittleLimit = nullptr;
    /** The software version of the target; none for any. */
    std::optional<std::string> softwareVersion;
};

/**
 * Finds the reason that holds for every request until the target's entry, its announcement or an evacuation changes.
 * Targets without one make up the service that loads are compared within.
 */
std::optional<Ineligibility> findLastingIneligibility(const TargetState &target);

/** Finds the strongest reason why the request must not or should not go to the target now. */
std::optional<Ineligibility>
findIneligibility(const TargetState &target, const EligibilityCriteria &criteria, Millis now);

/** Whether the target fails, is full or is gone as far as the gateways can tell, whatever else speaks against it. */
bool isDoubtful(const TargetState &target, Millis now);

/** Whether the reason is only a doubt, which is disregarded where most targets are doubtful. */
bool isDisregardable(Ineligibility reason);

/** How many targets were passed over for each reason. */
class IneligibilityCounts
{
public:
    void add(Ineligibility reason);
    std::size_t count(Ineligibility reason) const;
    /** "leaving:2 full:1" in the order of the reasons; empty if no target was passed over. */
    std::string text() const;

private:
    std::array<std::size_t, nameTable<Ineligibility>.size()> counts{};
};

} // namespace Sequoiausher
