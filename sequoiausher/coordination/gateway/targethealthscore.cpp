#include "sequoiausher/coordination/gateway/targethealthscore.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** What one more outcome weighs in the share: some ten outcomes are remembered. */
constexpr double outcomeWeight = 0.15;
/** Plain services fail one request in seven when nothing is wrong; a share above this is something else. */
constexpr double ejectionFailureRate = 0.55;
/** Two requests without an answer, one after the other, are no chance: in calm times fewer than 1 in 1000 has none. */
constexpr std::uint32_t ejectionFailureCount = 2;
/** The first pause lets a restart pass; pauses double up to the longest, after which a recovered target is missed. */
constexpr Millis firstEjectionTime{400};
constexpr std::uint32_t maxEjectionDoublings = 3;
/** A peer's word holds until its next report or the one after. */
constexpr Millis peerSuspicionTtl{500};

} // namespace

void TargetHealthScore::recordSuccess(Millis now)
{
    this->failureRate -= this->failureRate * outcomeWeight;
    this->consecutiveFailures = 0;
    this->ejections = 0;
    this->ejectedUntil = std::min(this->ejectedUntil, now);
}

void TargetHealthScore::recordFailure(Millis now, FailureWeight weight)
{
    this->failureRate += (1 - this->failureRate) * outcomeWeight;
    if (weight == FailureWeight::Heavy) {
        this->consecutiveFailures += 1;
    }
    if (this->consecutiveFailures >= ejectionFailureCount || this->failureRate > ejectionFailureRate) {
        this->eject(now);
    }
}

void TargetHealthScore::recordPeerSuspicion(Millis now)
{
    // One's own good answers go before a peer's word: the fault may lie between the peer and the target.
    if (this->consecutiveFailures > 0 || this->failureRate > ejectionFailureRate / 2) {
        this->ejectedUntil = std::max(this->ejectedUntil, now + peerSuspicionTtl);
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
    return now < this->ejectedUntil;
}

} // namespace Sequoiausher
