#pragma once

// Gateways that report crashes to each other with delays and lose some of their reports, for tests. Small fleets report
// all to all; larger ones through hubs.
//
//     CrashReportNetwork network(7, 0, seed);
//     network.gateways[2]->recordTargetEnded(target, now);
//     network.pass(now);

#include "sequoiausher/coordination/gateway/crashjudge.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Sequoiausher {

/** See above. */
class CrashReportNetwork
{
public:
    static constexpr Millis reportInterval{300};

    /** @param hubCount 0 where all gateways report to all. */
    CrashReportNetwork(std::size_t gatewayCount,
                       std::size_t hubCount,
                       std::uint64_t seed,
                       CrashJudgement judgement = CrashJudgement::Kept);

    /** Sends the reports that are due and delivers those that have arrived. */
    void pass(Millis now);
    /** Replaces the gateway by one that has no memory. */
    void restart(std::size_t gateway, Millis now);
    /** Whether the gateway takes requests: a peer has replied since its start, or it has waited for long enough. */
    bool isReady(std::size_t gateway, Millis now) const;
    std::int64_t between(std::int64_t least, std::int64_t most);
    std::size_t anyGateway();

    std::vector<std::unique_ptr<CrashJudge>> gateways;
    /** The most entries that one report had. */
    std::size_t mostEntries = 0;

private:
    struct Message
    {
        Millis at;
        std::size_t from = 0;
        std::size_t to = 0;
        CrashNews news;
        std::size_t senderLife = 0;
        /** The last life of the receiver from which the sender has received a report; 0 for none. */
        std::size_t echoedLife = 0;
    };

    bool reportsTo(std::size_t from, std::size_t to) const;
    UpdateScope scopeOf(std::size_t from, std::size_t to) const;
    UpdateScope mergeScopeOf(std::size_t from, std::size_t at) const;

    std::size_t hubs;
    CrashJudgement way;
    /** What a gateway has received since it started: of each other one, the life in which that last reported. */
    std::vector<std::map<std::size_t, std::size_t>> received;
    /** Counts the starts of each gateway. */
    std::vector<std::size_t> lives;
    std::vector<bool> hasReply;
    std::vector<Millis> readyAt;
    std::vector<Millis> nextReport;
    std::deque<Message> underway;
    std::mt19937_64 random;
};

} // namespace Sequoiausher
