#include "sequoiausher/coordination/gateway/answertimes.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace Sequoiausher {

namespace {

namespace bh = boost::histogram;

constexpr std::size_t binCount = 90;
constexpr double shortestMs = 1;
constexpr double longestMs = 30000;
/** Answers are remembered for one to two of these spans. */
constexpr Millis generationSpan{10000};
/** Quantiles of fewer answers are mostly chance. */
constexpr double minAnswers = 50;

auto makeHistogram()
{
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(binCount, shortestMs, longestMs));
}

using Histogram = decltype(makeHistogram());

} // namespace

class AnswerTimes::Private
{
public:
    void rotate(Millis now)
    {
        if (now - this->rotatedAt < generationSpan) {
            return;
        }
        const bool isRecent = now - this->rotatedAt < generationSpan * 2;
        this->previous = isRecent ? std::move(this->current) : makeHistogram();
        this->current = makeHistogram();
        this->rotatedAt = now;
    }

    double countIn(int bin) const
    {
        return this->current.at(bin) + this->previous.at(bin);
    }

    double total() const
    {
        double sum = 0;
        for (int bin = -1; bin <= static_cast<int>(binCount); ++bin) {
            sum += this->countIn(bin);
        }
        return sum;
    }

    /** The geometric middle of a bin, in ms. */
    double middleOf(int bin) const
    {
        const auto &axis = this->current.axis();
        if (bin < 0) {
            return shortestMs;
        }
        return bin >= static_cast<int>(binCount) ? longestMs : std::sqrt(axis.value(bin) * axis.value(bin + 1));
    }

    Histogram current = makeHistogram();
    Histogram previous = makeHistogram();
    Millis rotatedAt;
};

AnswerTimes::AnswerTimes() : d(std::make_unique<Private>())
{
}

AnswerTimes::~AnswerTimes() = default;
AnswerTimes::AnswerTimes(AnswerTimes &&other) noexcept = default;
AnswerTimes &AnswerTimes::operator=(AnswerTimes &&other) noexcept = default;

void AnswerTimes::record(Millis elapsed, Millis now)
{
    this->d->rotate(now);
    this->d->current(static_cast<double>(elapsed.count));
}

std::optional<Millis> AnswerTimes::quantile(double fraction, Millis now)
{
    this->d->rotate(now);
    const double total = this->d->total();
    if (total < minAnswers) {
        return std::nullopt;
    }
    double sum = 0;
    for (int bin = -1; bin < static_cast<int>(binCount); ++bin) {
        sum += this->d->countIn(bin);
        if (sum >= total * fraction) {
            return Millis{std::llround(this->d->middleOf(bin))};
        }
    }
    return Millis{std::llround(longestMs)};
}

std::optional<Millis> AnswerTimes::meanRemaining(Millis waited, Millis now)
{
    this->d->rotate(now);
    if (this->d->total() < minAnswers) {
        return std::nullopt;
    }
    const auto waitedMs = static_cast<double>(waited.count);
    double count = 0;
    double sum = 0;
    for (int bin = -1; bin <= static_cast<int>(binCount); ++bin) {
        const double time = this->d->middleOf(bin);
        if (time > waitedMs) {
            count += this->d->countIn(bin);
            sum += this->d->countIn(bin) * (time - waitedMs);
        }
    }
    // Nothing has taken so long: what has waited longest tends to wait as long again.
    return count > 0 ? Millis{std::llround(sum / count)} : waited;
}

} // namespace Sequoiausher
