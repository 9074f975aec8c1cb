#include "sequoiausher/coordination/gateway/loadshedder.h"

#include <algorithm>
#include <cmath>

namespace Sequoiausher {

namespace {

/**
 * The fraction of the aim that answers should take under overload. The rest is left for answers that take longer than
 * the median. Aim times this fraction is called the aimed time below. In a simulation, 840 requests a second for a
 * service that can serve 560 give 0.63 of the answers in time with this fraction and with half of the aim, and 0.57
 * with four fifths. With two targets left for 314 requests a second, this fraction gives 0.96 and half of the aim 0.94.
 */
constexpr double aimFraction = 0.6;
/**
 * The pressure that one second of answers with twice the aimed time adds. The gain is per second and not per answer, so
 * that a gateway with seventy answers a second reacts no faster than one with seven, since both see the same queues. A
 * gateway that reacted faster than the queues fill and empty would oscillate between too much and too little shedding.
 */
constexpr double gainPerSecond = 0.7;
/** An answer is weighted by the time since the previous one, but by no more than this. */
constexpr Millis maxAnswerInterval{300};
/** The time of one answer is capped at this multiple of the aimed time. */
constexpr double maxLatencyRatio = 3;
constexpr double msPerSecond = 1000;
/** A rejection by a full target counts as an answer that exceeds the aimed time by this multiple of it. */
constexpr double rejectionExcess = 1;
/** Without answers the pressure falls to about a third in this time, since overloads pass within seconds. */
constexpr Millis decayTime{3000};
/** This fraction of each class is always admitted, to detect the end of the overload and to prevent starvation. */
constexpr double minAdmittedFraction = 0.1;
/** The pressure at which shedding of each class starts: the least urgent class is shed before the others. */
constexpr double backgroundOnset = 0;
constexpr double interactiveOnset = 0.9;
constexpr double urgentOnset = 1.8;
constexpr double maxPressure = urgentOnset + 1;
/**
 * The pressure on a request that is late already is multiplied by this, so that its place serves a caller that can
 * still be answered in time. In the same simulation, 840 requests a second for a service that can serve 560 give 0.52
 * of the answers in time without it and 0.63 with it.
 */
constexpr double lateWeight = 3;

double onsetOf(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Urgent:
        return urgentOnset;
    case RequestClass::Interactive:
        return interactiveOnset;
    default:
        return backgroundOnset;
    }
}

} // namespace

double LoadShedder::decayedPressure(const PoolId &service, Millis now) const
{
    const auto found = this->pressures.find(service);
    if (found == this->pressures.end()) {
        return 0;
    }
    const auto since = static_cast<double>(std::max(now - found->second.at, Millis{0}).count);
    return found->second.value * std::exp(-since / static_cast<double>(decayTime.count));
}

void LoadShedder::addExcess(const PoolId &service, double excess, Millis now)
{
    const auto found = this->pressures.find(service);
    const Millis since = found != this->pressures.end() ? now - found->second.at : maxAnswerInterval;
    const auto seconds = static_cast<double>(std::clamp(since, Millis{0}, maxAnswerInterval).count) / msPerSecond;
    const double value = this->decayedPressure(service, now) + excess * gainPerSecond * seconds;
    this->pressures[service] = {std::clamp(value, 0.0, maxPressure), now};
}

void LoadShedder::recordAnswer(const PoolId &service, const AnswerTime &answer, Millis now)
{
    const double aimed = std::max(static_cast<double>(answer.aim.count) * aimFraction, 1.0);
    const double excess = std::min(static_cast<double>(answer.took.count) / aimed, maxLatencyRatio) - 1;
    // A service that is slow without a queue does not become faster with fewer requests.
    if (excess <= 0 || answer.isCrowded) {
        this->addExcess(service, excess, now);
    }
}

void LoadShedder::recordRejection(const PoolId &service, Millis now)
{
    this->addExcess(service, rejectionExcess, now);
}

double LoadShedder::admittedFraction(const PoolId &service, SheddingRank rank, Millis now) const
{
    const double effectivePressure = std::max(this->decayedPressure(service, now) - onsetOf(rank.requestClass), 0.0);
    return std::max(1 - effectivePressure * (rank.isLate ? lateWeight : 1), minAdmittedFraction);
}

SheddingDecision LoadShedder::decideAdmission(const PoolId &service, SheddingRank rank, double draw, Millis now) const
{
    const double fraction = this->admittedFraction(service, rank, now);
    return {draw < fraction, fraction};
}

} // namespace Sequoiausher
