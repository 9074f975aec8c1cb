#pragma once

// Routers and engines in one process and discrete time, for the balance benches: the state machines that the daemon
// runs, or a naive way of choosing, under the same chats, engine churn, router kills and late reports.
//
//     const BalanceFigures figures = runBalance(settings, Chooser::Admission, seed);
//
// What is simulated: a message takes 1 or 2 ms; load reports lag by 500 ms and are asked for every 500 ms; each router
// learns of a dead router after 500 to 2500 ms, and of engine churn after 0 to 1000 ms, each at a time of its own; a
// killed router answers nothing and its streams end on the engines 500 ms later. An engine is in the mean from when
// every router may know it until it starts to leave.

#include "lab/bench/workload.h"
#include "sequoiausher/coordination/messages/admissionmessages.h"

namespace Sequoiausher {

/** Who chooses the engine. */
enum class Chooser {
    /** The reservations of this project. */
    Admission,
    /** Round robin in each router. */
    Naive,
    /** The chat's first engine, however loaded. */
    Rendezvous,
    /** Two choices on late reports, all routers seeing the same ones. */
    TwoChoices,
    /** The engine with most of the prompt cached, of those below the bound, by counts and caches that lag nothing. */
    AllSeeing,
};

struct BalanceSettings
{
    std::uint32_t routers = 7;
    std::uint32_t engines = 12;
    std::uint32_t boundPercent = 125;
    /** Of Chooser::Admission. */
    PolicyKind policy = PolicyKind::BoundedRendezvous;
    Millis length{180000};
    /** Not measured, while the fleet fills. */
    Millis warmUp{20000};
    /** One engine is replaced in this time. */
    Millis engineChurn{15000};
    /** One router is killed, and replaced later, in this time. */
    Millis routerKills{20000};
    /**
     * A killed router's connections break, as when its process dies; without this it falls silent, as when its machine
     * or its network does.
     */
    bool killsBreakConnections = false;
    std::uint64_t cacheTokensPerEngine = 2500000;
    WorkloadSettings workload;
};

/** What a run gave. */
struct BalanceFigures
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t admittedLocally = 0;
    /** Over all admissions: (requests on the chosen engine less one) / (mean over engines with the new request). */
    double maxOverMean = 0;
    /** As before, without taking one off for rounding. */
    double maxOverMeanUnrounded = 0;
    /** Share of admissions above the bound with rounding. */
    double aboveBound = 0;
    /** Share of prompt tokens that were cached. */
    double reuse = 0;
    /** Of the tokens of shared prefixes alone; 0 where nothing is shared. */
    double sharedReuse = 0;
    /** Of the tokens of the chats' own parts alone. */
    double ownReuse = 0;
    /** Estimated bytes of control messages for each admitted request, with 40 bytes of TCP and IP for each. */
    double controlBytesPerRequest = 0;
};

BalanceFigures runBalance(const BalanceSettings &settings, Chooser chooser, std::uint64_t seed);

} // namespace Sequoiausher
