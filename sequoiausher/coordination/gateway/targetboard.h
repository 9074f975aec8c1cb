#pragma once

// The targets of all services with what this gateway knows of their load and health, and the choice among them. Load is
// what this gateway has in flight, exactly, and what its peers last said they have.
//
//     TargetBoard board(seed);
//     board.setTargets(list.targets(), now);
//     const auto chosen = board.choose(criteria, now);
//     board.started(chosen->target.id);
//     board.ended(chosen->target.id, TargetOutcome::Answered, now);

#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/coordination/gateway/targethealthscore.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"
#include "sequoiausher/coordination/rules/decision.h"

#include <memory>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** How a request to a target ended, as far as it tells of the target. */
enum class TargetOutcome {
    /** Answered well. */
    Answered,
    /** Answered with a failure of its own. */
    Failed,
    /** No answer, or one that was cut or spoilt. */
    Lost,
    /** Full: it did not run the request. */
    Full,
    /** Nothing that tells of the target, such as a caller that left. */
    Neutral,
};

/** What a request needs of its target. */
struct TargetCriteria
{
    PoolId service;
    PolicyKind policy = PolicyKind::BoundedRendezvous;
    std::uint32_t boundPercent = 150;
    /** Stands for the part of the prompt that the request most likely finds cached; any hash where it has none. */
    std::uint64_t partHash = 0;
    /** Stands for the first part of the prompt; 0 where it has none. */
    std::uint64_t firstPartHash = 0;
    /** Targets that have read that part, the preferred one first. */
    std::vector<TargetId> holders;
    /** Differs from request to request. */
    std::uint64_t requestHash = 0;
    /** Where the request was sent before. */
    std::vector<TargetId> excluded;
};

/** The choice with the figures that decided it. */
struct ChosenTarget
{
    GatewayTarget target;
    std::uint32_t inFlight = 0;
    /** Over all targets of the service. */
    std::uint64_t total = 0;
    std::size_t usable = 0;
};

/** Loads and health. Not thread-safe. */
class TargetBoard
{
public:
    explicit TargetBoard(std::uint64_t seed);
    ~TargetBoard();

    /** Replaces the list; the loads of targets that stay are kept. */
    void setTargets(const std::vector<GatewayTarget> &targets, Millis now);
    /** What a peer has in flight; replaces what it said before. */
    void updatePeerLoads(const InstanceId &peer, const std::vector<GatewayLoad> &loads, Millis now);

    /** Forgets what all other peers said: peer speaks for them from now on. */
    void forgetOtherPeers(const InstanceId &peer);

    /** How many gateways choose targets beside this one. */
    void setOtherGateways(std::size_t count);

    /** A target for the request; none where the service has none that may be used. */
    std::optional<ChosenTarget> choose(const TargetCriteria &criteria, Millis now);

    /** Of the targets that hold a part, a sound one with the fewest requests, to copy the part from. */
    std::optional<GatewayTarget> findCopySource(const std::vector<TargetId> &holders, Millis now);

    /** A request goes to the target. */
    void recordStart(const TargetId &target);
    /** The target sent something, to whichever request. */
    void recordActivity(const TargetId &target, Millis now);
    /** When it last did; 0 for never. */
    Millis lastActivity(const TargetId &target) const;
    /**
     * The target itself says that it leaves. That holds for this life of it whatever the store says: the store may be
     * away, or behind. @return whether that is new.
     */
    bool markLeaving(const TargetId &target, Millis now);
    /**
     * The target turned a request away and wants none until then: it gets none, however few others there are. Of
     * several such words the longest holds, up to an hour.
     */
    void setBackoff(const TargetId &target, Millis until, Millis now);
    /** Where all targets of the service that may be chosen want no request: how long until the first does. */
    std::optional<Millis> remainingBackoff(const PoolId &service, Millis now) const;
    /** A request that the target answered took so long there. */
    void recordAnswerTime(const TargetId &target, Millis elapsed);
    /** It is over there. */
    void recordEnd(const TargetId &target, TargetOutcome outcome, Millis now);

    /** A round of reports goes out: counts begin anew of what peers have not heard. */
    void beginRound();
    /** What this gateway has in flight. */
    std::vector<GatewayLoad> ownLoads(Millis now) const;
    /** The same with what all peers but some have. */
    std::vector<GatewayLoad> loads(const std::vector<InstanceId> &without, Millis now);
    /** The platform lists another life under the target's name: what this one was sent is lost. */
    bool isReplaced(const GatewayTarget &target) const;
    /** The list has it, in this life; it may be leaving. */
    bool isListed(const TargetId &target) const;
    /** The same, and neither the store nor the target says that it leaves. */
    bool isEligible(const TargetId &target) const;
    std::size_t targetCount(const PoolId &service) const;
    /** Requests in flight at the service's targets, and the places that these have. */
    std::uint64_t inFlight(const PoolId &service, Millis now) const;
    std::uint64_t totalSlots(const PoolId &service) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
