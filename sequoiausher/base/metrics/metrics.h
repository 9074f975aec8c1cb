#pragma once

// The counters, gauges and histograms of one router. Histograms are kept for each organisation and class, and for
// each arm of an experiment.
//
//     Metrics metrics;
//     const RequestLabels labels{organisation, RequestClass::Urgent, "cache-trial", "b"};
//     metrics.observe(labels, Measure::FirstToken, 182.0);
//     metrics.countOutcome(labels, Outcome::Complete);
//     metrics.add("control_bytes_sent_total", 512);
//     const std::string page = toPrometheus(metrics.snapshot());    // prometheus.h
//
// Locks: one short one for the tables, one for each series; a caller may hold any other lock, since nothing is called
// out of here with a lock held.

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

/** How a request ended, as its caller saw it. */
enum class Outcome {
    Complete,
    /** The stream broke and could not be resumed. */
    Broken,
    /** Refused, surely not run. */
    RefusedLimit,
    RefusedFull,
    RefusedDeadline,
    RefusedNoQuorum,
    /** The rules, the key or the request itself forbid it. */
    RefusedInvalid,
    /** Sent and may have run. */
    Unknown,
    /** Joined the answer of the same key. */
    Attached,
    /** The caller went away. */
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

/** What is timed, in milliseconds. */
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

/** Whose request it was. Experiment and arm are empty outside of experiments. */
struct RequestLabels
{
    OrganisationId organisation;
    RequestClass requestClass = RequestClass::Interactive;
    std::string experiment;
    std::string arm;
};

/** Everything known of one series. */
struct SeriesData
{
    std::array<HistogramData, measureCount> measures;
    std::array<std::uint64_t, outcomeCount> outcomes{};
    /** Prompt tokens, and how many of them an engine had in its cache. */
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    /** The cached share of each prompt, from 0 to 1: count, sum and sum of squares. */
    std::uint64_t cachedShares = 0;
    double cachedShareSum = 0;
    double cachedShareSquares = 0;
    /** Dispatches after a request's first one. */
    std::uint64_t retries = 0;
    /** Dispatches by target; kept for arms alone. */
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

    /** Adds what another router has seen. Gauges add up too: each names an amount, such as open streams. */
    void merge(const MetricsSnapshot &other);
};

/** Bounds of the memory: what goes beyond is counted under `other`. */
struct MetricsSettings
{
    /** Series of organisation and class; some 2.4 KB each: 1024 take 2.5 MB. */
    std::size_t maxSeries = 1024;
    std::size_t maxArms = 64;
    std::size_t maxNames = 512;
    /** Targets told apart in each arm; some 80 bytes each. */
    std::size_t maxTargets = 2048;
};

/** The name under which all that is beyond a bound is counted. */
inline constexpr const char *otherName = "other";

/** Collects. Every function may be called from any thread. */
class Metrics
{
public:
    explicit Metrics(const MetricsSettings &settings = {});
    ~Metrics();

    /** Adds a time in milliseconds to the organisation's series and, in an experiment, to the arm's. */
    void observe(const RequestLabels &labels, Measure measure, double milliseconds);
    /** Counts a request at its end, once. */
    void countOutcome(const RequestLabels &labels, Outcome outcome);
    /** Counts an engine's report of tokens. */
    void countTokens(const RequestLabels &labels, std::uint64_t promptTokens, std::uint64_t cachedTokens);

    /** Counts that a request goes to a target, and whether it is not the request's first. */
    void countDispatch(const RequestLabels &labels, const std::string &target, bool again);

    /** Adds to a counter. The name may carry Prometheus labels: `refused_total{reason="full"}`. */
    void add(const std::string &counter, std::uint64_t amount = 1);
    /** Sets a gauge. */
    void set(const std::string &gauge, double value);

    MetricsSnapshot snapshot() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
