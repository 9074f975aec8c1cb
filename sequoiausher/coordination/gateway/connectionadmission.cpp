#include "sequoiausher/coordination/gateway/connectionadmission.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Sequoiausher {

namespace {

/** A request passes through the loop several times, so it waits for a multiple of this. */
constexpr Millis maxLateness{50};
/** Below this there is time for more. */
constexpr Millis spareLateness{20};
/** A few late ticks, as after a large configuration, are no overload. */
constexpr std::size_t minLateTicks = 3;
/**
 * A crowded gateway takes more than this only step by step: how many it can serve shows only after it has taken them.
 */
constexpr double firstLimit = 100;
/** What the limit allows in this time may come at once. */
constexpr Millis burstTime{100};
constexpr double decrease = 0.85;
constexpr double increase = 1.01;
/** Some connections are always taken, since their requests show whether there is time again. */
constexpr double minPerSecond = 5;
/** The limit ends once so many ticks have passed without a connection closed because of it. */
constexpr std::size_t ticksUntilUnlimited = 50;
constexpr double averageWeight = 0.1;
constexpr double millisPerSecond = 1000;
/** A gateway is crowded if it carries this many times its equal share of the traffic. */
constexpr double crowdedShares = 2;
/** Beyond this part of the limit, connections close after their answers. */
constexpr std::size_t keptDenominator = 2;

} // namespace

ConnectionAdmission::ConnectionAdmission(const ConnectionAdmissionSettings &given) : settings(given)
{
}

void ConnectionAdmission::setMaxConnections(std::size_t connections)
{
    this->settings.maxConnections = connections;
}

void ConnectionAdmission::recordTick(Millis lateness, Millis now)
{
    const double interval = static_cast<double>(std::max<std::int64_t>((now - this->tickedAt).count, 1));
    this->tickedAt = now;
    const double taken = static_cast<double>(std::exchange(this->takenSinceTick, 0)) * millisPerSecond / interval;
    this->averagePerSecond += (taken - this->averagePerSecond) * averageWeight;
    this->lateTicks = lateness > maxLateness ? this->lateTicks + 1 : 0;
    if (this->perSecond) {
        this->adapt(lateness, taken);
    } else if (this->isCrowded && (this->averagePerSecond > firstLimit || this->lateTicks >= minLateTicks)) {
        this->perSecond = std::max(this->averagePerSecond, firstLimit);
        this->ticksBelowLimit = 0;
    }
    if (this->perSecond) {
        const double added = *this->perSecond * interval / millisPerSecond;
        const double most = *this->perSecond * static_cast<double>(burstTime.count) / millisPerSecond;
        this->credit = std::min(this->credit + added, std::max(most, added));
    }
}

void ConnectionAdmission::setCrowding(double shareOfTraffic, std::size_t gateways)
{
    this->isCrowded = gateways > 1 && shareOfTraffic * static_cast<double>(gateways) > crowdedShares;
}

bool ConnectionAdmission::hasRoom(std::size_t open) const
{
    return this->settings.maxConnections == 0 || open < this->settings.maxConnections;
}

bool ConnectionAdmission::admit(std::size_t open)
{
    if (!this->hasRoom(open)) {
        return false;
    }
    if (this->perSecond && this->credit <= 0) {
        this->isReached = true;
        return false;
    }
    this->credit -= this->perSecond ? 1 : 0;
    this->takenSinceTick += 1;
    return true;
}

bool ConnectionAdmission::mayKeepOpen(std::size_t open) const
{
    return this->settings.maxConnections == 0 || open <= this->settings.maxConnections / keptDenominator;
}

std::optional<double> ConnectionAdmission::limitPerSecond() const
{
    return this->perSecond;
}

void ConnectionAdmission::adapt(Millis lateness, double takenPerSecond)
{
    this->ticksBelowLimit = std::exchange(this->isReached, false) ? 0 : this->ticksBelowLimit + 1;
    if (this->ticksBelowLimit >= ticksUntilUnlimited || !this->isCrowded) {
        this->perSecond.reset();
    } else if (lateness > maxLateness) {
        this->perSecond = std::max(std::min(*this->perSecond, takenPerSecond) * decrease, minPerSecond);
    } else if (lateness < spareLateness) {
        this->perSecond = *this->perSecond * increase;
    }
}

} // namespace Sequoiausher
