#pragma once

// Callers whose requests come at a rate that does not depend on how earlier ones fare, several at a time. Each request
// goes to a gateway that a hash of its caller chooses, so some gateways get more than others.
//
//     OpenLoad load(judge, offer, [](std::size_t gateway) { ... }, 7, seed);
//     load.setRate(160);
//     load.tick(now);

#include "lab/soak/calldraw.h"
#include "lab/soak/soakjudge.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace Sequoiausher::Lab {

/** See above. Needs a running event loop. */
class OpenLoad
{
public:
    /** The gateway if the balancer sends connections there. */
    using Entry = std::function<std::optional<SoakEntry>(std::size_t gateway)>;

    /** The judge and the offer outlive it. */
    OpenLoad(SoakJudge &judge, const SoakOffer &offer, Entry entry, std::size_t gateways, std::uint64_t seed);
    ~OpenLoad();

    void setRate(double perSecond);
    void setPrompts(const PromptDraw &prompts);
    /** So many of a hundred requests that are not served are sent again at once, whatever the gateway asked for. */
    void setImpatience(std::int64_t percent);
    void rest();
    void tick(Millis now);

private:
    struct Request;

    void sendGroup(Millis now);
    /** @param triesLeft how often it may be sent again. */
    void send(int triesLeft, Millis now);
    std::optional<SoakEntry> pickEntry();
    /** Whether the request is over. */
    bool isOver(Request &request, Millis now);
    void finish(Request &request, Millis now);

    SoakJudge &judge;
    Entry entry;
    CallDraw draw;
    std::mt19937_64 random;
    std::vector<double> weights;
    double perSecond = 0;
    std::int64_t impatientPercent = 0;
    bool isResting = false;
    Millis nextGroupAt;
    std::vector<std::unique_ptr<Request>> open;
    /** Requests to send again, by time, with the tries that they have left. */
    std::multimap<Millis, int> returning;
    struct IdleConnection
    {
        std::unique_ptr<FakeCaller> connection;
        Millis since;
    };
    /** Connections between two requests, by gateway. */
    std::map<std::size_t, std::vector<IdleConnection>> idle;
};

} // namespace Sequoiausher::Lab
