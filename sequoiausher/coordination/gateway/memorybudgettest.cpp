#include "sequoiausher/coordination/gateway/memorybudget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr std::size_t megabyte = std::size_t{1} << 20U;
constexpr std::size_t limit = 80 * megabyte;
/** A quarter is for answers, an eighth for small bodies. */
constexpr std::size_t largePart = 50 * megabyte;
constexpr std::size_t largeBody = 4 * megabyte;

using Reservations = std::vector<std::unique_ptr<BodyReservation>>;

/** Reserves bodies of the size until one is not granted. @return what became of the last one. */
BodyAdmission fill(MemoryBudget &budget, Reservations &held, std::size_t bytes)
{
    BodyAdmission admission = BodyAdmission::Granted;
    while (admission == BodyAdmission::Granted) {
        held.push_back(std::make_unique<BodyReservation>(budget));
        admission = held.back()->reserve(bytes, Millis{0});
    }
    return admission;
}

} // namespace

TEST_CASE("large bodies leave the parts of answers and small bodies free")
{
    MemoryBudget budget(limit, 1);
    Reservations held;
    CHECK(fill(budget, held, largeBody) == BodyAdmission::Waits);
    CHECK(budget.bodyBytes() == largePart / largeBody * largeBody);
    CHECK(budget.waitingBodies() == 1);
    Reservations small;
    CHECK(fill(budget, small, MemoryBudget::smallBodyBytes) == BodyAdmission::Refused);
    CHECK(budget.bodyBytes() <= limit - limit / 4);
    CHECK(small.size() > 100);
    held.clear();
    small.clear();
    CHECK(budget.bodyBytes() == 0);
    CHECK(budget.waitingBodies() == 0);
}

TEST_CASE("small bodies use what large ones leave, unless one of these waits")
{
    MemoryBudget budget(limit, 1);
    Reservations small;
    CHECK(fill(budget, small, MemoryBudget::smallBodyBytes) == BodyAdmission::Refused);
    CHECK(budget.bodyBytes() == limit - limit / 4);
    BodyReservation large(budget);
    CHECK(large.reserve(largeBody, Millis{0}) == BodyAdmission::Waits);
    // Each that ends makes room that the large one is the first to get.
    Millis now{0};
    BodyAdmission admission = BodyAdmission::Waits;
    while (admission == BodyAdmission::Waits && !small.empty()) {
        small.pop_back();
        BodyReservation next(budget);
        CHECK(next.reserve(MemoryBudget::smallBodyBytes, now) == BodyAdmission::Refused);
        admission = large.check(now);
    }
    CHECK(admission == BodyAdmission::Granted);
}

TEST_CASE("bodies that wait are granted in their order, and refused after the longest wait")
{
    MemoryBudget budget(limit, 1);
    Reservations held;
    fill(budget, held, largeBody);
    BodyReservation second(budget);
    BodyReservation third(budget);
    CHECK(second.reserve(10 * megabyte, Millis{100}) == BodyAdmission::Waits);
    CHECK(third.reserve(largeBody, Millis{100}) == BodyAdmission::Waits);
    held.erase(held.begin());
    CHECK(held.back()->check(Millis{200}) == BodyAdmission::Granted);
    CHECK(second.check(Millis{200}) == BodyAdmission::Waits);
    CHECK(third.check(Millis{200}) == BodyAdmission::Waits);
    CHECK(second.check(Millis{100} + MemoryBudget::maxWait) == BodyAdmission::Refused);
    CHECK(second.bytes() == 0);
    held.erase(held.begin());
    CHECK(third.check(Millis{1000}) == BodyAdmission::Granted);
}

TEST_CASE("what can never be held, or would not get its turn in time, is refused at once")
{
    MemoryBudget budget(limit, 1);
    BodyReservation tooLarge(budget);
    CHECK(tooLarge.reserve(largePart + 1, Millis{0}) == BodyAdmission::TooLarge);
    Reservations held;
    fill(budget, held, largeBody);
    Reservations waiting;
    BodyAdmission admission = BodyAdmission::Waits;
    while (admission == BodyAdmission::Waits) {
        waiting.push_back(std::make_unique<BodyReservation>(budget));
        admission = waiting.back()->reserve(largeBody, Millis{0});
    }
    CHECK(admission == BodyAdmission::Refused);
    CHECK(budget.waitingBodies() <= limit / 2 / largeBody);
}

TEST_CASE("a body of unknown length grows from the small part to the large one")
{
    MemoryBudget budget(limit, 1);
    BodyReservation body(budget);
    CHECK(body.reserve(MemoryBudget::smallBodyBytes, Millis{0}) == BodyAdmission::Granted);
    CHECK(body.reserve(largeBody, Millis{0}) == BodyAdmission::Granted);
    CHECK(body.reserve(megabyte, Millis{0}) == BodyAdmission::Granted);
    CHECK(budget.bodyBytes() == largeBody);
    Reservations small;
    fill(budget, small, MemoryBudget::smallBodyBytes);
    CHECK(budget.bodyBytes() == limit - limit / 4);
}

