#include "sequoiausher/coordination/policies/policy.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/policies/loadbound.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace Sequoiausher {

namespace {

using OptionalIndex = std::optional<std::size_t>;

/** Returns the usable target that is best by isBetter(a, b). */
template<typename Better>
OptionalIndex findBest(const PoolLoad &load, const Better &isBetter)
{
    OptionalIndex chosen;
    for (std::size_t i = 0; i < load.targets.size(); ++i) {
        if (load.targets[i].usable && (!chosen || isBetter(load.targets[i], load.targets[*chosen]))) {
            chosen = i;
        }
    }
    return chosen;
}

std::uint64_t effectiveBound(const PoolLoad &load, const PolicyRequest &request)
{
    return std::max(loadBound(request.boundPercent, load.total, load.counted), load.minimumBound);
}

bool canAccept(const TargetLoad &target, std::uint64_t bound)
{
    return target.usable && target.inFlight < bound;
}

/** Chooses the usable targets in turn. */
class RoundRobinPolicy : public Policy
{
public:
    OptionalIndex choose(const PoolLoad &load, const PolicyRequest & /*request*/) override
    {
        for (std::size_t step = 0; step < load.targets.size(); ++step) {
            const std::size_t index = this->next++ % load.targets.size();
            if (load.targets[index].usable) {
                return index;
            }
        }
        return std::nullopt;
    }

private:
    std::size_t next = 0;
};

/** Chooses the chat's first target by rendezvous hashing, whatever its load. */
class RendezvousPolicy : public Policy
{
public:
    OptionalIndex choose(const PoolLoad &load, const PolicyRequest &request) override
    {
        return findBest(load, [&request](const TargetLoad &a, const TargetLoad &b) {
            return rendezvousWeight(a.hash, request.chatHash) > rendezvousWeight(b.hash, request.chatHash);
        });
    }
};

/**
 * Chooses among the targets below the load bound. The target of the chat's previous turn comes first, since it has the
 * longest prefix cached. Otherwise a known chat goes to its first target by rendezvous hashing, and a new chat to the
 * less loaded of its first two. Since the order is fixed, a chat's overflow always goes to the same second target.
 */
class BoundedRendezvousPolicy : public Policy
{
public:
    OptionalIndex choose(const PoolLoad &load, const PolicyRequest &request) override
    {
        const std::uint64_t bound = effectiveBound(load, request);
        if (request.last && canAccept(load.targets[*request.last], bound)) {
            return request.last;
        }
        Ranked first;
        Ranked second;
        for (std::size_t i = 0; i < load.targets.size(); ++i) {
            if (!canAccept(load.targets[i], bound)) {
                continue;
            }
            const std::uint64_t weight = rendezvousWeight(load.targets[i].hash, request.chatHash);
            if (!first.index || weight > first.weight) {
                second = std::exchange(first, Ranked{i, weight});
            } else if (!second.index || weight > second.weight) {
                second = Ranked{i, weight};
            }
        }
        // A new chat has no cached prefix to lose, so its second target serves it as well as the first. The first one
        // keeps room for returning chats.
        if (request.isNew && second.index
            && load.targets[*second.index].inFlight < load.targets[*first.index].inFlight) {
            return second.index;
        }
        return first.index;
    }

private:
    struct Ranked
    {
        OptionalIndex index;
        std::uint64_t weight = 0;
    };
};

/**
 * Chooses the target of the chat's previous turn, which has the longest prefix cached, while it is below the load
 * bound. Otherwise uses rendezvous hashing weighted by the room of each target below the bound. Without weights, when
 * most targets are near the bound, the few with room would be the first choice of nearly all chats, and many routers
 * with outdated counts would together fill them past the bound. Source: Schindelhauer and Schomaker, "Weighted
 * Distributed Hash Tables", 2005.
 */
class RoomRendezvousPolicy : public Policy
{
public:
    OptionalIndex choose(const PoolLoad &load, const PolicyRequest &request) override
    {
        const std::uint64_t bound = effectiveBound(load, request);
        if (request.last && canAccept(load.targets[*request.last], bound)) {
            return request.last;
        }
        OptionalIndex chosen;
        double least = 0;
        for (std::size_t i = 0; i < load.targets.size(); ++i) {
            const TargetLoad &target = load.targets[i];
            if (!canAccept(target, bound)) {
                continue;
            }
            const double draw = unitDraw(rendezvousWeight(target.hash, request.chatHash));
            const double distance = -std::log(draw) / static_cast<double>(bound - target.inFlight);
            if (!chosen || distance < least) {
                chosen = i;
                least = distance;
            }
        }
        return chosen;
    }
};

/**
 * Chooses the target of the chat's previous turn, which has the longest prefix cached, while it is below the load
 * bound. Otherwise ranks the targets by rendezvous hashing of the prefix that the chat shares with others, or of the
 * chat if it shares none, and chooses the least loaded of the first two. If that target is loaded more than a little
 * above the mean (see hasHeadroom()), it considers the first four, then eight, and so on.
 *
 * Each shared prefix is thus cached by few targets, a prefix in heavy use spreads over as many as it needs, and the
 * room up to the bound is left to returning chats.
 */
class PrefixRendezvousPolicy : public Policy
{
public:
    OptionalIndex choose(const PoolLoad &load, const PolicyRequest &request) override
    {
        const std::uint64_t bound = effectiveBound(load, request);
        if (request.last && canAccept(load.targets[*request.last], bound)) {
            return request.last;
        }
        OptionalIndex least;
        std::size_t candidateCount = initialCandidateCount;
        std::size_t examined = 0;
        for (const std::size_t index : rankTargets(load, request)) {
            if (examined == candidateCount && least && hasHeadroom(load, *least, request.boundPercent)) {
                return least;
            }
            candidateCount = examined == candidateCount ? candidateCount * 2 : candidateCount;
            examined += 1;
            const bool isLess = !least || load.targets[index].inFlight < load.targets[*least].inFlight;
            if (isLess && canAccept(load.targets[index], bound)) {
                least = index;
            }
        }
        return least;
    }

private:
    static constexpr std::size_t initialCandidateCount = 2;

