#include "sequoiausher/coordination/gateway/targetreachability.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/**
 * Bypassed connections without a direct one between them that show that a service is cut off. One may be a lost packet.
 */
constexpr std::size_t cutOffBypasses = 2;
/** How long a target that was bypassed is reached through other gateways before it is tried directly again. */
constexpr Millis bypassTime{2000};
/** The interval between two probes of a service that is cut off, or out of reach. */
constexpr Millis probeInterval{500};
/** The interval between two probes of one suspected target. */
constexpr Millis suspicionInterval{1000};
/**
 * If one target cannot be reached, the next one is probed at once, so that requests need not find out whether others
 * can; if that cannot either, all others are.
 */
constexpr std::size_t suspiciousTargets = 2;
/** If so many targets cannot be reached one after the other, the others most likely cannot either. */
constexpr std::size_t outOfReachTargets = 6;

} // namespace

void TargetReachability::setTargets(const std::map<PoolId, std::set<TargetId>> &targets)
{
    std::erase_if(this->services, [&targets](const auto &entry) { return !targets.contains(entry.first); });
    for (const auto &[name, listed] : targets) {
        Service &service = this->services[name];
        service.targets = listed;
        const std::set<TargetId> &present = service.targets;
        const auto isGone = [&present](const TargetId &target) { return !present.contains(target); };
        std::erase_if(service.unreached, isGone);
        std::erase_if(service.suspected, isGone);
    }
    const auto isGone = [this](const auto &entry) {
        return std::none_of(this->services.begin(), this->services.end(), [&entry](const auto &service) {
            return service.second.targets.contains(entry.first);
        });
    };
    std::erase_if(this->bypassedUntil, isGone);
    std::erase_if(this->suspectedAt, isGone);
}

void TargetReachability::recordConnected(const PoolId &service, const TargetId &target, Millis /*now*/)
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return;
    }
    found->second.bypasses = 0;
    found->second.isCutOff = false;
    found->second.unreached.clear();
    this->bypassedUntil.erase(target);
}

void TargetReachability::recordBypassed(const PoolId &service, const TargetId &target, Millis now)
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return;
    }
    found->second.bypasses += 1;
    if (found->second.bypasses >= cutOffBypasses && !found->second.isCutOff) {
        found->second.isCutOff = true;
        found->second.lastProbeAt = now;
    }
    found->second.unreached.clear();
    this->bypassedUntil[target] = now + bypassTime;
    if (!found->second.isCutOff && !found->second.targets.empty()) {
        found->second.suspected.insert(nextTarget(found->second, target));
    }
}

void TargetReachability::recordUnreached(const PoolId &service, const TargetId &target, Millis now)
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.targets.contains(target)) {
        return;
    }
    Service &known = found->second;
    known.unreached.insert(target);
    const std::size_t probes = known.unreached.size() >= suspiciousTargets ? outOfReachTargets : 1;
    TargetId next = target;
    for (std::size_t i = 0; i < probes; ++i) {
        next = nextTarget(known, next);
        if (!known.unreached.contains(next)) {
            this->suspect(known, next, now);
        }
    }
}

void TargetReachability::recordAnswer(const PoolId &service)
{
    const auto found = this->services.find(service);
    if (found != this->services.end()) {
        found->second.unreached.clear();
    }
}

void TargetReachability::recordSilence(const PoolId &service, const TargetId &target, Millis now)
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || found->second.isCutOff || !found->second.targets.contains(target)) {
        return;
    }
    this->suspect(found->second, target, now);
}

void TargetReachability::suspect(Service &service, const TargetId &target, Millis now)
{
    const auto before = this->suspectedAt.find(target);
    if (before == this->suspectedAt.end() || now - before->second >= suspicionInterval) {
        this->suspectedAt[target] = now;
        service.suspected.insert(target);
    }
}

bool TargetReachability::isDirect(const PoolId &service, const TargetId &target, Millis now) const
{
    if (this->isCutOff(service)) {
        return false;
    }
    const auto bypassed = this->bypassedUntil.find(target);
    return bypassed == this->bypassedUntil.end() || now >= bypassed->second;
}

bool TargetReachability::isCutOff(const PoolId &service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.isCutOff;
}

bool TargetReachability::isOutOfReach(const Service &service)
{
    return !service.targets.empty() && service.unreached.size() >= std::min(service.targets.size(), outOfReachTargets);
}

bool TargetReachability::isOutOfReach(const PoolId &service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && isOutOfReach(found->second);
}

std::vector<PoolId> TargetReachability::cutOffServices() const
{
    std::vector<PoolId> all;
    for (const auto &[name, service] : this->services) {
        if (service.isCutOff) {
            all.push_back(name);
        }
    }
    return all;
}

TargetId TargetReachability::nextTarget(const Service &service, const TargetId &after)
{
    const auto next = service.targets.upper_bound(after);
    return next != service.targets.end() ? *next : *service.targets.begin();
}

std::vector<TargetReachability::Probe> TargetReachability::takeProbes(Millis now)
{
    std::vector<Probe> probes;
    for (auto &[name, service] : this->services) {
        const bool isDue = now - service.lastProbeAt >= probeInterval && !service.targets.empty();
        if (isDue && (service.isCutOff || isOutOfReach(service))) {
            service.lastProbeAt = now;
            service.lastProbed = nextTarget(service, service.lastProbed);
            // Where others reach the service, requests show that themselves.
            probes.push_back({name, service.lastProbed, !isOutOfReach(service)});
        }
        for (const TargetId &target : service.suspected) {
            probes.push_back({name, target, false});
        }
        service.suspected.clear();
    }
    return probes;
}

} // namespace Sequoiausher
