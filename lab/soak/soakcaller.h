#pragma once

// One caller of the soak: it keeps its connection for as long as the gateway does, sends one request after the other,
// sometimes leaves early, and tells the judge what it gets.
//
//     SoakCaller caller(3, judge, entry, seed);
//     caller.tick(now);

#include "lab/soak/soakjudge.h"
#include "platform/standindialect.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** A gateway as callers reach it. */
struct SoakEntry
{
    std::size_t gateway = 0;
    std::uint64_t life = 0;
    std::string address;
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

/** See above. Needs a running event loop. */
class SoakCaller
{
public:
    /** @param pick the gateway to which a new connection goes; nothing where none takes any. */
    SoakCaller(std::uint32_t number,
               SoakJudge &judge,
               const SoakOffer &offer,
               std::function<std::optional<SoakEntry>()> pick,
               std::uint64_t seed);

    /** Lets it send no more. */
    void rest();
    void tick(Millis now);

private:
    void send(Millis now);
    SoakCall nextCall(Millis now);
    void finish(Millis now);
    void drop();
    std::int64_t between(std::int64_t least, std::int64_t most);

    std::uint32_t number;
    SoakJudge &judge;
    const SoakOffer &offer;
    std::function<std::optional<SoakEntry>()> pick;
    std::mt19937_64 random;
    std::uint64_t calls = 0;
    bool isResting = false;
    SoakEntry entry;
    std::unique_ptr<FakeCaller> connection;
    /** The attempt in progress. */
    std::optional<SoakCall> current;
    Millis nextAt;
    Millis leaveAt;
    Millis idleSince;
};

} // namespace Sequoiausher::Lab
