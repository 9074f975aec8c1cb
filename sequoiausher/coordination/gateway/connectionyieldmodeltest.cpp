#include "sequoiausher/coordination/gateway/connectionledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <random>
#include <vector>

using namespace Sequoiausher;

// Ways to choose the connections that give up what they hold, side by side. Callers of three kinds share the memory of
// a gateway: some read nothing, some a few bytes now and then, and ordinary ones take large answers over slow links.

namespace {

constexpr Millis step{40};
constexpr Millis length{30000};
constexpr std::size_t callers = 120;
/** Of each three callers one is of each kind. */
constexpr std::size_t kinds = 3;
constexpr std::size_t answerBytes = 400000;
/** Bytes that a caller of each kind takes in a step: nothing, 160 bytes a second, 2 Mbit/s. */
constexpr std::array<std::size_t, kinds> takenInStep{0, 7, 10000};
constexpr std::size_t ordinaryKind = 2;
constexpr std::size_t memoryBytes = callers * answerBytes / 2;
/** A caller that lost its connection, or has its answer, asks again after so long. */
constexpr Millis pauseBetween{200};

enum class Way {
    /** What ConnectionLedger does: by the time that the caller would need for what it holds. */
    DrainTime,
    MostHeld,
    LongestOpen,
    Newest,
};

struct Result
{
    std::size_t served = 0;
    std::size_t cutOrdinary = 0;
    std::size_t most = 0;
};

struct Caller
{
    std::size_t held = 0;
    Millis openedAt;
    Millis asksAt;
};

Result play(Way way)
{
    std::mt19937_64 random(7);
    std::uniform_int_distribution<std::int64_t> anyTime(0, 2000);
    std::vector<Caller> all(callers);
    ConnectionLedger ledger;
    for (Caller &caller : all) {
        caller.asksAt = Millis{anyTime(random)};
    }
    Result result;
    for (Millis now; now < length; now += step) {
        std::size_t held = 0;
        for (std::size_t i = 0; i < callers; ++i) {
            Caller &caller = all[i];
            const std::size_t taken = std::min(caller.held, takenInStep[i % kinds]);
            if (caller.held > 0) {
                caller.held -= taken;
                ledger.setHeld(i, {caller.held, 0}, taken, now);
                if (caller.held == 0) {
                    result.served += i % kinds == ordinaryKind ? 1 : 0;
                    ledger.remove(i);
                    caller.asksAt = now + pauseBetween;
                }
            } else if (now >= caller.asksAt) {
                caller = {answerBytes, now, {}};
                ledger.add(i, now);
                ledger.setHeld(i, {caller.held, 0}, 0, now);
            }
            held += caller.held;
        }
        const std::size_t overrun = held > memoryBytes ? held - memoryBytes : 0;
        std::vector<ConnectionLedger::Number> yielding;
        if (way == Way::DrainTime) {
            yielding = overrun > 0 ? ledger.yieldMemory(overrun, now) : yielding;
        } else {
            std::vector<ConnectionLedger::Number> order;
            for (std::size_t i = 0; i < callers; ++i) {
                if (all[i].held > 0) {
                    order.push_back(i);
                }
            }
            const auto yieldsBefore = [&](std::size_t left, std::size_t right) {
                if (way == Way::MostHeld) {
                    return all[left].held > all[right].held;
                }
                return way == Way::Newest ? all[left].openedAt > all[right].openedAt
                                          : all[left].openedAt < all[right].openedAt;
            };
            std::stable_sort(order.begin(), order.end(), yieldsBefore);
            for (std::size_t freed = 0; freed < overrun; freed += all[yielding.back()].held) {
                yielding.push_back(order[yielding.size()]);
            }
        }
        for (const ConnectionLedger::Number number : yielding) {
            result.cutOrdinary += number % kinds == ordinaryKind ? 1 : 0;
            held -= all[number].held;
            all[number] = {0, {}, now + pauseBetween};
            ledger.remove(number);
        }
        result.most = std::max(result.most, held);
    }
    return result;
}

} // namespace

TEST_CASE("the time that callers would need for what they hold tells those that read from those that do not")
{
    const Result drainTime = play(Way::DrainTime);
    CHECK(drainTime.most <= memoryBytes);
    // Only those that had just asked, when nobody's rate was known.
    CHECK(drainTime.cutOrdinary * 20 <= drainTime.served);
    for (const Way way : {Way::MostHeld, Way::LongestOpen, Way::Newest}) {
        const Result other = play(way);
        MESSAGE("served " << other.served << ", cut " << other.cutOrdinary << "; by drain time " << drainTime.served
                          << " and " << drainTime.cutOrdinary);
        CHECK(other.most <= memoryBytes);
        CHECK(drainTime.served > other.served);
        CHECK(drainTime.cutOrdinary < other.cutOrdinary);
    }
}
