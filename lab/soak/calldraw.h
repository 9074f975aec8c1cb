#pragma once

// Draws what the soak's callers ask for, call by call, and words it as they send it.
//
//     CallDraw draw("c3-", offer, seed);
//     const SoakCall call = draw.next(entry, now);
//     connection.send(draw.wire(call));

#include "lab/soak/soakrecords.h"
#include "platform/standindialect.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** A gateway as callers reach it. */
struct SoakEntry
{
    std::size_t gateway = 0;
    std::uint64_t life = 0;
    /** Through the relay by which a plan cuts and slows callers, and past it. */
    std::string address;
    std::string directAddress;
};

/** What callers may ask for at present, kept by the operator. */
struct SoakOffer
{
    struct Key
    {
        std::string organisation;
        std::string key;
    };

    std::vector<Key> keys;
    /** Path prefixes of plain routes beside the four of the kinds. */
    std::vector<std::string> extraRoutes;
};

/** The prompts of streams: a beginning that all share, one of the documents, and a part of their own; in tokens. */
struct PromptDraw
{
    std::uint32_t beginningTokens = 500;
    std::int64_t documents = 12;
    std::uint32_t documentTokens = 400;
    std::uint32_t ownTokens = 100;
    /** So many of a hundred streams are about one further document. */
    std::int64_t heavyUsePercent = 0;
};

/** What every call says on the wire; some say more. */
StandInDialect::CallerCall wireOf(const SoakCall &call);

/** See above. */
class CallDraw
{
public:
    /** @param prefix begins the ids of its calls; no other caller has it. */
    CallDraw(std::string prefix, const SoakOffer &offer, std::uint64_t seed);

    /** Some jobs have large bodies from now on. The other draws of a seed stay the same. */
    void drawLargeBodies();
    /** Half of the calls are streams of the routes that allow longer than the grace from now on. */
    void drawLongStreams();
    /** The next call is a job with a large body. */
    void makeNextLarge();
    void setPrompts(const PromptDraw &prompts);
    SoakCall next(const SoakEntry &entry, Millis now);
    std::string wire(const SoakCall &call);
    /** When the caller of a call sent at now closes its connection: early for some. */
    Millis leaveTime(const SoakCall &call, Millis now);
    std::int64_t between(std::int64_t least, std::int64_t most);

private:
    std::string prefix;
    const SoakOffer &offer;
    std::mt19937_64 random;
    std::uint64_t calls = 0;
    bool drawsLargeBodies = false;
    bool drawsLongStreams = false;
    bool isNextLarge = false;
    PromptDraw prompts;
};

} // namespace Sequoiausher::Lab
