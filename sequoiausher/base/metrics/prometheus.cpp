#include "sequoiausher/base/metrics/prometheus.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

constexpr double msPerSecond = 1000;

std::string number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

/** Operators choose the names of organisations and arms, so they are escaped as the format requires. */
std::string escaped(const std::string &value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c;
    }
    return out;
}

std::string label(std::string_view name, const std::string &value)
{
    return std::string(name) + "=\"" + escaped(value) + "\"";
}

/** Series with the same metric names: the labels and the data of each. */
using LabelledSeries = std::vector<std::pair<std::string, const SeriesData *>>;

void writeType(std::string &out, const std::string &name, std::string_view type)
{
    out += "# TYPE " + name + " " + std::string(type) + "\n";
}

/** One sample: `name{labels} value`. */
void writeSample(std::string &out, const std::string &name, const std::string &labels, const std::string &value)
{
    out.append(name).append("{").append(labels).append("} ").append(value).append("\n");
}

void writeHistogram(std::string &out, const std::string &name, const std::string &labels, const HistogramData &data)
{
    const std::string bucketName = name + "_bucket";
    std::uint64_t below = 0;
    for (std::size_t bucket = 0; bucket + 1 < bucketCount; ++bucket) {
        below += data.buckets[bucket];
        // One line for each doubling: the finer buckets are for reports that merge snapshots.
        if (bucket % bucketsPerDoubling == 0) {
            const std::string bound = label("le", number(bucketBound(bucket) / msPerSecond));
            std::string bucketLabels = labels;
            bucketLabels.append(",").append(bound);
            writeSample(out, bucketName, bucketLabels, std::to_string(below));
        }
    }
    writeSample(out, bucketName, labels + "," + label("le", "+Inf"), std::to_string(data.count));
    writeSample(out, name + "_sum", labels, number(data.sum / msPerSecond));
    writeSample(out, name + "_count", labels, std::to_string(data.count));
}

void writeSeries(std::string &out, const std::string &prefix, const LabelledSeries &all)
{
    for (std::size_t i = 0; i < measureCount; ++i) {
        const std::string name = prefix + std::string(nameOf(static_cast<Measure>(i))) + "_seconds";
        writeType(out, name, "histogram");
        for (const auto &series : all) {
            writeHistogram(out, name, series.first, series.second->measures[i]);
        }
    }
    const std::string requests = prefix + "requests_total";
    writeType(out, requests, "counter");
    for (const auto &series : all) {
        for (const auto &entry : nameTable<Outcome>) {
            const std::uint64_t count = series.second->outcomes[static_cast<std::size_t>(entry.value)];
            const std::string labels = series.first + "," + label("outcome", std::string(entry.name));
            writeSample(out, requests, labels, std::to_string(count));
        }
    }
    const std::array<std::pair<std::string, std::uint64_t SeriesData::*>, 2> tokens{
        {{prefix + "prompt_tokens_total", &SeriesData::promptTokens},
         {prefix + "cached_tokens_total", &SeriesData::cachedTokens}}};
    for (const auto &kind : tokens) {
        writeType(out, kind.first, "counter");
        for (const auto &series : all) {
            writeSample(out, kind.first, series.first, std::to_string(series.second->*kind.second));
        }
    }
}

/** The organisations with the most requests; ties are ordered by name. */
std::set<OrganisationId> busiest(const MetricsSnapshot &snapshot, std::size_t count)
{
    std::map<OrganisationId, std::uint64_t> requests;
    for (const auto &entry : snapshot.series) {
        requests[entry.first.organisation] += entry.second.requests();
    }
    std::vector<std::pair<OrganisationId, std::uint64_t>> order(requests.begin(), requests.end());
    std::stable_sort(order.begin(), order.end(), [](const auto &a, const auto &b) { return a.second > b.second; });
    order.resize(std::min(order.size(), count));
    std::set<OrganisationId> shown;
    for (const auto &entry : order) {
        shown.insert(entry.first);
    }
    return shown;
}

/** Counters and gauges. A name may end with labels, which the type line must not contain. */
template<typename Value>
void writeNamed(std::string &out, const std::map<std::string, Value> &table, std::string_view type)
{
    std::string lastFamily;
    for (const auto &entry : table) {
        const std::string family = "sequoiausher_" + entry.first.substr(0, entry.first.find('{'));
        if (family != lastFamily) {
            writeType(out, family, type);
            lastFamily = family;
        }
        out += "sequoiausher_" + entry.first + " " + number(static_cast<double>(entry.second)) + "\n";
    }
}

} // namespace

std::string toPrometheus(const MetricsSnapshot &snapshot, std::size_t organisations)
{
    const std::set<OrganisationId> shown = busiest(snapshot, organisations);
    std::map<SeriesKey, SeriesData> folded;
    for (const auto &entry : snapshot.series) {
        const bool own = shown.count(entry.first.organisation) > 0;
        const OrganisationId name = own ? entry.first.organisation : OrganisationId{otherName};
        folded[{name, entry.first.requestClass}].merge(entry.second);
    }
    LabelledSeries series;
    for (const auto &entry : folded) {
        const std::string requestClass(nameOf(entry.first.requestClass));
        series.emplace_back(label("organisation", entry.first.organisation.value) + "," + label("class", requestClass),
                            &entry.second);
    }
    LabelledSeries arms;
    for (const auto &entry : snapshot.arms) {
        arms.emplace_back(label("experiment", entry.first.experiment) + "," + label("arm", entry.first.arm),
                          &entry.second);
    }
    std::string out;
    writeSeries(out, "sequoiausher_", series);
    writeSeries(out, "sequoiausher_experiment_", arms);
    writeNamed(out, snapshot.counters, "counter");
    writeNamed(out, snapshot.gauges, "gauge");
    return out;
}

} // namespace Sequoiausher
