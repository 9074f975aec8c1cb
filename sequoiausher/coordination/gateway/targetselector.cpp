#include "sequoiausher/coordination/gateway/targetselector.h"

#include "sequoiausher/coordination/gateway/holderchoice.h"

#include <algorithm>
#include <cmath>

namespace Sequoiausher {

namespace {

/** The mean age of peers' loads when they are used: one report, one relay by a hub, and half of the report interval. */
constexpr double reportAgeMs = 450;
/** Expected loads are accurate to about one request, so smaller differences count as equal. */
constexpr double equalLoadTolerance = 0.7;
/** The share of the moving average in the smoothed load of a target. */
constexpr double averageShareOfSmoothedLoad = 0.7;
/** A part with fewer holders need not be hot: chance and failures also give a part a second target. */
constexpr std::size_t minHoldersOfHotPart = 3;
/**
 * A count of independent requests deviates from its mean by about the square root of the mean; one count in fifty is
 * more than two such deviations above it.
 */
constexpr double chanceLoadDeviations = 2;

/** Chooses a holder of the part if one has room, else by a policy. */
class PolicySelector : public TargetSelector
{
public:
    PolicySelector(PolicyKind kind, std::uint64_t seed) : policy(makePolicy(kind, seed))
    {
    }

    std::optional<std::size_t> select(const SelectionInput &input) override
    {
        const SelectionRequest &request = input.request;
        const std::optional<std::size_t> holder
            = chooseHolder(request.holders, input.load, request.unreportedAtHolders, request.requestHash);
        return this->policy->choose(input.load,
                                    {request.partHash, request.boundPercent, holder, false, request.firstPartHash});
    }

private:
    std::unique_ptr<Policy> policy;
};

/** As PolicySelector, and spreads the requests of a hot part by room. */
class RoomSelector : public TargetSelector
{
public:
    explicit RoomSelector(std::uint64_t seed)
        : byRoom(makePolicy(PolicyKind::RoomRendezvous, seed))
        , byHash(makePolicy(PolicyKind::BoundedRendezvous, seed))
    {
    }

    std::optional<std::size_t> select(const SelectionInput &input) override
    {
        const SelectionRequest &request = input.request;
        const std::optional<std::size_t> holder
            = chooseHolder(request.holders, input.load, request.unreportedAtHolders, request.requestHash);
        // A part with several holders of which none accepts the request is hot. If the part's hash decided, all
        // gateways would fill the same additional target.
        const bool isHotPart = !holder && countUsableHolders(request.holders, input.load) >= minHoldersOfHotPart;
        const std::uint64_t placementHash = isHotPart ? request.requestHash : request.partHash;
        // A part without holders is read by the first target that gets it, and gateways learn of that late. Until then
        // they agree on a target only if the hash alone decides.
        const bool isUnread = request.holders.empty();
        return (isUnread ? this->byHash : this->byRoom)
            ->choose(input.load, {placementHash, request.boundPercent, holder, false, request.firstPartHash});
    }

    /**
     * Smooths the requests in flight at the target. Reports are as old as requests last, so a count above the average
     * mostly shows requests that were there by chance and have ended since. With unsmoothed counts, all gateways move
     * away from a target together and return together. Each move sends parts of prompts to targets that must read them
     * again, and requests pile up there before any gateway learns of it. A selector that moves all requests of a part
     * once the bound is reached would move them later and for longer, so only this one smooths.
     */
    std::uint32_t estimateInFlight(const TargetState &target) const override
    {
        const double current = target.inFlight();
        const double average = target.averageLoad.value_or(current);
        // The deviation is larger than chance explains: a part has become hot, and waiting would overload its target.
        if (current - average > chanceLoadDeviations * std::sqrt(std::max(average, 1.0))) {
            return target.inFlight();
        }
        return static_cast<std::uint32_t>(std::lround(current + (average - current) * averageShareOfSmoothedLoad));
    }

private:
    /** Holders that failed lately or left do not indicate how much a part is used. */
    static std::size_t countUsableHolders(const std::vector<TargetId> &holders, const PoolLoad &load)
    {
        return static_cast<std::size_t>(
            std::count_if(load.targets.begin(), load.targets.end(), [&holders](const TargetLoad &target) {
                return target.usable && std::find(holders.begin(), holders.end(), target.target) != holders.end();
            }));
    }

    std::unique_ptr<Policy> byRoom;
    std::unique_ptr<Policy> byHash;
};

/**
 * Chooses the usable target with the fewest expected requests. Among targets that count as equal, chooses the one to
 * which this gateway has sent nothing for the longest time. If differences of a hundredth decided, all gateways would
 * choose the same target.
 */
class LeastExpectedSelector : public TargetSelector
{
public:
    std::optional<std::size_t> select(const SelectionInput &input) override
    {
        const std::vector<TargetState *> &candidates = input.candidates;
        const double mean = meanPeersInFlight(candidates);
        std::optional<std::size_t> best;
        double least = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (!input.load.targets[i].usable) {
                continue;
            }
            const double expected = expectedInFlight(*candidates[i], mean);
            const bool isTie = best && std::abs(expected - least) < equalLoadTolerance;
            const bool isLongerUnused = isTie && candidates[i]->lastSentNumber < candidates[*best]->lastSentNumber;
            if (!best || isLongerUnused || (!isTie && expected < least)) {
                best = i;
                least = expected;
            }
        }
        return best;
    }

private:
    /**
     * Estimates the requests in flight now, where peers' loads are older than the duration of the requests they
     * counted. Almost none of those requests is left, and as many others were sent since, to any target. So a target's
     * excess over the mean decays with its answer time. Without this estimate all gateways send to the target with the
     * lowest load in the last reports, and the next reports show it overloaded: with three targets that answer in 30 ms
     * and reports every 300 ms, 20 requests queue there while other targets are idle.
     */
    static double expectedInFlight(const TargetState &target, double meanPeersInFlight)
    {
        const double left = target.averageAnswerMs > 0 ? std::exp(-reportAgeMs / target.averageAnswerMs) : 1;
        return target.ownInFlight + meanPeersInFlight
            + (static_cast<double>(target.peersInFlight) - meanPeersInFlight) * left;
    }

    static double meanPeersInFlight(const std::vector<TargetState *> &candidates)
    {
        double total = 0;
        for (const TargetState *state : candidates) {
            total += state->peersInFlight;
        }
        return candidates.empty() ? 0 : total / static_cast<double>(candidates.size());
    }
};

} // namespace

std::uint32_t TargetSelector::estimateInFlight(const TargetState &target) const
{
    return target.inFlight();
}

std::unique_ptr<TargetSelector> makeTargetSelector(PolicyKind kind, std::uint64_t seed)
{
    switch (kind) {
    case PolicyKind::RoomRendezvous:
        return std::make_unique<RoomSelector>(seed);
    case PolicyKind::LeastExpected:
        return std::make_unique<LeastExpectedSelector>();
    default:
        return std::make_unique<PolicySelector>(kind, seed);
    }
}

} // namespace Sequoiausher
