#pragma once

// What one gateway knows of one target: its entry, its load as this gateway and its peers count it, and its health.
// TargetBoard keeps these; the components that decide about a target only read them.

#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/coordination/gateway/targethealthscore.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** How requests count that have waited for long at a target that loses answers. */
struct OverdueRequests
{
    Millis after{400};
    /**
     * The part of each such request that counts as load, because it is unknown whether it still runs. With 1 the
     * targets that answer get too many requests, with 0 those that lose answers do.
     */
    double weight = 0.4;
};

/** The state of one target. */
struct TargetState
{
    GatewayTarget target;
    std::uint64_t hash = 0;
    std::uint32_t ownInFlight = 0;
    /** The same, where requests whose answers are most likely lost count in part. */
    std::uint32_t ownLoad = 0;
    /**
     * When the requests in flight of this gateway were sent, oldest first. The oldest is taken to end first, so that no
     * request counts as older than it is.
     */
    std::deque<Millis> ownSends;
    /** The sum of the peers' reported requests. */
    std::uint32_t peersInFlight = 0;
    /** Those of peersInFlight that peers reported whose links have broken since. */
    std::uint32_t lostPeersInFlight = 0;
    /** Peers whose last reports state that they, or the gateways that they report for, have ejected the target. */
    std::uint32_t peersSuspecting = 0;
    /** Peers whose last reports state that another target answers at this one's address. */
    std::uint32_t peersMisdirected = 0;
    /** Until when this gateway takes the target for gone, by an answer that it got itself. */
    Millis misdirectedUntil;
    /** Requests sent by this gateway since the last round of reports, in which gateways got each other's loads. */
    std::uint32_t sentSinceReport = 0;
    /** The sequence number of the last request sent to the target, among all requests of this gateway; 0 for none. */
    std::uint64_t lastSentNumber = 0;
    /** The moving average of the answer time; 0 before the first answer. */
    double averageAnswerMs = 0;
    /** The moving average of the load in the last rounds; absent before the first round. */
    std::optional<double> averageLoad;
    TargetHealthScore health;
    Millis fullUntil;
    /** No request is sent to the target before this time. */
    Millis backoffUntil;
    Millis lastActivityAt;
    bool isListed = true;
    /** The target itself announced that it leaves. */
    bool hasAnnouncedLeaving = false;
    /** The region of the target's data centre; empty if the settings do not state it. */
    RegionId region;
    /** The target's data centre is under evacuation. */
    bool isEvacuated = false;
    /** The target is cold before this time, by its entry or a peer's report. */
    Millis coldUntil;
    /** Before this time the target is taken for cold, because its entry may not state it yet. */
    Millis presumedColdUntil;
    /** When this gateway sent its last requests to the target, those of the last second at least, oldest first. */
    std::vector<Millis> recentSends;
    /** When the target rejected requests of this gateway for want of room, those of the last second at least. */
    std::vector<Millis> recentRejections;

    bool isCold(Millis now) const
    {
        return now < this->coldUntil || now < this->presumedColdUntil;
    }
    /** Whether another target answers at this one's address, by this gateway's or a peer's request. */
    bool isMisdirected(Millis now) const
    {
        return now < this->misdirectedUntil || this->peersMisdirected > 0;
    }
    /** The load by this gateway and, by their last reports, by its peers. */
    std::uint32_t inFlight() const
    {
        return this->ownLoad + this->peersInFlight;
    }
    /** Brings ownLoad up to date. */
    void updateOwnLoad(const OverdueRequests &overdue, Millis now)
    {
        this->ownLoad = this->estimateOwnLoad(overdue, now);
    }
    std::uint32_t estimateOwnLoad(const OverdueRequests &overdue, Millis now) const
    {
        if (!this->health.isLosingAnswers()) {
            return this->ownInFlight;
        }
        const auto end = std::upper_bound(this->ownSends.begin(), this->ownSends.end(), now - overdue.after);
        const auto late = static_cast<double>(end - this->ownSends.begin());
        return static_cast<std::uint32_t>(std::lround(this->ownInFlight - late * (1 - overdue.weight)));
    }
    /** Requests that this gateway sent to the target within the span before now. */
    std::size_t sentWithin(Millis span, Millis now) const
    {
        return countSince(this->recentSends, now - span);
    }
    std::size_t rejectedWithin(Millis span, Millis now) const
    {
        return countSince(this->recentRejections, now - span);
    }

private:
    static std::size_t countSince(const std::vector<Millis> &times, Millis since)
    {
        return static_cast<std::size_t>(
            std::count_if(times.begin(), times.end(), [since](Millis at) { return at > since; }));
    }
};

} // namespace Sequoiausher
