#include "sequoiausher/coordination/gateway/targethealthscore.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** The weight of one outcome in the moving average, which covers about ten outcomes. */
constexpr double outcomeWeight = 0.15;
/** Plain services fail one request in seven when nothing is wrong; a failure rate above this one has another cause. */
constexpr double ejectionFailureRate = 0.55;
/**
 * Two requests without a complete answer and no success between them are no coincidence: normally fewer than 1 in 1000
 * requests gets no complete answer.
 */
constexpr std::uint32_t ejectionHeavyFailureCount = 2;
/** The first ejection is long enough for a restart. */
constexpr Millis firstEjectionTime{400};
/**
 * Each further ejection lasts twice as long, up to 3,200 ms: with longer ones the capacity of a recovered target would
 * be missed.
 */
constexpr std::uint32_t maxEjectionDoublings = 3;
/** How long a peer's suspicion counts: until the peer's next report or the one after. */
constexpr Millis peerSuspicionTtl{500};

} // namespace

void TargetHealthScore::recordSuccess(Millis now)
{
    this->failureRate -= this->failureRate * outcomeWeight;
    this->heavyFailuresSinceSuccess = 0;
    this->ejections = 0;
    this->ejectedUntil = std::min(this->ejectedUntil, now);
    this->suspectedByPeersUntil = std::min(this->suspectedByPeersUntil, now);
}

void TargetHealthScore::recordFailure(Millis now, FailureWeight weight)
{
    this->failureRate += (1 - this->failureRate) * outcomeWeight;
    if (weight == FailureWeight::Heavy) {
        this->heavyFailuresSinceSuccess += 1;
    }
    if (this->isLosingAnswers() || this->failureRate > ejectionFailureRate) {
        this->eject(now);
    }
}

void TargetHealthScore::recordPeerSuspicion(Millis now)
{
    // This gateway's own good answers override the peer's suspicion: the fault may lie between the peer and the target.
    if (this->heavyFailuresSinceSuccess > 0 || this->failureRate > ejectionFailureRate / 2) {
        this->suspectedByPeersUntil = now + peerSuspicionTtl;
    }
}

void TargetHealthScore::eject(Millis now)
{
    if (now < this->ejectedUntil) {
        return;
    }
    this->ejectedUntil = now + firstEjectionTime * (std::int64_t{1} << std::min(this->ejections, maxEjectionDoublings));
    this->ejections += 1;
}

bool TargetHealthScore::isEjected(Millis now) const
{
    return this->isEjectedByOwnRequests(now) || now < this->suspectedByPeersUntil;
}

bool TargetHealthScore::isEjectedByOwnRequests(Millis now) const
{
    return now < this->ejectedUntil;
}

bool TargetHealthScore::isLosingAnswers() const
{
    return this->heavyFailuresSinceSuccess >= ejectionHeavyFailureCount;
}

} // namespace Sequoiausher
