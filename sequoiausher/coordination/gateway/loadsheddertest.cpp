#include "sequoiausher/coordination/gateway/loadshedder.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const PoolId service{"desk"};
constexpr Millis aim{150};

/** Records count answers of the same response time, 100 ms apart; returns the time of the last one. */
Millis answer(LoadShedder &shedder, int count, Millis took, bool isCrowded, Millis from)
{
    Millis now = from;
    for (int i = 0; i < count; ++i) {
        now = now + Millis{100};
        shedder.recordAnswer(service, {took, aim, isCrowded}, now);
    }
    return now;
}

} // namespace

TEST_CASE("nothing is shed while answers are fast, or slow without a queue")
{
    LoadShedder shedder;
    const SheddingRank background{RequestClass::Background, false};
    CHECK(shedder.admittedFraction(service, background, Millis{0}) == 1);
    Millis now = answer(shedder, 50, Millis{40}, true, Millis{0});
    CHECK(shedder.admittedFraction(service, background, now) == 1);
    // The work itself takes this long, so fewer requests would not help.
    now = answer(shedder, 50, Millis{400}, false, now);
    CHECK(shedder.admittedFraction(service, background, now) == 1);
    CHECK(shedder.decideAdmission(service, background, 0.999, now).isAdmitted);
}

// Guards against a busy service of which half of the answers miss the aim of 150 ms. For seconds it receives one and a
// half times the requests that it can serve, and 24 requests wait for its 6 places. This happens if requests that
// cannot be answered in time are refused only when the queues are full.
TEST_CASE("answers from a full queue increase shedding, and fast answers end it")
{
    LoadShedder shedder;
    const SheddingRank background{RequestClass::Background, false};
    Millis now = answer(shedder, 9, Millis{150}, true, Millis{0});
    const double part = shedder.admittedFraction(service, background, now);
    CHECK(part < 0.7);
    CHECK(part > 0.4);
    // The increase depends on the time and not on the number of answers that a gateway sees in it.
    LoadShedder busy;
    for (int i = 0; i < 90; ++i) {
        busy.recordAnswer(service, {Millis{150}, aim, true}, Millis{i * 10});
    }
    CHECK(busy.admittedFraction(service, background, Millis{900}) == doctest::Approx(part).epsilon(0.3));
    CHECK_FALSE(shedder.decideAdmission(service, background, 0.9, now).isAdmitted);
    CHECK(shedder.decideAdmission(service, background, 0.9, now).admittedFraction
          == shedder.admittedFraction(service, background, now));
    now = answer(shedder, 100, Millis{150}, true, now);
    // Some requests are always admitted, to prevent starvation and to detect the end of the overload.
    CHECK(shedder.admittedFraction(service, background, now) == doctest::Approx(0.1));
    now = answer(shedder, 100, Millis{30}, false, now);
    CHECK(shedder.admittedFraction(service, background, now) == 1);
}

TEST_CASE("late requests are shed before others, and less urgent requests before more urgent ones")
{
    LoadShedder shedder;
    const Millis now = answer(shedder, 4, Millis{150}, true, Millis{0});
    const auto part = [&](RequestClass requestClass, bool isLate) {
        return shedder.admittedFraction(service, {requestClass, isLate}, now);
    };
    CHECK(part(RequestClass::Background, true) < part(RequestClass::Background, false));
    CHECK(part(RequestClass::Background, false) < 1);
    CHECK(part(RequestClass::Interactive, false) == 1);
    CHECK(part(RequestClass::Urgent, true) == 1);
    // Pressure that shedding the least urgent class cannot relieve reaches the other classes in order.
    const Millis later = answer(shedder, 40, Millis{200}, true, now);
    const double interactive = shedder.admittedFraction(service, {RequestClass::Interactive, false}, later);
    const double urgent = shedder.admittedFraction(service, {RequestClass::Urgent, false}, later);
    CHECK(interactive < 1);
    CHECK(interactive <= urgent);
}

TEST_CASE("rejections by targets add pressure, and pressure decays without answers")
{
    LoadShedder shedder;
    const SheddingRank background{RequestClass::Background, false};
    for (int i = 0; i < 8; ++i) {
        shedder.recordRejection(service, Millis{i * 100});
    }
    const double part = shedder.admittedFraction(service, background, Millis{700});
    CHECK(part < 0.5);
    CHECK(shedder.admittedFraction(service, background, Millis{4000}) > part + 0.3);
    CHECK(shedder.admittedFraction(PoolId{"other"}, background, Millis{1000}) == 1);
}
