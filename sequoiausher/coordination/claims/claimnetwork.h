#pragma once

// Test support, not part of the daemon: a small deterministic network of claimants and witnesses in one process, with
// simulated time, for property tests and the benchmark. It checks the guarantees for every dispatch and refusal.
//
//     ClaimNetwork network(NetworkSettings{.routers = 7, .seed = 1});
//     network.begin(0, keyOne, bodyDigest);       // a client's call at router 0, now
//     network.pause(2, Millis{5000});
//     network.run(Millis{10000});                 // simulates up to that time
//     network.report().doubleRuns;                // 0

#include "sequoiausher/coordination/claims/claimant.h"
#include "sequoiausher/coordination/claims/witness.h"

#include <memory>
#include <set>

namespace Sequoiausher {

/** Properties and faults of the simulated network. Shares are out of 1000. */
struct NetworkSettings
{
    std::size_t routers = 7;
    /** How many routers are on the first list and started; the others are started by restart. 0: all. */
    std::size_t listed = 0;
    std::uint64_t seed = 1;
    ClaimParameters parameters;
    Millis delayMin{1};
    Millis delayMax{2};
    int lossPerMille = 0;
    int duplicatePerMille = 0;
    /** Share of messages that are delayed by up to slowDelay instead, and so arrive out of order. */
    int slowPerMille = 0;
    Millis slowDelay{1500};
    /** How long a request runs at its target. */
    Millis runTime{500};
    /** Share of acquired claims that admission control refuses, so that they are withdrawn. */
    int admissionRefusesPerMille = 0;
    /** Injected fault: a restarted witness votes as if it had not lost its claims. */
    bool restartedVotesAtOnce = false;
    /** The witnesses of the first start may vote at once, as in a new fleet. */
    bool assumeNoPriorClaimsAtStart = true;
    /** A baseline without claims: each router dispatches each call. */
    bool withoutClaims = false;
};

/** Counts of events, and of violations of the guarantees. */
struct NetworkReport
{
    std::size_t attempts = 0;
    std::size_t dispatched = 0;
    /** Violations: dispatches of a key within lifetime of another dispatch of that key. */
    std::size_t doubleRuns = 0;
    /** Violations: 'not run' was reported of a dispatched call, or of a key that was dispatched within lifetime. */
    std::size_t falseNotRun = 0;
    std::size_t held = 0;
    std::size_t bodyDiffers = 0;
    std::size_t noQuorum = 0;
    /** NoQuorum results, and acquired claims that admission refused or that were too late to be dispatched. */
    std::size_t refused = 0;
    std::size_t messages = 0;
    /** Times from begin to Acquired, in the order in which the claims were acquired. */
    std::vector<Millis> acquireTimes;
};

/** The result of one attempt, for differential tests. */
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
    /** Simulates all events up to until. */
    void run(Millis until);

    /** A client's call at a router; it is lost if the router is down. @return its attempt. */
    RequestId begin(std::size_t router, const ClaimKey &key, std::uint64_t bodyDigest);

    /** Kills the router's process; its claims are lost. It stays down until restart. */
    void kill(std::size_t router);
    /** Starts a new process of the same name. */
    void restart(std::size_t router);
    /** Stops the process for that time; it then receives all messages that arrived meanwhile. */
    void pause(std::size_t router, Millis time);
    /** Lets the router read this list of routers. */
    void setList(std::size_t router, const std::set<std::size_t> &listed);
    /** Messages pass only between routers with the same number in side; equal numbers for all end the partition. */
    void split(const std::vector<int> &side);
    /** A planned stop: the router's witness hands over its claims. */
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
