#include "lab/load/loadreport.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <string_view>
#include <vector>

namespace Sequoiausher::Lab {

namespace {

constexpr double microsPerMilli = 1000;

template<typename Key>
void addCounts(std::map<Key, std::uint64_t> &into, const std::map<Key, std::uint64_t> &from)
{
    for (const auto &[key, count] : from) {
        into[key] += count;
    }
}

std::uint64_t countOf(const LoadSeries &series, AnswerVerdict verdict)
{
    const auto found = series.verdicts.find(verdict);
    return found == series.verdicts.end() ? 0 : found->second;
}

std::uint64_t sumOf(const std::map<ClientErrorKind, std::uint64_t> &counts)
{
    std::uint64_t sum = 0;
    for (const auto &[kind, count] : counts) {
        sum += count;
    }
    return sum;
}

QString text(std::string_view view)
{
    return QString::fromUtf8(view.data(), static_cast<qsizetype>(view.size()));
}

QJsonValue number(std::uint64_t value)
{
    return static_cast<qint64>(value);
}

QJsonObject toObject(const LatencyHistogram &times)
{
    QJsonObject object;
    object["count"] = number(times.count());
    object["p50_ms"] = static_cast<double>(times.quantile(0.5)) / microsPerMilli;
    object["p95_ms"] = static_cast<double>(times.quantile(0.95)) / microsPerMilli;
    object["p99_ms"] = static_cast<double>(times.quantile(0.99)) / microsPerMilli;
    object["max_ms"] = static_cast<double>(times.largest()) / microsPerMilli;
    return object;
}

QJsonObject toObject(const LoadSeries &series)
{
    QJsonObject object;
    object["sent"] = number(series.sent);
    for (const auto &entry : nameTable<AnswerVerdict>) {
        object[text(entry.name)] = number(countOf(series, entry.value));
    }
    QJsonArray refusals;
    for (const auto &[key, count] : series.refusals) {
        refusals.append(
            QJsonObject{{"status", key.status}, {"ran", QString::fromStdString(key.ran)}, {"count", number(count)}});
    }
    object["refusals"] = refusals;
    QJsonObject errors;
    for (const auto &[kind, count] : series.errors) {
        errors[text(nameOf(kind))] = number(count);
    }
    object["errors"] = errors;
    object["tokens"] = number(series.tokens);
    object["prompt_tokens"] = number(series.promptTokens);
    object["cached_tokens"] = number(series.cachedTokens);
    object["first_token"] = toObject(series.firstToken);
    object["between_tokens"] = toObject(series.betweenTokens);
    object["whole_answer"] = toObject(series.whole);
    return object;
}

std::string millisText(const LatencyHistogram &times, double share)
{
    return QString::number(static_cast<double>(times.quantile(share)) / microsPerMilli, 'f', 2).toStdString();
}

/** The cells of a row, right-aligned but for the first two. */
std::string line(const std::vector<std::string> &cells)
{
    constexpr std::size_t nameWidth = 16;
    constexpr std::size_t numberWidth = 9;
    std::string text;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        const std::size_t width = i < 2 ? nameWidth : numberWidth;
        const std::string gap(width > cells[i].size() ? width - cells[i].size() : 1, ' ');
        text += i < 2 ? cells[i] + gap : gap + cells[i];
    }
    return text + "\n";
}

std::string row(const SeriesKey &key, const LoadSeries &series)
{
    const std::uint64_t wrong = countOf(series, AnswerVerdict::Incomplete) + countOf(series, AnswerVerdict::Disordered)
        + countOf(series, AnswerVerdict::Foreign);
    std::vector<std::string> cells{key.organisation,
                                   key.requestClass,
                                   std::to_string(series.sent),
                                   std::to_string(countOf(series, AnswerVerdict::Whole)),
                                   std::to_string(countOf(series, AnswerVerdict::Refused)),
                                   std::to_string(sumOf(series.errors) + countOf(series, AnswerVerdict::ErrorEvent)),
                                   std::to_string(wrong)};
    for (const LatencyHistogram *times : {&series.firstToken, &series.betweenTokens, &series.whole}) {
        for (const double share : {0.5, 0.95, 0.99}) {
            cells.push_back(millisText(*times, share));
        }
    }
    return line(cells);
}

} // namespace

