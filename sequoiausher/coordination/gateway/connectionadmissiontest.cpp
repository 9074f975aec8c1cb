#include "sequoiausher/coordination/gateway/connectionadmission.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <deque>

using namespace Sequoiausher;

namespace {

constexpr std::int64_t usPerMs = 1000;
constexpr std::int64_t usPerSecond = 1000000;
/** What a gateway with a quarter of a core needs for a connection with one request, and to close one unread. */
constexpr std::int64_t requestUs = 4000;
constexpr std::int64_t closeUs = 200;
/** A request goes through the event loop so often: it is read, its target answers, the answer goes on. */
constexpr int stages = 3;

struct Result
{
    std::size_t closed = 0;
    std::size_t taken = 0;
    std::size_t inTime = 0;
};

/** One thread that handles in each iteration of its loop whatever is ready, with connections that come evenly. */
class BusyGateway
{
public:
    BusyGateway(ConnectionAdmission &judge, bool hasAdmission) : admission(judge), isLimited(hasAdmission)
    {
    }

    /** Plays some seconds and counts the connections from the fourth second on. */
    Result play(std::int64_t perSecond, std::int64_t seconds)
    {
        constexpr std::int64_t settlingUs = 3 * usPerSecond;
        constexpr std::int64_t aimUs = usPerSecond / 2;
        constexpr std::int64_t tickUs = 40 * usPerMs;
        Result result;
        std::int64_t nextUs = 0;
        std::int64_t tickedUs = 0;
        std::deque<std::pair<std::int64_t, int>> requests;
        for (std::int64_t nowUs = 0; nowUs < seconds * usPerSecond;) {
            const std::int64_t begunUs = nowUs;
            std::deque<std::pair<std::int64_t, int>> ready;
            ready.swap(requests);
            while (nextUs <= begunUs) {
                const bool isCounted = nextUs >= settlingUs;
                if (!this->isLimited || this->admission.admit(requests.size())) {
                    result.taken += isCounted ? 1 : 0;
                    requests.emplace_back(nextUs, stages);
                } else {
                    result.closed += isCounted ? 1 : 0;
                    nowUs += closeUs;
                }
                nextUs += usPerSecond / perSecond;
            }
            for (const auto &[atUs, left] : ready) {
                nowUs += requestUs / stages;
                if (left > 1) {
                    requests.emplace_back(atUs, left - 1);
                } else if (atUs >= settlingUs && nowUs - atUs <= aimUs) {
                    result.inTime += 1;
                }
            }
            if (nowUs >= tickedUs + tickUs) {
                this->admission.recordTick(Millis{(nowUs - tickedUs - tickUs) / usPerMs}, Millis{nowUs / usPerMs});
                tickedUs = nowUs;
            }
            nowUs = std::max(nowUs, begunUs + usPerMs);
        }
        return result;
    }

    ConnectionAdmission &admission;
    bool isLimited;
};

double shareInTime(const Result &result)
{
    return static_cast<double>(result.inTime) / static_cast<double>(std::max<std::size_t>(result.taken, 1));
}

} // namespace

// Guards against a gateway that gets most new connections, reads more requests than it can serve and serves none in
// time.
TEST_CASE("a crowded gateway serves in time nine tenths of the requests that it reads, and closes the others unread")
{
    for (const std::int64_t perSecond : {100, 300, 500, 1000, 2000}) {
        CAPTURE(perSecond);
        ConnectionAdmission admission({});
        admission.setCrowding(0.9, 7);
        const Result result = BusyGateway(admission, true).play(perSecond, 20);
        MESSAGE(
            perSecond, " a second: ", result.taken, " taken, ", result.inTime, " in time, ", result.closed, " closed");
        CHECK(shareInTime(result) >= 0.9);
        // It goes on serving about what it can: 250 requests a second, less what it takes to close connections.
        const double spare = 1 - static_cast<double>(closeUs * perSecond) / usPerSecond;
        const double capacity = perSecond < 250 ? 0.9 * 17 * static_cast<double>(perSecond) : 0.4 * 17 * 250 * spare;
        CHECK(static_cast<double>(result.inTime) >= capacity);
        ConnectionAdmission none({});
        const Result before = BusyGateway(none, false).play(perSecond, 20);
        MESSAGE(perSecond, " a second without: ", before.taken, " taken, ", before.inTime, " in time");
        CHECK((perSecond < 250 || shareInTime(before) < 0.75));
    }
}

