#include "lab/soak/soakoperator.h"

#include <algorithm>

namespace Sequoiausher::Lab {

namespace {

constexpr Millis plainTime{1500};
constexpr Millis streamTime{3000};
/** Longer than the grace of a planned stop. */
constexpr Millis longStreamTime{15000};
constexpr Millis longGapAim{1000};
constexpr std::size_t organisationCount = 4;
/** Callers use a key that was taken away for as long as it is among the last so many. */
constexpr std::size_t offeredKeys = 8;
constexpr std::size_t lookRoute = 1;

GatewayRoute route(CallKind kind, const std::string &service)
{
    GatewayRoute one;
    one.name = std::string(nameOf(kind));
    one.host = "soak.example";
    one.pathPrefix = "/" + one.name + "/";
    one.kind = isStream(kind) ? RouteKind::Stream : isIdempotent(kind) ? RouteKind::Idempotent : RouteKind::AtMostOnce;
    one.isResumable = kind == CallKind::Chat;
    one.carriesPrompt = isStream(kind);
    one.timeout = isStream(kind) ? streamTime : plainTime;
    one.latencyAim = Millis{300};
    one.gapAim = isStream(kind) ? Millis{300} : Millis{0};
    one.mostTargets = isIdempotent(kind) ? 2 : 1;
    one.services = {{PoolId{service}, 1}};
    return one;
}

} // namespace

SoakOperator::SoakOperator(SoakStore &by, SoakJudge &with) : store(by), judge(with)
{
    this->configuration.routes = {route(CallKind::Job, "desk"),
                                  route(CallKind::Look, "desk"),
                                  route(CallKind::Chat, "llm"),
                                  route(CallKind::Note, "llm")};
    this->configuration.services = {{PoolId{"desk"}, 100}, {PoolId{"desk-b"}, 100}, {PoolId{"llm"}, 300}};
    for (std::size_t i = 0; i < organisationCount; ++i) {
        const std::string name = "org" + std::to_string(i);
        this->configuration.organisations.push_back({OrganisationId{name}, {name + "-key-0"}, std::nullopt});
        this->offered.keys.push_back({name, name + "-key-0"});
    }
    this->configuration.limits.idleTime = soakIdleTime;
}

void SoakOperator::publish()
{
    // Versions grow in uneven steps.
    this->configuration.revision += 1 + this->made % 3;
    this->made += 1;
    this->store.write(StandInDialect::configurationKey(), StandInDialect::configurationText(this->configuration));
    this->judge.configurationAcknowledged(this->configuration, Millis::monotonicNow());
}

void SoakOperator::limitCold(Millis coldTime, std::uint32_t requestsPerSecond)
{
    for (GatewayService &service : this->configuration.services) {
        service.coldTime = coldTime;
        service.coldRequestsPerSecond = requestsPerSecond;
    }
}

void SoakOperator::addLongStreams()
{
    for (const CallKind kind : {CallKind::Chat, CallKind::Note}) {
        GatewayRoute one = route(kind, "llm");
        one.name = "long-" + one.name;
        one.pathPrefix = longPathPrefix + std::string(nameOf(kind)) + "/";
        one.timeout = longStreamTime;
        one.gapAim = longGapAim;
        this->configuration.routes.push_back(one);
    }
    this->lastingRoutes = this->configuration.routes.size();
}

void SoakOperator::publishFirst()
{
    this->publish();
}

void SoakOperator::writeOddNames()
{
    // More than a page of the store: every list has to go on after some of them.
    for (const char *name :
         {"0%zz", "0&b=", "0+", "0#x", "0 x", "0%C3%A9", "0?x", "0\r\nX: y", "0/..", "0\"", "0\xC3\xA9", "0%00"}) {
        this->store.write(StandInDialect::targetKey(TargetId{name}), "{}");
    }
}

void SoakOperator::publishAgain()
{
    this->store.write(StandInDialect::configurationKey(), StandInDialect::configurationText(this->configuration));
}

void SoakOperator::addRoute()
{
    GatewayRoute extra = route(CallKind::Look, "desk-b");
    extra.name = "extra-" + std::to_string(this->made);
    extra.pathPrefix = "/" + extra.name + "/";
    this->configuration.routes.push_back(extra);
    this->offered.extraRoutes.push_back(extra.pathPrefix);
    this->publish();
}

void SoakOperator::dropRoute()
{
    // Callers go on asking for it, and must hear that it is gone.
    if (this->configuration.routes.size() > this->lastingRoutes) {
        this->configuration.routes.pop_back();
        this->publish();
    }
}

void SoakOperator::moveRoute()
{
    std::string &service = this->configuration.routes[lookRoute].services.front().service.value;
    service = service == "desk" ? "desk-b" : "desk";
    this->publish();
}

void SoakOperator::changeTimeout(std::uint64_t choice)
{
    constexpr std::uint64_t routes = 4;
    constexpr std::int64_t spreadMs = 800;
    GatewayRoute &one = this->configuration.routes[choice % routes];
    const Millis usual = one.kind == RouteKind::Stream ? streamTime : plainTime;
    one.timeout = usual - Millis{static_cast<std::int64_t>(choice / routes % spreadMs)};
    this->publish();
}

void SoakOperator::revokeKey(std::uint64_t choice)
{
    GatewayOrganisation &one = this->configuration.organisations[choice % organisationCount];
    const std::string key = one.name.value + "-key-" + std::to_string(this->made);
    one.keys = {key};
    this->offered.keys.push_back({one.name.value, key});
    if (this->offered.keys.size() > offeredKeys) {
        this->offered.keys.erase(this->offered.keys.begin());
    }
    this->publish();
}

const SoakOffer &SoakOperator::offer() const
{
    return this->offered;
}

} // namespace Sequoiausher::Lab
