#include "lab/bench/surgesimulation.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>

namespace Sequoiausher {

namespace {

struct End
{
    Millis at;
    RequestId request;

    bool operator>(const End &other) const
    {
        return this->at != other.at ? this->at > other.at : this->request > other.request;
    }
};

RequestClass drawClass(double draw, const SurgeSettings &settings)
{
    if (draw < settings.urgentPart) {
        return RequestClass::Urgent;
    }
    return draw < settings.urgentPart + settings.backgroundPart ? RequestClass::Background : RequestClass::Interactive;
}

std::vector<SurgeArrival> arrivalsOf(int organisation, const SurgeSettings &settings)
{
    constexpr double msPerSecond = 1000;
    constexpr std::uint64_t idsPerOrganisation = 1ULL << 32;
    const bool surging = organisation == 0;
    std::mt19937_64 random(settings.seed * 1000 + static_cast<std::uint64_t>(organisation));
    const double rate = settings.perSecond * (surging ? settings.surgeFactor : 1);
    std::exponential_distribution<double> gaps(rate / msPerSecond);
    std::exponential_distribution<double> extra(1 / settings.meanExtraServiceMs);
    std::uniform_real_distribution<double> evenExtra(0, 2 * settings.meanExtraServiceMs);
    std::uniform_real_distribution<double> draws(0, 1);
    std::vector<SurgeArrival> arrivals;
    std::uint64_t id = static_cast<std::uint64_t>(organisation) * idsPerOrganisation;
    for (double at = gaps(random); at < static_cast<double>(settings.duration.count); at += gaps(random)) {
        SurgeArrival arrival;
        arrival.at = Millis{static_cast<std::int64_t>(at)};
        const double extraMs = settings.evenService ? evenExtra(random) : extra(random);
        arrival.service = Millis{std::llround(settings.leastServiceMs + extraMs)};
        arrival.surging = surging;
        arrival.entry.request = RequestId{0, ++id};
        arrival.entry.organisation = OrganisationId{"organisation-" + std::to_string(organisation)};
        arrival.entry.requestClass = drawClass(draws(random), settings);
        const auto index = static_cast<std::size_t>(arrival.entry.requestClass);
        arrival.entry.dispatchBy = arrival.at + settings.patience[index];
        arrivals.push_back(arrival);
    }
    return arrivals;
}

/** The state of one run. */
class Run
{
public:
    Run(DispatchQueue &dispatchQueue, std::vector<SurgeArrival> sorted)
        : queue(dispatchQueue)
        , arrivals(std::move(sorted))
    {
        for (const SurgeArrival &arrival : this->arrivals) {
            this->byRequest.emplace(arrival.entry.request, &arrival);
        }
    }

    SurgeResult go()
    {
        std::size_t next = 0;
        while (next < this->arrivals.size() || !this->ends.empty() || this->queue.waiting() > 0) {
            const Millis arrivalAt = next < this->arrivals.size() ? this->arrivals[next].at : Millis::never();
            const Millis endAt = this->ends.empty() ? Millis::never() : this->ends.top().at;
            const Millis tickAt = std::max(this->now, this->queue.nextDeadline());
            if (endAt <= arrivalAt && endAt <= tickAt) {
                this->now = endAt;
                const RequestId ended = this->ends.top().request;
                this->ends.pop();
                this->queue.finish(this->now, ended, this->actions);
            } else if (arrivalAt <= tickAt) {
                this->now = arrivalAt;
                this->arrive(this->arrivals[next]);
                ++next;
            } else {
                this->now = tickAt;
                this->queue.tick(this->now, this->actions);
            }
            this->take();
            this->result.mostWaiting = std::max(this->result.mostWaiting, this->queue.waiting());
        }
        return this->result;
    }

private:
    GroupResult &groupOf(const SurgeArrival &arrival)
    {
        auto &groups = arrival.surging ? this->result.surging : this->result.others;
        return groups[static_cast<std::size_t>(arrival.entry.requestClass)];
    }

    void arrive(const SurgeArrival &arrival)
    {
        ++this->groupOf(arrival).offered;
        this->decide(arrival, this->queue.offer(this->now, arrival.entry, this->actions));
    }

    void decide(const SurgeArrival &arrival, const QueueDecision &decision)
    {
        if (decision.verdict == QueueVerdict::Dispatch) {
            const Millis end = this->now + arrival.service;
            this->ends.push({end, arrival.entry.request});
            this->groupOf(arrival).latenciesMs.push_back(static_cast<double>((end - arrival.at).count));
        } else if (decision.verdict == QueueVerdict::Refuse) {
            ++this->groupOf(arrival).refused;
        }
    }

    void take()
    {
        for (const QueueAction &action : this->actions) {
            this->decide(*this->byRequest.at(action.entry.request), action.decision);
        }
        this->actions.clear();
    }

    DispatchQueue &queue;
    std::vector<SurgeArrival> arrivals;
    std::unordered_map<RequestId, const SurgeArrival *> byRequest;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    std::vector<QueueAction> actions;
    SurgeResult result;
    Millis now;
};

} // namespace

double GroupResult::quantile(double share) const
{
    if (this->latenciesMs.empty()) {
        return std::numeric_limits<double>::quiet_NaN();
    }
    std::vector<double> sorted = this->latenciesMs;
    std::sort(sorted.begin(), sorted.end());
    const double place = std::ceil(share * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(1.0, place)) - 1];
}

double GroupResult::refusedShare() const
{
    return static_cast<double>(this->refused) / static_cast<double>(this->offered);
}

void GroupResult::merge(const GroupResult &other)
{
    this->latenciesMs.insert(this->latenciesMs.end(), other.latenciesMs.begin(), other.latenciesMs.end());
    this->offered += other.offered;
    this->refused += other.refused;
}

std::vector<SurgeArrival> surgeArrivals(const SurgeSettings &settings)
{
    std::vector<SurgeArrival> all;
    for (int organisation = 0; organisation < settings.organisations; ++organisation) {
        const std::vector<SurgeArrival> arrivals = arrivalsOf(organisation, settings);
        all.insert(all.end(), arrivals.begin(), arrivals.end());
    }
    std::stable_sort(all.begin(), all.end(), [](const SurgeArrival &a, const SurgeArrival &b) { return a.at < b.at; });
    return all;
}

SurgeResult simulateSurge(DispatchQueue &queue, const SurgeSettings &settings)
{
    return Run(queue, surgeArrivals(settings)).go();
}

} // namespace Sequoiausher
