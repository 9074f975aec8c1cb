#include "sequoiausher/coordination/policies/policy.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/policies/loadbound.h"

#include <random>

namespace Sequoiausher {

namespace {

using Index = std::optional<std::size_t>;

/** The usable target that comes first by isBetter(a, b). */
template<typename Better>
Index best(const PoolLoad &load, const Better &isBetter)
{
    Index chosen;
    for (std::size_t i = 0; i < load.targets.size(); ++i) {
        if (load.targets[i].usable && (!chosen || isBetter(load.targets[i], load.targets[*chosen]))) {
            chosen = i;
        }
    }
    return chosen;
}

/** One after the other, whoever asks. */
class RoundRobinPolicy : public Policy
{
public:
    Index choose(const PoolLoad &load, const Choice & /*choice*/) override
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

/** Always the chat's own target, however loaded. */
class RendezvousPolicy : public Policy
{
public:
    Index choose(const PoolLoad &load, const Choice &choice) override
    {
        return best(load, [&choice](const TargetLoad &a, const TargetLoad &b) {
            return rendezvousWeight(a.hash, choice.chatHash) > rendezvousWeight(b.hash, choice.chatHash);
        });
    }
};

/** The first in the chat's order that is below the bound, so overflow finds the same second choice each time. */
class BoundedRendezvousPolicy : public Policy
{
public:
    Index choose(const PoolLoad &load, const Choice &choice) override
    {
        const std::uint64_t bound = loadBound(choice.boundPercent, load.total, load.counted);
        Index chosen;
        std::uint64_t chosenWeight = 0;
        for (std::size_t i = 0; i < load.targets.size(); ++i) {
            const TargetLoad &target = load.targets[i];
            if (!target.usable || target.inFlight + std::uint64_t{1} > bound) {
                continue;
            }
            const std::uint64_t weight = rendezvousWeight(target.hash, choice.chatHash);
            if (!chosen || weight > chosenWeight) {
                chosen = i;
                chosenWeight = weight;
            }
        }
        return chosen;
    }
};

/**
 * The lower of two drawn at random, by what they last reported.
 * Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
 */
class TwoChoicesPolicy : public Policy
{
public:
    explicit TwoChoicesPolicy(std::uint64_t seed) : generator(seed)
    {
    }

    Index choose(const PoolLoad &load, const Choice & /*choice*/) override
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

/** The one with the fewest in flight; equal ones in the chat's order. */
class LeastLoadedPolicy : public Policy
{
public:
    Index choose(const PoolLoad &load, const Choice &choice) override
    {
        return best(load, [&choice](const TargetLoad &a, const TargetLoad &b) {
            if (a.inFlight != b.inFlight) {
                return a.inFlight < b.inFlight;
            }
            return rendezvousWeight(a.hash, choice.chatHash) > rendezvousWeight(b.hash, choice.chatHash);
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
        return std::make_unique<LeastLoadedPolicy>();
    case PolicyKind::BoundedRendezvous:
        break;
    }
    return std::make_unique<BoundedRendezvousPolicy>();
}

} // namespace Sequoiausher
