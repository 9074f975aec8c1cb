#pragma once

// One soak: real gateways, a store, targets and callers of its own, faults by a plan, and a judge over it all.
//
//     SoakRun run({.seed = 7});
//     const SoakResult result = run.play();
//     for (const SoakViolation &violation : result.violations) { ... }

#include "lab/soak/limitjudge.h"
#include "lab/soak/soakplan.h"
#include "lab/soak/soakrecords.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::size_t gateways = 5;
    std::size_t callersEach = 3;
    /** Callers for each gateway that keep their connections until they are closed to them. */
    std::size_t lastingEach = 2;
    /** How long faults begin; a warm-up before and a calm end come on top. */
    Millis faults{12000};
    /** The longest that one of them lasts: above the five seconds for which a key is good without a proof, the promise
     * about keys that were taken away is put to the test. */
    Millis longest{4000};
    /** How often the store comes back from a copy, at moments of their own beside the other faults. */
    std::size_t returns = 0;
    /** How often the operator evacuates a data centre, at moments of their own beside the other faults. */
    std::size_t evacuations = 0;
    /** How often a service rejects most requests while gateways are killed in series, at moments of their own. */
    std::size_t outages = 0;
    /**
     * How often all gateways are killed at once, at moments of their own; every other time the targets of one software
     * version are gone when they start again.
     */
    std::size_t fleetKills = 0;
    /** How often some or all gateways lose all paths to targets, at moments of their own beside the other faults. */
    std::size_t cuts = 0;
    /**
     * How often gateways are asked to stop in series, at moments of their own; some streams are allowed longer than the
     * grace then, and last for longer, and further callers send the next call as soon as they have an answer.
     */
    std::size_t stops = 0;
    /** Targets are cold for some seconds after they were started anew, or after the end of an evacuation. */
    bool hasColdTargets = false;
    /** A request that ends its targets comes again and again meanwhile. */
    CrashingRequests crashing = CrashingRequests::None;
    /** Half of all answers have neither a length nor chunks, and end with their connection. */
    bool hasUnframedAnswers = false;
    /** How many software versions the targets have, drawn anew for each life; callers take up streams that broke off. 0
     * for one version, and callers that do not. */
    std::size_t versions = 0;
    /** Some jobs have bodies of megabytes, and gateways little memory for them. */
    bool hasLargeBodies = false;
    /** How often a target sends answers that nobody asked for, and another writer an entry that names no service. */
    std::size_t foreign = 0;
    /** Gateways reserve places at admission owners, and hedge slow requests. */
    bool reservesPlaces = false;
    /**
     * Clients that do not behave keep connections to each gateway from the start to the end: they read no answers, send
     * parts of requests, or send nothing. Gateways have little memory and few descriptors.
     */
    bool hasHostileClients = false;
    /**
     * Requests a second of an open load, in place of the other callers: the service of engines has twelve targets that
     * read prompts, all targets stay whole, and faults strike gateways and links, beside planned changes of targets and
     * changes of the load. 0 for the other callers and faults.
     */
    std::size_t loadPerSecond = 0;
    /** Beside an open load, up to all engines lose up to all of their answers. */
    bool mayLoseAllAnswers = false;
    /** Beside an open load, up to half of the engines that serve leave at each fault, whether others are leaving or
     * not. */
    bool mayLeaveTogether = false;
    /** Where settings and what the gateways write go; made where it is missing. */
    std::string folder;
    /** The rules of the gateways; empty for those that are shipped. */
    std::string rules;
    /** The gateway to play, such as an older one; empty for the one that was built with the soak. */
    std::string program;
};

struct SoakResult
{
    std::vector<SoakViolation> violations;
    std::size_t sent = 0;
    std::size_t served = 0;
    /** In the calm at the end. */
    std::size_t lastSent = 0;
    std::size_t lastServed = 0;
    /** Calls that crossed the close of their connection, and that nobody read. */
    std::size_t unread = 0;
    StreamCounts streams;
    StopCounts stops;
    /** Of each service, the five seconds in which most requests reached targets above its limit. */
    std::vector<LimitWindow> worstWindows;
    /** The longest that this process stood still: what the bounds in time were stretched by. */
    Millis longestPause;
};

/** See above. Needs a QCoreApplication. */
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);
    ~SoakRun();
    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    /** Plays it to its end, in the event loop. */
    SoakResult play();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