TEST_CASE("answers take what bodies leave, and beyond that are held in smaller pieces")
{
    MemoryBudget budget(limit, 1);
    CHECK(budget.heldAnswerBound(megabyte) == megabyte);
    CHECK(budget.unsentBound(megabyte) == megabyte);
    *budget.answerTotal() = limit / 2;
    CHECK_FALSE(budget.isTightForAnswers());
    Reservations held;
    fill(budget, held, largeBody);
    CHECK(budget.bodyBytes() <= largePart - limit / 4);
    *budget.answerTotal() = limit / 2 + largeBody * 4;
    CHECK(budget.isTightForAnswers());
    CHECK(budget.heldAnswerBound(megabyte) < megabyte / 8);
    CHECK(budget.unsentBound(megabyte) < megabyte / 8);
    *budget.answerTotal() = 0;
    CHECK(held.back()->check(Millis{0}) == BodyAdmission::Granted);
}

TEST_CASE("without a limit everything is granted, and counted")
{
    MemoryBudget budget(0, 1);
    BodyReservation body(budget);
    CHECK(body.reserve(100 * limit, Millis{0}) == BodyAdmission::Granted);
    CHECK(budget.bodyBytes() == 100 * limit);
    *budget.answerTotal() = limit;
    CHECK_FALSE(budget.isTightForAnswers());
}

namespace {

/** One caller of the model: sends bodies of one size over its own link, one after the other. */
struct ModelCaller
{
    std::size_t bodyBytes = 0;
    std::unique_ptr<BodyReservation> memory;
    /** What has arrived of the body. */
    std::size_t received = 0;
    bool isAdmitted = false;
    Millis returnsAt;
    Millis answeredAt;
    std::size_t served = 0;
    std::size_t refused = 0;
};

struct ModelResult
{
    std::size_t mostBytes = 0;
    std::size_t largeServed = 0;
    std::size_t largeCallersServed = 0;
    std::size_t smallServed = 0;
    std::size_t smallRefused = 0;
};

/** So many large callers and as many small ones at one gateway of 850 Mbit/s for 30 s; a target takes 200 ms. */
ModelResult play(std::size_t callerCount)
{
    constexpr std::size_t linkBytesPerMs = 106250;
    constexpr std::size_t callerBytesPerMs = 3125;
    constexpr Millis workTime{200};
    constexpr Millis end{30000};
    MemoryBudget budget(limit, 1);
    std::vector<ModelCaller> callers(callerCount * 2);
    for (std::size_t i = 0; i < callers.size(); ++i) {
        callers[i].bodyBytes = i % 2 == 0 ? largeBody : 800;
    }
    ModelResult result;
    constexpr Millis step{10};
    for (Millis now{0}; now < end; now = now + step) {
        const auto reading
            = static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [](const ModelCaller &c) {
                  return c.isAdmitted && c.received < c.bodyBytes;
              }));
        const std::size_t perCaller
            = std::min(callerBytesPerMs, linkBytesPerMs / std::max<std::size_t>(reading, 1)) * 10;
        for (ModelCaller &caller : callers) {
            if (now < caller.returnsAt) {
                continue;
            }
            if (!caller.isAdmitted) {
                BodyAdmission admission = BodyAdmission::Granted;
                if (caller.memory) {
                    admission = caller.memory->check(now);
                } else {
                    caller.memory = std::make_unique<BodyReservation>(budget);
                    admission = caller.memory->reserve(caller.bodyBytes, now);
                }
                caller.isAdmitted = admission == BodyAdmission::Granted;
                if (admission == BodyAdmission::Refused) {
                    caller.memory.reset();
                    caller.refused += 1;
                    caller.returnsAt = now + Millis{1000 + static_cast<std::int64_t>(caller.refused * 37 % 1000)};
                }
            } else if (caller.received < caller.bodyBytes) {
                caller.received += perCaller;
                caller.answeredAt = now + workTime;
            } else if (now >= caller.answeredAt) {
                caller.served += 1;
                caller.memory.reset();
                caller.isAdmitted = false;
                caller.received = 0;
            }
        }
        result.mostBytes = std::max(result.mostBytes, budget.bodyBytes());
    }
    for (const ModelCaller &caller : callers) {
        const bool isLarge = caller.bodyBytes == largeBody;
        (isLarge ? result.largeServed : result.smallServed) += caller.served;
        result.largeCallersServed += isLarge && caller.served > 0 ? 1 : 0;
        result.smallRefused += isLarge ? 0 : caller.refused;
    }
    return result;
}

} // namespace

// Guards against a gateway that is killed for its memory, and against large requests that small ones starve.
TEST_CASE("beside 50, 200 and 1,000 callers the memory suffices, small requests go on and large ones get their turn")
{
    for (const std::size_t callers : {std::size_t{50}, std::size_t{200}, std::size_t{1000}}) {
        CAPTURE(callers);
        const ModelResult result = play(callers);
        CAPTURE(result.largeServed);
        CAPTURE(result.largeCallersServed);
        CHECK(result.mostBytes <= limit - limit / 4);
        CHECK(result.smallRefused == 0);
        CHECK(result.smallServed >= callers * 100);
        CHECK(result.largeServed >= 200);
        // A fair draw of 200 among 200 callers meets 126 of them.
        constexpr std::size_t fairlyMet = 100;
        CHECK(result.largeCallersServed >= std::min(callers, fairlyMet));
    }
}
