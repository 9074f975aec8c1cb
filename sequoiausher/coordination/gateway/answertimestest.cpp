#include "sequoiausher/coordination/gateway/answertimes.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr Millis start{100000};

} // namespace

TEST_CASE("quantiles are accurate to the width of a bin, and need enough answers")
{
    AnswerTimes times;
    for (int i = 1; i <= 40; ++i) {
        times.record(Millis{i}, start);
    }
    CHECK(!times.quantile(0.5, start));
    CHECK(!times.meanRemaining(Millis{10}, start));
    for (int i = 1; i <= 1000; ++i) {
        times.record(Millis{i}, start);
    }
    const double median = static_cast<double>(times.quantile(0.5, start)->count);
    CHECK(median > 500 * 0.85);
    CHECK(median < 500 * 1.15);
    const double slow = static_cast<double>(times.quantile(0.95, start)->count);
    CHECK(slow > 950 * 0.85);
    CHECK(slow < 950 * 1.15);
}

TEST_CASE("the mean time that remains is that of the answers that took longer")
{
    AnswerTimes times;
    for (int i = 0; i < 900; ++i) {
        times.record(Millis{50}, start);
    }
    for (int i = 0; i < 100; ++i) {
        times.record(Millis{500}, start);
    }
    CHECK(times.meanRemaining(Millis{0}, start)->count > 80);
    CHECK(times.meanRemaining(Millis{0}, start)->count < 110);
    // Whoever has waited for 100 ms is one of the slow ones.
    CHECK(times.meanRemaining(Millis{100}, start)->count > 340);
    CHECK(times.meanRemaining(Millis{100}, start)->count < 460);
    CHECK(times.meanRemaining(Millis{900}, start) == Millis{900});
}

// Guards against times of a former load that decide for minutes.
TEST_CASE("old answers are forgotten")
{
    AnswerTimes times;
    for (int i = 0; i < 200; ++i) {
        times.record(Millis{1000}, start);
    }
    Millis now = start + Millis{11000};
    for (int i = 0; i < 200; ++i) {
        times.record(Millis{10}, now);
    }
    CHECK(times.quantile(0.9, now)->count > 500);
    now = now + Millis{11000};
    for (int i = 0; i < 200; ++i) {
        times.record(Millis{10}, now);
    }
    CHECK(times.quantile(0.9, now)->count < 15);
    CHECK(!times.quantile(0.9, now + Millis{40000}));
}

TEST_CASE("times beyond the ends of the histogram count at its ends")
{
    AnswerTimes times;
    for (int i = 0; i < 100; ++i) {
        times.record(Millis{0}, start);
        times.record(Millis{3600000}, start);
    }
    CHECK(times.quantile(0.25, start)->count <= 1);
    CHECK(times.quantile(0.99, start)->count >= 25000);
}
