#include "sequoiausher/base/metrics/metrics.h"

#include <functional>
#include <mutex>
#include <numeric>
#include <shared_mutex>

namespace Sequoiausher {

namespace {

/** One series that is being collected, with its own lock. */
struct Series
{
    mutable std::mutex mutex;
    std::array<Histogram, measureCount> measures;
    SeriesData counts;

    SeriesData data() const
    {
        const std::scoped_lock lock(this->mutex);
        SeriesData data = this->counts;
        for (std::size_t i = 0; i < measureCount; ++i) {
            data.measures[i] = this->measures[i].data();
        }
        return data;
    }
};

template<typename Key>
using SeriesTable = std::map<Key, std::unique_ptr<Series>>;

template<typename Key, typename Value>
void mergeMaps(std::map<Key, Value> &into, const std::map<Key, Value> &from)
{
    for (const auto &entry : from) {
        if constexpr (std::is_arithmetic_v<Value>) {
            into[entry.first] += entry.second;
        } else {
            into[entry.first].merge(entry.second);
        }
    }
}

} // namespace

std::uint64_t SeriesData::requests() const
{
    return std::accumulate(this->outcomes.begin(), this->outcomes.end(), std::uint64_t{0});
}

void SeriesData::merge(const SeriesData &other)
{
    for (std::size_t i = 0; i < measureCount; ++i) {
        this->measures[i].merge(other.measures[i]);
    }
    for (std::size_t i = 0; i < outcomeCount; ++i) {
        this->outcomes[i] += other.outcomes[i];
    }
    this->promptTokens += other.promptTokens;
    this->cachedTokens += other.cachedTokens;
    this->cachedShares += other.cachedShares;
    this->cachedShareSum += other.cachedShareSum;
    this->cachedShareSquares += other.cachedShareSquares;
    this->retries += other.retries;
    for (const auto &entry : other.dispatches) {
        this->dispatches[entry.first] += entry.second;
    }
}

void MetricsSnapshot::merge(const MetricsSnapshot &other)
{
    mergeMaps(this->series, other.series);
    mergeMaps(this->arms, other.arms);
    mergeMaps(this->counters, other.counters);
    mergeMaps(this->gauges, other.gauges);
}

class Metrics::Private
{
public:
    explicit Private(const MetricsSettings &bounds) : settings(bounds)
    {
    }

    void update(const RequestLabels &labels, const std::function<void(Series &)> &change)
    {
        const SeriesKey key{labels.organisation, labels.requestClass};
        const SeriesKey other{OrganisationId{otherName}, labels.requestClass};
        this->change(this->find(this->series, key, other, this->settings.maxSeries), change);
        this->updateArm(labels, change);
    }

    void updateArm(const RequestLabels &labels, const std::function<void(Series &)> &change)
    {
        if (!labels.experiment.empty()) {
            const ArmKey arm{labels.experiment, labels.arm};
            this->change(this->find(this->arms, arm, {otherName, otherName}, this->settings.maxArms), change);
        }
    }

    /** The amount of a name, or of `other` if there are too many names. The caller holds namesMutex. */
    template<typename Value>
    Value &named(std::map<std::string, Value> &table, const std::string &name) const
    {
        const auto found = table.find(name);
        if (found != table.end()) {
            return found->second;
        }
        return table[table.size() < this->settings.maxNames ? name : otherName];
    }

    template<typename Key>
    std::map<Key, SeriesData> collect(const SeriesTable<Key> &table) const
    {
        const std::shared_lock lock(this->tablesMutex);
        std::map<Key, SeriesData> data;
        for (const auto &entry : table) {
            data.emplace(entry.first, entry.second->data());
        }
        return data;
    }

    const MetricsSettings settings;
    SeriesTable<SeriesKey> series;
    SeriesTable<ArmKey> arms;
    mutable std::mutex namesMutex;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;

private:
    static void change(Series &series, const std::function<void(Series &)> &change)
    {
        const std::scoped_lock lock(series.mutex);
        change(series);
    }

    /** Series are never removed, so the reference remains valid without the lock. */
    template<typename Key>
    Series &find(SeriesTable<Key> &table, const Key &key, const Key &other, std::size_t bound)
    {
        {
            const std::shared_lock lock(this->tablesMutex);
            const auto found = table.find(key);
            if (found != table.end()) {
                return *found->second;
            }
        }
        const std::unique_lock lock(this->tablesMutex);
        const Key &used = table.count(key) > 0 || table.size() < bound ? key : other;
        std::unique_ptr<Series> &slot = table[used];
        if (!slot) {
            slot = std::make_unique<Series>();
        }
        return *slot;
    }

    mutable std::shared_mutex tablesMutex;
};

Metrics::Metrics(const MetricsSettings &settings) : d(std::make_unique<Private>(settings))
{
}

Metrics::~Metrics() = default;

void Metrics::observe(const RequestLabels &labels, Measure measure, double milliseconds)
{
    const auto index = static_cast<std::size_t>(measure);
    this->d->update(labels, [index, milliseconds](Series &series) { series.measures[index].add(milliseconds); });
}

void Metrics::countOutcome(const RequestLabels &labels, Outcome outcome)
{
    const auto index = static_cast<std::size_t>(outcome);
    this->d->update(labels, [index](Series &series) { ++series.counts.outcomes[index]; });
}

void Metrics::countTokens(const RequestLabels &labels, std::uint64_t promptTokens, std::uint64_t cachedTokens)
{
    this->d->update(labels, [promptTokens, cachedTokens](Series &series) {
        series.counts.promptTokens += promptTokens;
        series.counts.cachedTokens += cachedTokens;
        if (promptTokens > 0) {
            const double share = static_cast<double>(cachedTokens) / static_cast<double>(promptTokens);
            ++series.counts.cachedShares;
            series.counts.cachedShareSum += share;
            series.counts.cachedShareSquares += share * share;
        }
    });
}

void Metrics::countDispatch(const RequestLabels &labels, const std::string &target, bool again)
{
    this->d->update(labels, [again](Series &series) { series.counts.retries += again ? 1 : 0; });
    this->d->updateArm(labels, [this, &target](Series &series) {
        std::map<std::string, std::uint64_t> &dispatches = series.counts.dispatches;
        const bool known = dispatches.count(target) > 0 || dispatches.size() < this->d->settings.maxTargets;
        ++dispatches[known ? target : otherName];
    });
}

void Metrics::add(const std::string &counter, std::uint64_t amount)
{
    const std::scoped_lock lock(this->d->namesMutex);
    this->d->named(this->d->counters, counter) += amount;
}

void Metrics::set(const std::string &gauge, double value)
{
    const std::scoped_lock lock(this->d->namesMutex);
    this->d->named(this->d->gauges, gauge) = value;
}

MetricsSnapshot Metrics::snapshot() const
{
    MetricsSnapshot snapshot;
    snapshot.series = this->d->collect(this->d->series);
    snapshot.arms = this->d->collect(this->d->arms);
    const std::scoped_lock lock(this->d->namesMutex);
    snapshot.counters = this->d->counters;
    snapshot.gauges = this->d->gauges;
    return snapshot;
}

} // namespace Sequoiausher
