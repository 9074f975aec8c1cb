#pragma once

// The entry's side of admission: gets a target for each request from the shard's owner, keeps the owners told of what
// this router holds, and decides alone, within its share, while an owner cannot be reached.
//
//     reserver.reserve(now, PlacementRequest{request, pool, chatHash, PolicyKind::BoundedRendezvous, 125, {}}, outbox);
//     reserver.receive(now, from, reply, outbox);
//     for (const ReserveResult &result : reserver.takeResults()) { dispatch or refuse }
//     reserver.release(now, request, outbox);            // at the end, or when the target turned out unusable
//
// On the wire, each try to reserve has an id of its own, derived from the request's: a release of the first try, late
// or repeated, cannot undo the second. Messages to this router itself go through the outbox like all others.

#include "sequoiausher/coordination/admission/placementrequest.h"
#include "sequoiausher/coordination/admission/shardmap.h"
#include "sequoiausher/coordination/messages/peermessage.h"

namespace Sequoiausher {

struct ReserverSettings
{
    /** How long an owner may take to answer before it is asked once more. */
    Millis replyTimeout{250};
    /** How long to wait before asking again where lists disagree about the owner. */
    Millis notOwnerDelay{50};
    /**
     * How long one reservation follows an owner that moves, before this router decides alone. Shorter than the dispatch
     * window of a claim, which runs meanwhile.
     */
    Millis redirectTimeout{400};
    /** How often one reservation is asked for without an answer. */
    std::uint32_t maxAttempts = 3;
    /** How long an owner that did not answer is not asked. */
    Millis unreachableTime{1000};
    Millis reportInterval{5000};
    /** Whether digests go in place of reports to owners that take them. */
    bool sendsDigests = true;
    /** Loads older than this are not acted on alone. */
    Millis reportedLoadTtl{3000};
    /** What is told to a request refused because the owner could not be reached. */
    Millis retryAfter{1000};

    bool operator==(const ReserverSettings &) const = default;
};

enum class ReserveOutcome {
    Granted,
    /** By this router alone, within its share. */
    GrantedLocally,
    /** Every target is at its bound or capacity. */
    Full,
    /** There is no target that could be used. */
    NoTarget,
    /** The owner cannot be reached and this router's share is used up. */
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

/** What became of a wanted request. */
struct ReserveResult
{
    RequestId request;
    ReserveOutcome outcome = ReserveOutcome::Unreachable;
    /** Set where granted. */
    TargetId target;
    /** Set where refused. */
    Millis retryAfter;

    bool operator==(const ReserveResult &) const = default;
};

/** The reservations of one router. */
class Reserver
{
public:
    /**
     * @param map must outlive this; after each change to it call handleMapChange().
     * @param incarnation orders the reports of this life of the router after those of earlier ones.
     */
    Reserver(InstanceId self,
             Incarnation incarnation,
             const ReserverSettings &settings,
             std::uint64_t seed,
             const ShardMap &map);
    ~Reserver();
    Reserver(const Reserver &) = delete;
    Reserver &operator=(const Reserver &) = delete;

    /** Starts a reservation; what the request held or asked for before is released. Ends in one result. */
    void reserve(Millis now, const PlacementRequest &wanted, Outbox &outbox);

    /** Lets the request's target go, or gives up asking. A request that holds nothing is ignored. */
    void release(Millis now, const RequestId &request, Outbox &outbox);

    void receive(Millis now, const InstanceId &from, const ReserveReply &message, Outbox &outbox);

    /** The owner takes digests in place of reports, or wants the report that a digest stood for. */
    void receive(const InstanceId &from, const HoldingsAnswer &message, Outbox &outbox);

    /** The map changed: new owners are told at once, and what was asked of an owner that is none is asked anew. */
    void handleMapChange(Millis now, Outbox &outbox);

    /** The connection to the router broke and could not be renewed: do not wait for its answers. */
    void markPeerUnreachable(Millis now, const InstanceId &peer, Outbox &outbox);

    /** A connection to the router stands again: it may be asked. */
    void markPeerReachable(const InstanceId &peer);

    /** A target's load, needed only for targets in targetsNeedingLoad(). */
    void recordLoad(const TargetId &target, const ReportedLoad &load);

    /**
     * The targets whose load this router should ask for, as it may have to place requests on them alone: those of
     * owners that cannot be reached, and of owners that have left a question without an answer.
     */
    std::vector<TargetView> targetsNeedingLoad(Millis now) const;

    /** Time-outs and reports. */
    void tick(Millis now, Outbox &outbox);
    /** When tick() has work next. */
    Millis nextDeadline() const;

    /** The results since the last call. */
    std::vector<ReserveResult> takeResults();

    /** How many reservations are held. */
    std::size_t held() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
