#pragma once

// One caller of the soak: it keeps its connection for as long as the gateway does, sends one request after the other,
// sometimes leaves early, and tells the judge what it gets.
//
//     SoakCaller caller(3, judge, entry, seed);
//     caller.tick(now);

#include "lab/soak/calldraw.h"
#include "lab/soak/soakjudge.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Sequoiausher::Lab {

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

    /** Takes streams that broke off up with further attempts. */
    void takeUpStreams();
    /** Sends large bodies at times. */
    void sendLargeBodies();
    /** Sends one soon. */
    void sendLargeBodySoon();
    /** Lets it send no more. */
    void rest();
    void tick(Millis now);

private:
    /** The next attempt: it takes up the stream that broke off last, or is a new request. */
    SoakCall nextCall(Millis now);
    /** Whether a stream broke off that a further attempt may take up. */
    void noteBroken(const SoakAnswer &answer);
    void send(Millis now);
    void finish(Millis now);
    void drop();

    std::uint32_t number;
    SoakJudge &judge;
    std::function<std::optional<SoakEntry>()> pick;
    CallDraw draw;
    bool isResting = false;
    bool takesUp = false;
    /** The stream to take up, as the attempt that does it. */
    std::optional<SoakCall> broken;
    int triesLeft = 0;
    SoakEntry entry;
    std::unique_ptr<FakeCaller> connection;
    /** The attempt in progress. */
    std::optional<SoakCall> current;
    Millis nextAt;
    Millis leaveAt;
    Millis idleSince;
};

} // namespace Sequoiausher::Lab
