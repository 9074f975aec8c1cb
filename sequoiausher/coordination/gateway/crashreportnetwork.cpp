#include "sequoiausher/coordination/gateway/crashreportnetwork.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::int64_t lostPercent = 20;
constexpr std::int64_t maxDelayMs = 60;

InstanceId nameOfGateway(std::size_t gateway)
{
    return {"g" + std::to_string(gateway)};
}

} // namespace

CrashReportNetwork::CrashReportNetwork(std::size_t gatewayCount,
                                       std::size_t hubCount,
                                       std::uint64_t seed,
                                       CrashJudgement judgement)
    : hubs(hubCount)
    , way(judgement)
    , received(gatewayCount)
    , lives(gatewayCount, 1)
    , hasReply(gatewayCount)
    , readyAt(gatewayCount)
    , random(seed)
{
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        this->gateways.push_back(makeCrashJudge(judgement));
        this->nextReport.push_back(Millis{this->between(0, reportInterval.count)});
    }
}

void CrashReportNetwork::restart(std::size_t gateway, Millis now)
{
    this->gateways[gateway] = makeCrashJudge(this->way);
    this->received[gateway].clear();
    this->lives[gateway] += 1;
    this->hasReply[gateway] = false;
    this->readyAt[gateway] = now + reportInterval;
}

bool CrashReportNetwork::isReady(std::size_t gateway, Millis now) const
{
    return now >= this->readyAt[gateway] || this->hasReply[gateway];
}

std::int64_t CrashReportNetwork::between(std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(this->random);
}

std::size_t CrashReportNetwork::anyGateway()
{
    return static_cast<std::size_t>(this->between(0, static_cast<std::int64_t>(this->gateways.size()) - 1));
}

bool CrashReportNetwork::reportsTo(std::size_t from, std::size_t to) const
{
    if (this->hubs == 0 || (from < this->hubs && to < this->hubs)) {
        return from != to;
    }
    return from < this->hubs ? to % this->hubs == from : from % this->hubs == to;
}

UpdateScope CrashReportNetwork::scopeOf(std::size_t from, std::size_t to) const
{
    if (this->hubs == 0 || from >= this->hubs) {
        return UpdateScope::Own;
    }
    return to < this->hubs ? UpdateScope::Group : UpdateScope::All;
}

UpdateScope CrashReportNetwork::mergeScopeOf(std::size_t from, std::size_t at) const
{
    if (this->hubs == 0 || at >= this->hubs) {
        return UpdateScope::Own;
    }
    return from < this->hubs ? UpdateScope::All : UpdateScope::Group;
}

void CrashReportNetwork::pass(Millis now)
{
    for (std::size_t from = 0; from < this->gateways.size(); ++from) {
        if (now < this->nextReport[from]) {
            continue;
        }
        this->nextReport[from] = now + reportInterval;
        for (std::size_t to = 0; to < this->gateways.size(); ++to) {
            if (!this->reportsTo(from, to)) {
                continue;
            }
            CrashNews news = this->gateways[from]->reportFor(nameOfGateway(to), this->scopeOf(from, to), now);
            this->mostEntries = std::max(this->mostEntries, news.requests.size() + news.parts.size());
            if (this->between(1, 100) > lostPercent) {
                const Millis arrival = now + Millis{this->between(1, maxDelayMs)};
                const auto echoed = this->received[from].find(to);
                const std::size_t echoedLife = echoed != this->received[from].end() ? echoed->second : 0;
                this->underway.push_back({arrival, from, to, std::move(news), this->lives[from], echoedLife});
            }
        }
    }
    std::deque<Message> later;
    for (Message &message : this->underway) {
        if (message.at > now) {
            later.push_back(std::move(message));
            continue;
        }
        this->received[message.to][message.from] = message.senderLife;
        const bool isReached = message.echoedLife == this->lives[message.to];
        this->hasReply[message.to] = this->hasReply[message.to] || isReached;
        this->gateways[message.to]->recordPeerState(nameOfGateway(message.from), isReached);
        this->gateways[message.to]->mergeReport(
            nameOfGateway(message.from), message.news, now, this->mergeScopeOf(message.from, message.to));
    }
    this->underway = std::move(later);
}

} // namespace Sequoiausher