void LoadSeries::merge(const LoadSeries &other)
{
    this->sent += other.sent;
    addCounts(this->verdicts, other.verdicts);
    addCounts(this->refusals, other.refusals);
    addCounts(this->errors, other.errors);
    this->tokens += other.tokens;
    this->promptTokens += other.promptTokens;
    this->cachedTokens += other.cachedTokens;
    this->firstToken.merge(other.firstToken);
    this->betweenTokens.merge(other.betweenTokens);
    this->whole.merge(other.whole);
}

void LoadReport::merge(const LoadReport &other)
{
    for (const auto &[key, series] : other.byKey) {
        this->byKey[key].merge(series);
    }
    this->seconds = std::max(this->seconds, other.seconds);
    this->pairsBothWhole += other.pairsBothWhole;
    this->pairsOneWhole += other.pairsOneWhole;
    this->pairsNoneWhole += other.pairsNoneWhole;
    this->notSent += other.notSent;
    this->largestSendLag = std::max(this->largestSendLag, other.largestSendLag);
}

LoadSeries LoadReport::total() const
{
    LoadSeries all;
    for (const auto &[key, series] : this->byKey) {
        all.merge(series);
    }
    return all;
}

std::uint64_t LoadReport::wrongAnswers() const
{
    const LoadSeries all = this->total();
    return countOf(all, AnswerVerdict::Incomplete) + countOf(all, AnswerVerdict::Disordered)
        + countOf(all, AnswerVerdict::Foreign);
}

std::string toTable(const LoadReport &report)
{
    std::string table = line({"organisation",
                              "class",
                              "sent",
                              "whole",
                              "refused",
                              "errors",
                              "wrong",
                              "first50",
                              "first95",
                              "first99",
                              "token50",
                              "token95",
                              "token99",
                              "whole50",
                              "whole95",
                              "whole99"});
    for (const auto &[key, series] : report.byKey) {
        table += row(key, series);
    }
    const LoadSeries all = report.total();
    table += row({"all", ""}, all);
    for (const auto &[key, count] : all.refusals) {
        table += "refused " + std::to_string(key.status) + " ran " + key.ran + ": " + std::to_string(count) + "\n";
    }
    for (const auto &[kind, count] : all.errors) {
        table += "error " + std::string(nameOf(kind)) + ": " + std::to_string(count) + "\n";
    }
    for (const auto &[verdict, count] : all.verdicts) {
        table += "answers " + std::string(nameOf(verdict)) + ": " + std::to_string(count) + "\n";
    }
    table += "sent twice: both whole " + std::to_string(report.pairsBothWhole) + ", one "
        + std::to_string(report.pairsOneWhole) + ", none " + std::to_string(report.pairsNoneWhole) + "\n";
    table += "seconds " + std::to_string(report.seconds) + ", tokens " + std::to_string(all.tokens) + ", not sent "
        + std::to_string(report.notSent) + ", send lag at most " + std::to_string(report.largestSendLag) + " us\n";
    return table;
}

std::string toJson(const LoadReport &report)
{
    QJsonObject object = toObject(report.total());
    object["seconds"] = report.seconds;
    object["wrong_answers"] = number(report.wrongAnswers());
    object["pairs_both_whole"] = number(report.pairsBothWhole);
    object["pairs_one_whole"] = number(report.pairsOneWhole);
    object["pairs_none_whole"] = number(report.pairsNoneWhole);
    object["not_sent"] = number(report.notSent);
    object["largest_send_lag_us"] = static_cast<qint64>(report.largestSendLag);
    QJsonArray list;
    for (const auto &[key, series] : report.byKey) {
        QJsonObject one = toObject(series);
        one["organisation"] = QString::fromStdString(key.organisation);
        one["class"] = QString::fromStdString(key.requestClass);
        list.append(one);
    }
    object["series"] = list;
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() + "\n";
}

} // namespace Sequoiausher::Lab
