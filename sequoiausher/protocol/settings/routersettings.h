#pragma once

// The settings of one router, read from its INI file at start. Every key, its unit, default and range stands in
// docs/CONFIGURATION.md; the defaults below are the ones in force.
//
//     const RouterSettings settings = parseRouterSettings(text, "router.ini");   // throws ProblemsError

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/base/log/log.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/claims/claimparameters.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** [platform]: where the configuration service listens, and how it is read. */
struct PlatformSettings
{
    std::vector<std::string> addresses;
    /** How long one watch waits at the service. */
    Millis watchTimeout{1000};
    /** How long a call may take before it counts as failed, beyond what a watch waits. */
    Millis callTimeout{1000};
    /** How many instances read the service; all others learn from them. */
    std::uint32_t readers = 3;
};

/** A router to speak to before the list of instances is known. */
struct PeerSeed
{
    InstanceId instance;
    /** IP number and port of its listener for routers. */
    std::string address;

    bool operator==(const PeerSeed &) const = default;
};

/** [peers]: how routers keep in touch. */
struct PeerSettings
{
    std::vector<PeerSeed> seeds;
    Millis probeInterval{1000};
    Millis probeTimeout{300};
    Millis connectTimeout{1000};
};

/** [admission]: the bound on a target's load. */
struct AdmissionSettings
{
    /** The set multiple of the mean where no rule says another, in percent. */
    std::uint32_t boundPercent = 125;
    /** How long the owner of a target may take to answer. */
    Millis reserveTimeout{250};
    /** How often an entry tells owners what it holds. */
    Millis holdingsInterval{5000};
};

/** [limits]: what one router takes on. */
struct LimitSettings
{
    std::uint64_t maxBodyBytes = 4UL * 1024 * 1024;
    std::uint32_t maxHeaderBytes = 32UL * 1024;
    std::uint32_t maxConnections = 10000;
    /** Parts of requests, and answers that callers have not taken, over all connections. */
    std::uint64_t heldBytes = 128UL * 1024 * 1024;
    /** Requests that wait, over all organisations. */
    std::uint32_t queueLength = 2000;
    Millis queueTime{2000};
    /** A request's time where neither caller nor rule says one. */
    Millis defaultDeadline{120000};
    /** How long a target may take until the first byte of an answer. */
    Millis firstByteTimeout{10000};
    /** How long a finished answer is kept for retries. */
    Millis keptAnswer{300000};
    std::uint64_t keptAnswerBytes = 64UL * 1024 * 1024;
};

/** [drain]: a planned stop. */
struct DrainSettings
{
    /** How long requests in progress may take to end. */
    Millis grace{600000};
    /** How long the router says that it leaves before it refuses new requests. */
    Millis notice{2000};
    /** How long the router hands its kept answers to others, after its own requests have ended. */
    Millis handover{5000};
    /** Answers handed over, in bytes; the last ended go first. */
    std::uint64_t handoverBytes = 64UL * 1024 * 1024;
};

/** [operators]: a listener for operators alone. */
struct OperatorSettings
{
    /** IP number and port; empty where there is no such listener. */
    std::string address;
    /** SHA-256 of the word that an order to drain must bring, in lower-case hexadecimal digits; empty for none. */
    std::string tokenSha256;
};

/** All settings of a router. */
struct RouterSettings
{
    InstanceId name;
    DataCentreId dataCentre;
    /** IP number and port for callers. */
    std::string address;
    /** IP number and port for other routers. */
    std::string peerAddress;
    std::uint32_t workers = 4;
    PlatformSettings platform;
    PeerSettings peers;
    /** [claims]: at most once. */
    ClaimParameters claims;
    AdmissionSettings admission;
    LimitSettings limits;
    LogSettings log;
    DrainSettings drain;
    OperatorSettings operators;
};

/** Reads text, appending everything that is wrong to problems; complete only where none is an error. */
RouterSettings parseRouterSettings(std::string_view text, const std::string &file, Problems &problems);

/** @throws ProblemsError with every problem, its step Settings and its peer the file. */
RouterSettings parseRouterSettings(std::string_view text, const std::string &file);

} // namespace Sequoiausher
