#pragma once

// The entry's side of admission: reserves a target for each request at the shard's owner and reports to the owners what
// this router holds. While an owner cannot be reached, this router places requests without it, within its local share.
//
//     reserver.reserve(now, PlacementRequest{request, pool, chatHash, PolicyKind::BoundedRendezvous, 125, {}}, outbox);
//     reserver.receive(now, from, reply, outbox);
//     for (const ReserveResult &result : reserver.takeResults()) { dispatch or refuse }
//     reserver.release(now, request, outbox);            // at the end, or when the target turned out unusable
//
// On the wire, each reservation has its own id, derived from the request's id, and gets a new one when it moves to
// another shard or owner; a repeated send keeps the id. A late or repeated release of an earlier reservation therefore
// cannot undo a later one. Messages to this router itself go through the outbox like all others.

#include "sequoiausher/coordination/admission/placementrequest.h"
#include "sequoiausher/coordination/admission/shardmap.h"
#include "sequoiausher/coordination/messages/peermessage.h"

namespace Sequoiausher {

struct ReserverSettings
{
    /** How long an owner may take to answer before the request is sent again. */
    Millis replyTimeout{250};
    /** Delay before asking again while the routers' lists disagree about the owner. */
    Millis notOwnerDelay{50};
    /**
     * How long one reservation follows NotOwner answers before this router places the request locally. Must be shorter
     * than the dispatch window of a claim, which runs at the same time.
     */
    Millis redirectTimeout{400};
    /** How many times the request for one reservation may be sent without an answer. */
    std::uint32_t maxAttempts = 3;
    /** How long no requests are sent to an owner that did not answer. */
    Millis unreachableTime{1000};
    Millis reportInterval{5000};
    /** Whether owners that accept digests get digests instead of reports. */
    bool sendsDigests = true;
    /** Local placement ignores reported loads older than this. */
    Millis reportedLoadTtl{3000};
    /**
     * Retry delay of requests refused without an owner's decision, except those refused because giveUpAt has passed.
     */
    Millis retryAfter{1000};

    bool operator==(const ReserverSettings &) const = default;
};

enum class ReserveOutcome {
    Granted,
    /** Placed by this router without the owner, within its local share. */
    GrantedLocally,
    /** Every target is at its bound or capacity, or giveUpAt has passed. */
    Full,
    /** No target is live and usable for the request. */
    NoTarget,
    /**
     * No owner granted or refused the reservation, and local placement found no target: this router's local share is
     * used up, or no usable target has a recent load.
     */
    Unreachable,
};

template<>
inline constexpr auto nameTable<ReserveOutcome> = std::to_array<NameEntry<ReserveOutcome>>({
    {ReserveOutcome::Granted, "granted"},
    {ReserveOutcome::GrantedLocally, "granted-locally"},
    {ReserveOutcome::Full, "full"},
    {ReserveOutcome::NoTarget, "no-target"},
    {ReserveOutcome::Unreachable, "unreachable"},
});

/** The result of one reservation. */
struct ReserveResult
{
    RequestId request;
    ReserveOutcome outcome = ReserveOutcome::Unreachable;
    /** Set if granted. */
    TargetId target;
    /** Set if refused. */
    Millis retryAfter;

    bool operator==(const ReserveResult &) const = default;
};

/** The reservations of one router. */
class Reserver
{
public:
    /**
     * @param map must outlive this object; call handleMapChange() after each change of the map.
     * @param incarnation increases with each start of the router and orders its reports after those of earlier starts.
     */
    Reserver(InstanceId self,
             Incarnation incarnation,
             const ReserverSettings &settings,
             std::uint64_t seed,
             const ShardMap &map);
    ~Reserver();
    Reserver(const Reserver &) = delete;
    Reserver &operator=(const Reserver &) = delete;

    /**
     * Starts a reservation and releases the request's earlier one, if any. Each reservation ends in exactly one result
     * unless it is released before.
     */
    void reserve(Millis now, const PlacementRequest &placementRequest, Outbox &outbox);

    /** Releases the request's target or cancels its pending reservation. No effect if it has neither. */
    void release(Millis now, const RequestId &request, Outbox &outbox);

    void receive(Millis now, const InstanceId &from, const ReserveReply &message, Outbox &outbox);

    /** Handles an owner's answer that it accepts digests, or that it needs the full report after a digest. */
    void receive(const InstanceId &from, const HoldingsAnswer &message, Outbox &outbox);

    /** Call after each change of the map: reports to new owners at once and moves pending reservations to them. */
    void handleMapChange(Millis now, Outbox &outbox);

    /** Call when the connection to the router broke and could not be renewed: stops waiting for its answers. */
    void markPeerUnreachable(Millis now, const InstanceId &peer, Outbox &outbox);

    /** Call when a connection to the router is established again: the router may be asked at once. */
    void markPeerReachable(const InstanceId &peer);

    /** Records the load that a target reported. Needed only for targets in targetsNeedingLoad(). */
    void recordLoad(const TargetId &target, const ReportedLoad &load);

    /**
     * The targets whose load this router should query, since it may have to place requests on them without their owner:
     * targets of owners that cannot be reached, and of owners that have not answered a request in time.
     */
    std::vector<TargetView> targetsNeedingLoad(Millis now) const;

    /** Handles timeouts and sends reports. */
    void tick(Millis now, Outbox &outbox);
    /** When tick() has work next. */
    Millis nextDeadline() const;

    /** Returns the results since the last call. */
    std::vector<ReserveResult> takeResults();

    /** How many reservations are held. */
    std::size_t held() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
