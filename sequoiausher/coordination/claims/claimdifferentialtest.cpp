// Compares claims with a reference implementation: one map that receives every call.

#include "sequoiausher/coordination/claims/claimnetwork.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>

using namespace Sequoiausher;

namespace {

/** The claim of a key in the reference implementation. */
struct KnownClaim
{
    RequestId attempt;
    std::uint64_t bodyDigest = 0;
    Millis until;
};

/** Decides each call at once, and stores its claim for lifetime. */
class ReferenceClaims
{
public:
    explicit ReferenceClaims(Millis time) : lifetime(time)
    {
    }

    ClaimOutcomeKind call(Millis now, const ClaimKey &key, const RequestId &attempt, std::uint64_t digest)
    {
        const auto found = this->known.find(key);
        if (found == this->known.end() || now >= found->second.until) {
            this->known[key] = KnownClaim{attempt, digest, now + this->lifetime};
            return ClaimOutcomeKind::Acquired;
        }
        return found->second.bodyDigest == digest ? ClaimOutcomeKind::HeldBy : ClaimOutcomeKind::BodyDiffers;
    }

    const KnownClaim &knownClaim(const ClaimKey &key)
    {
        return this->known[key];
    }

private:
    Millis lifetime;
    std::map<ClaimKey, KnownClaim> known;
};

} // namespace

TEST_CASE("sequential calls have the same results as with a single map of all claims")
{
    CHECK(rc::check([]() {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const auto below = [&](std::uint64_t bound) { return random() % bound; };
        NetworkSettings settings;
        settings.routers = 1 + below(9);
        settings.seed = random();
        settings.parameters.lifetime = Millis{30000};
        settings.runTime = Millis{1};
        ClaimNetwork network(settings);
        ReferenceClaims reference(settings.parameters.lifetime);
        constexpr int calls = 20;
        for (int i = 0; i < calls; ++i) {
            const ClaimKey key{0, below(4)};
            const std::uint64_t digest = below(8) == 0 ? 2 : 1;
            const std::size_t ended = network.ends().size();
            const Millis at = network.now();
            const RequestId attempt = network.begin(below(settings.routers), key, digest);
            network.run(at + Millis{200});
            RC_ASSERT(network.ends().size() == ended + 1);
            const ClaimOutcome &outcome = network.ends().back().outcome;
            const ClaimOutcomeKind expected = reference.call(at, key, attempt, digest);
            RC_ASSERT(outcome.kind == expected);
            if (expected != ClaimOutcomeKind::Acquired) {
                RC_ASSERT(outcome.heldBy == reference.knownClaim(key).attempt);
            }
            // The next call follows soon, or after the claim has certainly expired. In between, for the length of the
            // dispatch window, both results are right.
            network.run(network.now() + (below(6) == 0 ? Millis{40000} : Millis{below(500) == 0 ? 1 : 2}));
        }
        RC_ASSERT(network.report().doubleRuns == 0U);
    }));
}
