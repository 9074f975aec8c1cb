#include "sequoiausher/coordination/gateway/loadshedder.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const PoolId service{"desk"};
constexpr Millis aim{150};

/** So many answers of one length, 100 ms apart; the time after them. */
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

TEST_CASE("nothing is shed while answers are quick, or slow without a queue")
{
    LoadShedder shedder;
    const SheddingRank background{RequestClass::Background, false};
    CHECK(shedder.admittedPart(service, background, Millis{0}) == 1);
    Millis now = answer(shedder, 50, Millis{40}, true, Millis{0});
    CHECK(shedder.admittedPart(service, background, now) == 1);
    // Its work takes that long: asking less would bring nothing.
    now = answer(shedder, 50, Millis{400}, false, now);
    CHECK(shedder.admittedPart(service, background, now) == 1);
    CHECK(shedder.decideAdmission(service, background, 0.999, now).isAdmitted);
}

// Symptom: half of a service's answers came after 150 ms, the aim, while it worked without a pause.
// Events: for seconds it is asked for half as much again as it can do; 24 requests wait before its 6 places.
// Cause: nobody refused what could not be in time, until the queues themselves were full.
TEST_CASE("answers out of a full queue shed more and more, and quick ones end it")
{
    LoadShedder shedder;
    const SheddingRank background{RequestClass::Background, false};
    Millis now = answer(shedder, 9, Millis{150}, true, Millis{0});
    const double part = shedder.admittedPart(service, background, now);
    CHECK(part < 0.7);
    CHECK(part > 0.4);
    // It hangs on the time, not on how many answers one gateway sees in it.
    LoadShedder busy;
    for (int i = 0; i < 90; ++i) {
        busy.recordAnswer(service, {Millis{150}, aim, true}, Millis{i * 10});
    }
    CHECK(busy.admittedPart(service, background, Millis{900}) == doctest::Approx(part).epsilon(0.3));
    CHECK_FALSE(shedder.decideAdmission(service, background, 0.9, now).isAdmitted);
    CHECK(shedder.decideAdmission(service, background, 0.9, now).admittedPart
          == shedder.admittedPart(service, background, now));
    now = answer(shedder, 100, Millis{150}, true, now);
    // Some always go on: nobody starves, and the end of the overload is noticed.
    CHECK(shedder.admittedPart(service, background, now) == doctest::Approx(0.1));
    now = answer(shedder, 100, Millis{30}, false, now);
    CHECK(shedder.admittedPart(service, background, now) == 1);
}

TEST_CASE("whoever is late gives way before who is not, and the less urgent before the more urgent")
{
    LoadShedder shedder;
    const Millis now = answer(shedder, 4, Millis{150}, true, Millis{0});
    const auto part = [&](RequestClass requestClass, bool isLate) {
        return shedder.admittedPart(service, {requestClass, isLate}, now);
    };
    CHECK(part(RequestClass::Background, true) < part(RequestClass::Background, false));
    CHECK(part(RequestClass::Background, false) < 1);
    CHECK(part(RequestClass::Interactive, false) == 1);
    CHECK(part(RequestClass::Urgent, true) == 1);
    // Pressure that the least urgent cannot relieve alone reaches the others, in order.
    const Millis later = answer(shedder, 40, Millis{200}, true, now);
    const double interactive = shedder.admittedPart(service, {RequestClass::Interactive, false}, later);
    const double urgent = shedder.admittedPart(service, {RequestClass::Urgent, false}, later);
    CHECK(interactive < 1);
    CHECK(interactive <= urgent);
}

TEST_CASE("a target that rejects counts, and pressure fades where nothing is heard")
{
    LoadShedder shedder;
    const SheddingRank background{RequestClass::Background, false};
    for (int i = 0; i < 8; ++i) {
        shedder.recordRejection(service, Millis{i * 100});
    }
    const double part = shedder.admittedPart(service, background, Millis{700});
    CHECK(part < 0.5);
    CHECK(shedder.admittedPart(service, background, Millis{4000}) > part + 0.3);
    CHECK(shedder.admittedPart(PoolId{"other"}, background, Millis{1000}) == 1);
}