    static std::vector<std::size_t> rankTargets(const PoolLoad &load, const PolicyRequest &request)
    {
        std::vector<std::uint64_t> hashes;
        hashes.reserve(load.targets.size());
        for (const TargetLoad &target : load.targets) {
            hashes.push_back(target.hash);
        }
        const std::uint64_t key = request.prefixHash != 0 ? request.prefixHash : request.chatHash;
        return rendezvousOrder(hashes, key, hashes.size());
    }

    /** Whether the target's load is below two fifths of the way from the mean to the bound. */
    static bool hasHeadroom(const PoolLoad &load, std::size_t index, std::uint32_t boundPercent)
    {
        const std::uint64_t percent
            = minimumBoundPercent + ((std::max(boundPercent, minimumBoundPercent) - minimumBoundPercent) * 2 / 5);
        return load.targets[index].inFlight * load.counted * 100 < percent * (load.total + 1);
    }
};

/**
 * Draws two usable targets at random and chooses the one that reported the lower load.
 * Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
 */
class TwoChoicesPolicy : public Policy
{
public:
    explicit TwoChoicesPolicy(std::uint64_t seed) : generator(seed)
    {
    }

    OptionalIndex choose(const PoolLoad &load, const PolicyRequest & /*request*/) override
    {
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < load.targets.size(); ++i) {
            if (load.targets[i].usable) {
                usable.push_back(i);
            }
        }
        if (usable.empty()) {
            return std::nullopt;
        }
        const std::size_t a = usable[this->generator() % usable.size()];
        const std::size_t b = usable[this->generator() % usable.size()];
        return load.targets[b].reported < load.targets[a].reported ? b : a;
    }

private:
    std::mt19937_64 generator;
};

/** Chooses the target with the fewest requests in flight; ties are broken by rendezvous hashing of the chat. */
class LeastLoadedPolicy : public Policy
{
public:
    OptionalIndex choose(const PoolLoad &load, const PolicyRequest &request) override
    {
        return findBest(load, [&request](const TargetLoad &a, const TargetLoad &b) {
            if (a.inFlight != b.inFlight) {
                return a.inFlight < b.inFlight;
            }
            return rendezvousWeight(a.hash, request.chatHash) > rendezvousWeight(b.hash, request.chatHash);
        });
    }
};

} // namespace

std::unique_ptr<Policy> makePolicy(PolicyKind kind, std::uint64_t seed)
{
    switch (kind) {
    case PolicyKind::RoundRobin:
        return std::make_unique<RoundRobinPolicy>();
    case PolicyKind::Rendezvous:
        return std::make_unique<RendezvousPolicy>();
    case PolicyKind::TwoChoices:
        return std::make_unique<TwoChoicesPolicy>(seed);
    case PolicyKind::LeastLoaded:
    // Both kinds choose by the caller's count. With LeastExpected the caller counts the requests that it expects to be
    // in flight; where counts are exact, this is the number that is in flight.
    case PolicyKind::LeastExpected:
        return std::make_unique<LeastLoadedPolicy>();
    case PolicyKind::PrefixRendezvous:
        return std::make_unique<PrefixRendezvousPolicy>();
    case PolicyKind::RoomRendezvous:
        return std::make_unique<RoomRendezvousPolicy>();
    case PolicyKind::BoundedRendezvous:
        break;
    }
    return std::make_unique<BoundedRendezvousPolicy>();
}

} // namespace Sequoiausher
