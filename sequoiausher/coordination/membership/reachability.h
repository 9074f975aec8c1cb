#pragma once

// Which routers seem to answer: SWIM's suspicion with refutation. A guess that saves time and decides no safety.
//
//     Reachability reachability({self, 7}, Millis{3000});
//     reachability.suspect(now, peer);               // probes went unanswered
//     reachability.tick(now);                        // after 3 s without refutation: unreachable
//     reachability.confirmAlive(peer);                  // a message came: reachable again

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
    /** @param suspicionTimeout how long a suspected router has to refute. */
    Reachability(const InstanceId &self, Incarnation incarnation, Millis suspicionTimeout);
    ~Reachability();

    /** The routers to keep; new ones count as reachable, others are forgotten. */
    void setListed(const std::vector<InstanceId> &listed);

    /** The life that the router itself told of; a later one than known starts without suspicion. */
    void setIncarnation(const InstanceId &instance, Incarnation incarnation);

    /** Probes of a listed router went unanswered. */
    void suspect(Millis now, const InstanceId &instance);

    /** A message came directly from it: what is said against it is false for this router. */
    void confirmAlive(const InstanceId &instance);

    /** News from gossip; newer news is kept and told on. Suspicion of this router itself is refuted. */
    void merge(Millis now, const ReachNews &news);

    /** Suspicions that were not refuted in time make their routers unreachable. */
    void tick(Millis now);

    /** This process slept: unanswered probes and expired suspicions may be its own fault, so none is acted on. */
    void discardSuspicions();

    bool isReachable(const InstanceId &instance) const;
    /** The listed routers that are not reachable. */
    std::vector<InstanceId> unreachable() const;

    /** What is said of instance, where that is a suspicion: it should hear of it, to refute. */
    std::optional<ReachNews> suspicionOf(const InstanceId &instance) const;

    /** At most count pieces of news for one message. */
    std::vector<ReachNews> takeNews(std::size_t count, std::uint32_t sendLimit);

    /** Routers of which isReachable() changed since the last call. */
    std::vector<InstanceId> takeChanged();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
