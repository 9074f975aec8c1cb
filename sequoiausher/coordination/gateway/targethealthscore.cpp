#include "sequoiausher/coordination/gateway/targethealthscore.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** What one more outcome weighs in the share: some ten outcomes are remembered. */
constexpr double outcomeWeight = 0.15;
/** Plain services fail one request in seven when nothing is wrong; a share above this is something else. */
constexpr double avoidedShare = 0.55;
/** Two requests without an answer, one after the other, are no chance: in calm times fewer than 1 in 1000 has none. */
constexpr std::uint32_t avoidedRow = 2;
/** The first pause lets a restart pass; pauses double up to the longest, after which a recovered target is missed. */
constexpr Millis firstPause{400};
constexpr std::uint32_t mostDoublings = 3;
/** A peer's word holds until its next report or the one after. */
constexpr Millis peersPause{500};

} // namespace

void TargetHealthScore::succeeded(Millis now)
{
    this->share -= this->share * outcomeWeight;
    this->inARow = 0;
    this->pauses = 0;
    this->avoidedUntil = std::min(this->avoidedUntil, now);
}

void TargetHealthScore::failed(Millis now, FailureWeight weight)
{
    this->share += (1 - this->share) * outcomeWeight;
    if (weight == FailureWeight::Heavy) {
        this->inARow += 1;
    }
    if (this->inARow >= avoidedRow || this->share > avoidedShare) {
        this->avoid(now);
    }
}

void TargetHealthScore::suspectedByPeer(Millis now)
{
    // One's own good answers go before a peer's word: the fault may lie between the peer and the target.
    if (this->inARow > 0 || this->share > avoidedShare / 2) {
        this->avoidedUntil = std::max(this->avoidedUntil, now + peersPause);
    }
}

void TargetHealthScore::avoid(Millis now)
{
    if (now < this->avoidedUntil) {
        return;
    }
    this->avoidedUntil = now + firstPause * (std::int64_t{1} << std::min(this->pauses, mostDoublings));
    this->pauses += 1;
}

bool TargetHealthScore::isAvoided(Millis now) const
{
    return now < this->avoidedUntil;
}

} // namespace Sequoiausher
