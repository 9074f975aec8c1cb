#pragma once

// What a run of the load tool saw, for each organisation and class, as a table or as JSON.
//
//     LoadReport report;
//     report.series({"maker", "urgent"}).firstToken.add(1200);
//     std::cout << toTable(report);

#include "lab/load/answerjudge.h"
#include "lab/load/latencyhistogram.h"
#include "sequoiausher/transport/http/httpclient.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace Sequoiausher::Lab {

/** Which requests a series counts. */
struct SeriesKey
{
    std::string organisation;
    /** The name of the class; "service" for plain services. */
    std::string requestClass;

    auto operator<=>(const SeriesKey &) const = default;
};

/** A status and its X-Ran. */
struct RefusalKey
{
    int status = 0;
    std::string ran;

    auto operator<=>(const RefusalKey &) const = default;
};

/** Counts and times of one organisation and class. Times are in microseconds from the sending. */
struct LoadSeries
{
    std::uint64_t sent = 0;
    std::map<AnswerVerdict, std::uint64_t> verdicts;
    std::map<RefusalKey, std::uint64_t> refusals;
    std::map<ClientErrorKind, std::uint64_t> errors;
    std::uint64_t tokens = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    LatencyHistogram firstToken;
    LatencyHistogram betweenTokens;
    LatencyHistogram whole;

    void merge(const LoadSeries &other);
};

/** The whole run. */
struct LoadReport
{
    std::map<SeriesKey, LoadSeries> byKey;
    double seconds = 0;
    /** Keyed requests sent twice of which both, one or none came whole. */
    std::uint64_t pairsBothWhole = 0;
    std::uint64_t pairsOneWhole = 0;
    std::uint64_t pairsNoneWhole = 0;
    /** Arrivals left out because too many calls were open. */
    std::uint64_t notSent = 0;
    /** How late the generator itself was at most, in microseconds: large, and the figures blame the wrong side. */
    std::int64_t largestSendLag = 0;

    void merge(const LoadReport &other);
    /** All series as one. */
    LoadSeries total() const;
    /** Answers that were somebody else's, out of order or cut short without an error: what must never be. */
    std::uint64_t wrongAnswers() const;
};

/** A table for people; times in milliseconds. */
std::string toTable(const LoadReport &report);
/** An object with the totals, the pairs and a list of the series. */
std::string toJson(const LoadReport &report);

} // namespace Sequoiausher::Lab
