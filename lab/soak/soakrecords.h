#pragma once

// What the soak's callers, targets and operator saw, as its judge takes it. Plain data, no sockets.
//
//     judge.sent(call, now);
//     judge.arrived(arrival);
//     judge.answered(call.id, answer, now);

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Sequoiausher {

namespace Lab {

/** How long a caller's connection may be idle: so short that a run of half a minute sees it end many times, and longer
 * than the shorter notice of a stop, which then finds unused connections to close. */
inline constexpr Millis soakIdleTime{2000};

/** Plain answers to calls whose ids begin so are wide: their callers read slowly. */
inline constexpr const char *widePrefix = "w";
inline constexpr std::size_t wideBytes = 200000;

/** The size of a large body; targets take long over it. */
inline constexpr std::size_t largeBodyBytes = 3000000;

/** Paths of streams whose routes allow longer than the grace of a planned stop begin so. */
inline constexpr const char *longPathPrefix = "/long-";

/** A request with this path, or with this part in its prompt, ends each target that runs it, a moment later. */
inline constexpr const char *crashingPath = "/job/crash";
inline constexpr const char *crashingPart = "x0";

/** Requests that end each target that runs them. */
enum class CrashingRequests {
    None,
    /** One and the same request again and again. */
    Repeated,
    /** Requests of which no two are alike, with a shared part in their prompts. */
    SharedPart,
};

/** What callers ask for; each kind has a route of its own. */
enum class CallKind {
    /** Runs at most once. */
    Job,
    /** May run more than once. */
    Look,
    /** A stream that another target may go on with. */
    Chat,
    /** A stream that runs at most once. */
    Note,
};

inline bool isIdempotent(CallKind kind)
{
    return kind == CallKind::Look || kind == CallKind::Chat;
}

inline bool isStream(CallKind kind)
{
    return kind == CallKind::Chat || kind == CallKind::Note;
}

/** One attempt of a caller. */
struct SoakCall
{
    std::string id;
    CallKind kind = CallKind::Job;
    std::size_t gateway = 0;
    /** Counts the starts of that gateway's process. */
    std::uint64_t gatewayLife = 0;
    std::string key;
    std::string method;
    std::string path;
    std::string body;
    /** The attempt that brought the first event of the stream that this one takes up; empty for a new request. */
    std::string takesUp;
    /** The last event that the caller has of that stream. */
    std::uint32_t lastEvent = 0;
    Millis sentAt;
    /** How long the caller said that it would wait. */
    Millis timeLeft;
    std::uint32_t mostTargets = 1;
    /** Sent to the gateway's own socket. What a relay between them read and lost is not the gateway's. */
    bool isDirect = false;
    /** The first on its connection. */
    bool isFirst = false;
    /** How long the connection had been idle, by the caller's count. */
    Millis idleFor;
    /** It ends each target that runs it. */
    bool endsTargets = false;
    /** Its body comes in parts, the last of which is told by sentWhole(). */
    bool isInParts = false;
    /** The refused attempt of which this one is the next; empty for a new request. */
    std::string comesAgainFor;
};

/** The attempt that names the stream in its events. */
inline const std::string &streamIdOf(const SoakCall &call)
{
    return call.takesUp.empty() ? call.id : call.takesUp;
}

/** The end of an attempt as its caller sees it. */
struct SoakAnswer
{
    int status = 0;
    /** The answer came with its end, as far as the caller can tell. */
    bool isWhole = false;
    /** The attempt that the answer names; empty for none. */
    std::string attemptId;
    /** Empty for an answer of a gateway's own. */
    std::string signature;
    std::string body;
    /** No byte of an answer came, and the gateway's kernel refused the request: no process has read it. */
    bool isUnread = false;
};

/** What the targets of a service hold at one moment. */
struct ServiceHolding
{
    std::uint32_t requests = 0;
    std::uint32_t targets = 0;
};

/** A request at a target. */
struct SoakArrival
{
    std::string id;
    /** One life of the target. */
    std::string target;
    std::string service;
    Millis at;
    /** It was taken and runs from now on; otherwise the target said that it did not run it. */
    bool runs = false;
    std::string organisation;
    std::string method;
    std::string path;
    std::string body;
    std::optional<Millis> timeLeft;
    bool hasKey = false;
    bool hasForged = false;
    /** The target ends because of it. */
    bool endsTarget = false;
    /** What the target and its whole service held when the request came. */
    std::uint32_t held = 0;
    ServiceHolding ofService;
};

/** How a run at a target ended. */
enum class RunEnd {
    /** The target sent its whole answer. */
    Answered,
    /** The gateway closed the connection. */
    Cancelled,
    /** The target broke off or sent something else, as its fault wanted. */
    Spoilt,
};

/** How many streams were asked for, and how many of them got an event. */
struct StreamCounts
{
    std::size_t fresh = 0;
    std::size_t freshBegun = 0;
    std::size_t takenUp = 0;
    std::size_t takenUpGoneOn = 0;
};

/** Requests at gateways that had been asked to stop. */
struct StopCounts
{
    /** Refused with 503 by the gateway; of these, callers that come again did so, and were served by that attempt. */
    std::size_t refused = 0;
    std::size_t cameAgain = 0;
    std::size_t servedAgain = 0;
    /** Streams that were at work at a target and ended without their end, with or without an excuse. */
    std::size_t streamsCut = 0;
};

/** A broken promise. */
struct SoakViolation
{
    std::string promise;
    std::string detail;
    Millis at;
};

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::CallKind> = std::to_array<NameEntry<Lab::CallKind>>({
    {Lab::CallKind::Job, "job"},
    {Lab::CallKind::Look, "look"},
    {Lab::CallKind::Chat, "chat"},
    {Lab::CallKind::Note, "note"},
});

} // namespace Sequoiausher
