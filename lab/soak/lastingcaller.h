#pragma once

// A caller of the soak that keeps its connection until the gateway closes it, also through stops and reloads. It often
// leaves the connection idle for about as long as the limit allows, hears of a close as late as a slow link would tell
// it, and so sends requests that cross the close. Some take their answers slowly. It goes to the gateway's own socket,
// since only the gateway's kernel can say that a request was not read.
//
//     LastingCaller caller(3, judge, offer, pick, seed);
//     caller.tick(now);

#include "lab/soak/calldraw.h"
#include "lab/soak/soakjudge.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace Sequoiausher::Lab {

/** See above. */
class LastingCaller
{
public:
    /**
     * @param number every fourth reads slowly.
     * @param pick the gateway to which a new connection goes; nothing where none takes any.
     */
    LastingCaller(std::uint32_t number,
                  SoakJudge &judge,
                  const SoakOffer &offer,
                  std::function<std::optional<SoakEntry>()> pick,
                  std::uint64_t seed);

    /**
     * Has it send the next call as soon as the last one was answered, half of them long streams, and some bodies in
     * parts. What a gateway that stops has refused comes again after the time that it states.
     */
    void becomeBusy();
    /** Lets it send no more. */
    void rest();
    void tick(Millis now);

private:
    void look(Millis now);
    void lookIdle(Millis now);
    void connect(Millis now);
    SoakCall nextCall(Millis now);
    /** Plans the body of a call in parts. @return what is sent at once. */
    std::string splitBody(SoakCall &call, const std::string &bytes, Millis now);
    void sendParts(Millis now);
    void send(Millis now);
    void finish(Millis now, bool isUnread);
    Millis pause();

    SoakJudge &judge;
    std::function<std::optional<SoakEntry>()> pick;
    CallDraw draw;
    bool readsSlowly;
    bool isResting = false;
    bool isBusy = false;
    /** What a gateway has refused, to be sent again. */
    std::optional<SoakCall> refused;
    /** What is left to send of a body, each part at its time. */
    std::deque<std::pair<Millis, std::string>> parts;
    SoakEntry entry;
    std::unique_ptr<CrossingCaller> connection;
    bool hasAsked = false;
    /** The attempt in progress. */
    std::optional<SoakCall> current;
    Millis nextAt;
    Millis nextLook;
    Millis leaveAt;
    Millis idleSince;
    /** When the end of the connection came, and how much later this caller hears of it. */
    std::optional<Millis> endedAt;
    Millis hearsLate;
};

} // namespace Sequoiausher::Lab
