#pragma once

// Estimates which routers answer, by SWIM's suspicion with refutation. The estimate only saves time; no safety property
// depends on it.
//
//     Reachability reachability(self, 7, Millis{3000});
//     reachability.suspect(now, peer);               // probes went unanswered
//     reachability.tick(now);                        // after 3 s without refutation: unreachable
//     reachability.confirmAlive(peer);               // a message came: reachable again

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/membershipmessages.h"

#include <memory>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** Not thread-safe. Source: Das, Gupta and Motivala, "SWIM", 2002. */
class Reachability
{
public:
    /** @param suspicionTimeout how long a suspected router has to refute the suspicion. */
    Reachability(const InstanceId &self, Incarnation incarnation, Millis suspicionTimeout);
    ~Reachability();

    /** Sets the known routers. New ones count as reachable; routers that are not in the list are dropped. */
    void setListed(const std::vector<InstanceId> &listed);

    /** Sets the incarnation that the router announced; one later than known clears every suspicion of the router. */
    void setIncarnation(const InstanceId &instance, Incarnation incarnation);

    /** Starts a suspicion of a listed router, whose probes went unanswered. */
    void suspect(Millis now, const InstanceId &instance);

    /**
     * Makes a router reachable, because a message came directly from it. This holds on this router alone: the suspicion
     * itself is refuted by the suspected router.
     */
    void confirmAlive(const InstanceId &instance);

    /** Merges news from gossip. Newer news is stored and sent on; a suspicion of this router itself is refuted. */
    void merge(Millis now, const ReachNews &news);

    /** Makes routers unreachable whose suspicions were not refuted in time. */
    void tick(Millis now);

    /**
     * Stops the timers of all suspicions; for use after a pause of this process, which may itself have caused the
     * unanswered probes and expired suspicions.
     */
    void stopSuspicionTimers();

    bool isReachable(const InstanceId &instance) const;
    /** Returns the listed routers that are not reachable. */
    std::vector<InstanceId> unreachable() const;

    /** Returns the suspicion of instance, if there is one. Send it to instance, which can then refute it. */
    std::optional<ReachNews> suspicionOf(const InstanceId &instance) const;

    /** Returns at most count news items for one message; each item is sent at most sendLimit times. */
    std::vector<ReachNews> takeNews(std::size_t count, std::uint32_t sendLimit);

    /** Returns the routers whose isReachable() changed since the last call. */
    std::vector<InstanceId> takeChanged();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
