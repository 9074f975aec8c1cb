#include "sequoiausher/coordination/gateway/loadshedder.h"

#include <algorithm>
#include <cmath>

namespace Sequoiausher {

namespace {

/**
 * The part of the aim that answers should take under overload. The rest is for those that take longer than the middle
 * one. By plainservicemodel, 840 requests a second for 560: 0.63 in time with half of the aim and with this, 0.57 with
 * four fifths; with two targets left for 314, 0.94 with half, 0.96 with this.
 */
constexpr double aimFraction = 0.6;
/**
 * How much a second of answers that take twice the aimed time adds. By time and not by answer, so that a gateway with
 * seventy answers a second goes no faster than one with seven: both see the same queues, and were it faster than these
 * fill and empty, it would shed too much and too little by turns.
 */
constexpr double gainPerSecond = 0.7;
/** An answer stands for the time since the one before it, but for no more than this. */
constexpr Millis maxAnswerInterval{300};
/** One answer counts as no more than so many times the aimed time. */
constexpr double maxLatencyRatio = 3;
constexpr double msPerSecond = 1000;
/** A target's word that it is full counts as an answer that took so much more than the aimed time. */
constexpr double rejectionExcess = 1;
/** Where nothing is heard the pressure falls to a third in so long: overloads pass within seconds. */
constexpr Millis decayTime{3000};
/** So much of each class always goes on, to learn when the overload is over, and so that none starves. */
constexpr double minAdmittedPart = 0.1;
/** What the classes feel of the pressure: the least urgent one gives way before the others lose anything. */
constexpr double backgroundOnset = 0;
constexpr double interactiveOnset = 0.9;
constexpr double urgentOnset = 1.8;
constexpr double maxPressure = urgentOnset + 1;
/**
 * A request that is late already feels the pressure so many times: its place serves a caller who can still be
 * recordAnswer in time. Without this 0.52 of 840 requests a second for 560 are in time, with it 0.63, by
 * plainservicemodel.
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
    // A service that is slow without a queue answers no sooner for being asked less.
    if (excess <= 0 || answer.isCrowded) {
        this->addExcess(service, excess, now);
    }
}

void LoadShedder::recordRejection(const PoolId &service, Millis now)
{
    this->addExcess(service, rejectionExcess, now);
}

double LoadShedder::admittedPart(const PoolId &service, SheddingRank rank, Millis now) const
{
    const double effectivePressure = std::max(this->decayedPressure(service, now) - onsetOf(rank.requestClass), 0.0);
    return std::max(1 - effectivePressure * (rank.isLate ? lateWeight : 1), minAdmittedPart);
}

SheddingDecision LoadShedder::decideAdmission(const PoolId &service, SheddingRank rank, double draw, Millis now) const
{
    const double part = this->admittedPart(service, rank, now);
    return {draw < part, part};
}

} // namespace Sequoiausher