TEST_CASE("a gateway that carries its share of the traffic takes all connections, however late it is")
{
    ConnectionAdmission admission({});
    admission.setCrowding(0.2, 7);
    for (int i = 0; i < 100; ++i) {
        admission.recordTick(Millis{2000}, Millis{i * 2040});
        CHECK(admission.admit(0));
    }
    admission.setCrowding(1, 1);
    admission.recordTick(Millis{2000}, Millis{300000});
    CHECK_FALSE(admission.limitPerSecond());
}

TEST_CASE("a late tick limits nothing, and the limit ends once no connection reaches it")
{
    ConnectionAdmission admission({});
    admission.setCrowding(0.9, 7);
    admission.recordTick(Millis{3000}, Millis{3000});
    CHECK_FALSE(admission.limitPerSecond());
    admission.recordTick(Millis{0}, Millis{3040});
    admission.recordTick(Millis{100}, Millis{3180});
    admission.recordTick(Millis{100}, Millis{3320});
    CHECK_FALSE(admission.limitPerSecond());
    admission.recordTick(Millis{100}, Millis{3460});
    CHECK(admission.limitPerSecond());
    CHECK(admission.limitPerSecond());
    constexpr int ticksOfThreeSeconds = 75;
    for (int i = 1; i <= ticksOfThreeSeconds; ++i) {
        admission.recordTick(Millis{0}, Millis{3460 + i * 40});
    }
    CHECK_FALSE(admission.limitPerSecond());
}

// Guards against closing callers at a gateway that has time, because two of them came within the same tick.
TEST_CASE("connections that come together are taken where few come on average")
{
    constexpr std::int64_t tickMs = 10;
    constexpr int ticksBetween = 25;
    ConnectionAdmission admission({});
    admission.setCrowding(0.9, 7);
    std::size_t closed = 0;
    for (int i = 1; i <= 300; ++i) {
        for (std::size_t open = 0; i % ticksBetween == 0 && open < 5; ++open) {
            closed += admission.admit(open) ? 0 : 1;
        }
        admission.recordTick(Millis{0}, Millis{i * tickMs});
    }
    CHECK(closed == 0);
    CHECK_FALSE(admission.limitPerSecond());
}

TEST_CASE("a limited gateway takes connections that come together where fewer than its limit come on average")
{
    constexpr std::int64_t tickMs = 10;
    constexpr int ticksBetween = 25;
    ConnectionAdmission admission({});
    admission.setCrowding(0.9, 7);
    std::int64_t now = 0;
    for (int i = 0; i < 3; ++i) {
        now += 100;
        admission.recordTick(Millis{90}, Millis{now});
    }
    REQUIRE(admission.limitPerSecond());
    std::size_t taken = 0;
    for (int i = 1; i <= ticksBetween; ++i) {
        now += tickMs;
        admission.recordTick(Millis{0}, Millis{now});
    }
    REQUIRE(admission.limitPerSecond());
    for (std::size_t open = 0; open < 100; ++open) {
        taken += admission.admit(open) ? 1 : 0;
    }
    // Of 100 a second, those of a tenth of a second.
    CHECK(taken >= 9);
    CHECK(taken <= 15);
}

// Guards against running out of descriptors for targets because callers hold all of them.
TEST_CASE("connections beyond the limit are not taken, and beyond half of it they close after their answers")
{
    ConnectionAdmission admission({.maxConnections = 10});
    CHECK(admission.admit(9));
    CHECK_FALSE(admission.admit(10));
    CHECK(admission.mayKeepOpen(5));
    CHECK_FALSE(admission.mayKeepOpen(6));
    admission.setMaxConnections(0);
    CHECK(admission.admit(100000));
    CHECK(admission.mayKeepOpen(100000));
}
