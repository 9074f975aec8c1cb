#pragma once

// The counters, gauges and histograms of one router. There are histograms for each organisation and class, and for each
// arm of an experiment.
//
//     Metrics metrics;
//     const RequestLabels labels{organisation, RequestClass::Urgent, "cache-trial", "b"};
//     metrics.observe(labels, Measure::FirstToken, 182.0);
//     metrics.countOutcome(labels, Outcome::Complete);
//     metrics.add("control_bytes_sent_total", 512);
//     const std::string page = toPrometheus(metrics.snapshot());    // prometheus.h
//
// Locks: one for the tables and one for each series. All of them are leaf locks, so a caller may hold any other lock.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/metrics/histogram.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/base/requestclass.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Sequoiausher {

/** The outcome of a request, as its caller saw it. */
enum class Outcome {
    Complete,
    /** The stream broke and could not be resumed. */
    Broken,
    /** Refused, and certainly not run. */
    RefusedLimit,
    RefusedFull,
    RefusedDeadline,
    RefusedNoQuorum,
    /** Forbidden by the rules or the key, or invalid. */
    RefusedInvalid,
    /** Sent and may have run. */
    Unknown,
    /** Got the answer to another request with the same key. */
    Attached,
    /** The caller disconnected. */
    Cancelled,
};

inline constexpr std::size_t outcomeCount = 10;

template<>
inline constexpr auto nameTable<Outcome> = std::to_array<NameEntry<Outcome>>({
    {Outcome::Complete, "complete"},
    {Outcome::Broken, "broken"},
    {Outcome::RefusedLimit, "refused-limit"},
    {Outcome::RefusedFull, "refused-full"},
    {Outcome::RefusedDeadline, "refused-deadline"},
    {Outcome::RefusedNoQuorum, "refused-no-quorum"},
    {Outcome::RefusedInvalid, "refused-invalid"},
    {Outcome::Unknown, "unknown"},
    {Outcome::Attached, "attached"},
    {Outcome::Cancelled, "cancelled"},
});

/** A measured duration, in milliseconds. */
enum class Measure {
    FirstToken,
    BetweenTokens,
    QueueTime,
};

inline constexpr std::size_t measureCount = 3;

template<>
inline constexpr auto nameTable<Measure> = std::to_array<NameEntry<Measure>>({
    {Measure::FirstToken, "first_token"},
    {Measure::BetweenTokens, "between_tokens"},
    {Measure::QueueTime, "queue_time"},
});

/** The labels of a request. Experiment and arm are empty outside of experiments. */
struct RequestLabels
{
    OrganisationId organisation;
    RequestClass requestClass = RequestClass::Interactive;
    std::string experiment;
    std::string arm;
};

/** The data of one series. */
struct SeriesData
{
    std::array<HistogramData, measureCount> measures;
    std::array<std::uint64_t, outcomeCount> outcomes{};
    /** Prompt tokens, and how many of them were in the cache of an engine. */
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    /** The cached share of each prompt, from 0 to 1: count, sum and sum of squares. */
    std::uint64_t cachedShares = 0;
    double cachedShareSum = 0;
    double cachedShareSquares = 0;
    /** Dispatches after the first one of a request. */
    std::uint64_t retries = 0;
    /** Dispatches by target; for arms only. */
    std::map<std::string, std::uint64_t> dispatches;

    std::uint64_t requests() const;
    void merge(const SeriesData &other);
};

/** An organisation and a class. */
struct SeriesKey
{
    OrganisationId organisation;
    RequestClass requestClass = RequestClass::Interactive;

    auto operator<=>(const SeriesKey &) const = default;
};

/** An arm of an experiment. */
struct ArmKey
{
    std::string experiment;
    std::string arm;

    auto operator<=>(const ArmKey &) const = default;
};

/** All metrics of a router, or of several after merge(). */
struct MetricsSnapshot
{
    std::map<SeriesKey, SeriesData> series;
    std::map<ArmKey, SeriesData> arms;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;

    /** Adds the metrics of another router. Gauges are added too, because each is an amount, such as open streams. */
    void merge(const MetricsSnapshot &other);
};

/** Limits of the memory: all series beyond them are counted as `other`. */
struct MetricsSettings
{
    /** The number of series of organisation and class; 1024 take 2.5 MB, some 2.4 KB each. */
    std::size_t maxSeries = 1024;
    std::size_t maxArms = 64;
    std::size_t maxNames = 512;
    /** The number of targets that are counted separately in each arm; some 80 bytes each. */
    std::size_t maxTargets = 2048;
};

/** The name of all series beyond a limit. */
inline constexpr const char *otherName = "other";

/** Collects metrics. Thread-safe. */
class Metrics
{
public:
    explicit Metrics(const MetricsSettings &settings = {});
    ~Metrics();

    /** Adds a time in milliseconds to the series of the organisation and, in an experiment, of the arm. */
    void observe(const RequestLabels &labels, Measure measure, double milliseconds);
    /** Counts a request; to be called once, at its end. */
    void countOutcome(const RequestLabels &labels, Outcome outcome);
    /** Counts the tokens that an engine has reported. */
    void countTokens(const RequestLabels &labels, std::uint64_t promptTokens, std::uint64_t cachedTokens);

    /** Counts a dispatch to a target, and whether it is a repeated one. */
    void countDispatch(const RequestLabels &labels, const std::string &target, bool again);

    /** Adds to a counter. The name may contain Prometheus labels: `refused_total{reason="full"}`. */
    void add(const std::string &counter, std::uint64_t amount = 1);
    /** Sets a gauge. */
    void set(const std::string &gauge, double value);

    MetricsSnapshot snapshot() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
