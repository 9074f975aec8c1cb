#pragma once

// Test support, not part of the daemon: a small deterministic network of claimants and witnesses in one process, with
// simulated time, for property tests and the bench. It checks what must hold about every dispatch and refusal.
//
//     ClaimNetwork network(NetworkSettings{.routers = 7, .seed = 1});
//     network.begin(0, keyOne, bodyDigest);       // a client's call at router 0, now
//     network.pause(2, Millis{5000});
//     network.run(Millis{10000});                 // until that time
//     network.report().doubleRuns;                // 0

#include "sequoiausher/coordination/claims/claimant.h"
#include "sequoiausher/coordination/claims/witness.h"

#include <memory>
#include <set>

namespace Sequoiausher {

/** What the network is like. Shares are out of 1000. */
struct NetworkSettings
{
    std::size_t routers = 7;
    /** How many of them are on the first list and run; the others wait for restart. 0: all. */
    std::size_t listed = 0;
    std::uint64_t seed = 1;
    ClaimParameters parameters;
    Millis delayMin{1};
    Millis delayMax{2};
    int lossPerMille = 0;
    int duplicatePerMille = 0;
    /** Share of messages that take up to slowDelay instead, and so overtake or are overtaken. */
    int slowPerMille = 0;
    Millis slowDelay{1500};
    /** How long a request runs at its target. */
    Millis runTime{500};
    /** Share of acquired claims that admission refuses, so that they are withdrawn. */
    int admissionRefusesPerMille = 0;
    /** The fault to be caught: a restarted witness votes as if it remembered. */
    bool restartedVotesAtOnce = false;
    /** The witnesses of the first start may vote at once: the fleet is new. */
    bool assumeNoPriorClaimsAtStart = true;
    /** No claims at all: whoever is called dispatches. A baseline. */
    bool withoutClaims = false;
};

/** What happened, and what was wrong with it. */
struct NetworkReport
{
    std::size_t attempts = 0;
    std::size_t dispatched = 0;
    /** Dispatches of a key within lifetime of another dispatch of it. */
    std::size_t doubleRuns = 0;
    /** Refusals that said 'not run' of a call that was dispatched, or of a key that was within lifetime before. */
    std::size_t falseNotRun = 0;
    std::size_t held = 0;
    std::size_t bodyDiffers = 0;
    std::size_t noQuorum = 0;
    /** NoQuorum and acquired claims that were too late to be dispatched. */
    std::size_t refused = 0;
    std::size_t messages = 0;
    /** From begin to Acquired, in order of arrival. */
    std::vector<Millis> acquireTimes;
};

/** One ended attempt, for differential tests. */
struct AttemptEnd
{
    RequestId attempt;
    ClaimOutcome outcome;
    Millis at;
};

/** A network of routers that claim keys. */
class ClaimNetwork
{
public:
    explicit ClaimNetwork(const NetworkSettings &settings);
    ~ClaimNetwork();
    ClaimNetwork(const ClaimNetwork &) = delete;
    ClaimNetwork &operator=(const ClaimNetwork &) = delete;

    Millis now() const;
    /** Simulates until that time. */
    void run(Millis until);

    /** A client's call at a router; lost where that is down. @return its attempt. */
    RequestId begin(std::size_t router, const ClaimKey &key, std::uint64_t bodyDigest);

    /** The process dies with all it remembers, and stays away. */
    void kill(std::size_t router);
    /** A new process of the same name. */
    void restart(std::size_t router);
    /** The process stands still for that long and then finds everything that came meanwhile. */
    void pause(std::size_t router, Millis time);
    /** The router reads this list of routers. */
    void setList(std::size_t router, const std::set<std::size_t> &listed);
    /** Messages pass only between routers of the same number; all the same heals. */
    void split(const std::vector<int> &side);
    /** A planned stop: the witness hands over. */
    void handOverClaims(std::size_t router);

    static InstanceId nameOfRouter(std::size_t router);
    const Witness &witness(std::size_t router) const;
    const Claimant &claimant(std::size_t router) const;
    const NetworkReport &report() const;
    const std::vector<AttemptEnd> &ends() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
