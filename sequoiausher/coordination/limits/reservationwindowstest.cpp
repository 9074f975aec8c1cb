#include "sequoiausher/coordination/limits/reservationwindows.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

const OrganisationId one{"a"};
const OrganisationId other{"b"};
constexpr auto urgent = RequestClass::Urgent;
constexpr auto interactive = RequestClass::Interactive;

} // namespace

TEST_CASE("a refused reservation closes the window of its organisation and class only")
{
    ReservationWindows windows;
    windows.startReservation(one, interactive);
    windows.recordFull(Millis{50}, one, interactive);
    CHECK(!windows.isOpen(Millis{49}, one, interactive));
    CHECK(windows.isOpen(Millis{50}, one, interactive));
    CHECK(windows.isOpen(Millis{0}, one, urgent));
    CHECK(windows.isOpen(Millis{0}, other, interactive));
    CHECK(windows.nextPauseEnd(Millis{0}) == Millis{50});
    CHECK(windows.nextPauseEnd(Millis{50}) == Millis::never());
}

TEST_CASE("the limit grows by one with each reservation granted, until it is removed")
{
    ReservationWindows windows;
    windows.startReservation(one, interactive);
    windows.recordFull(Millis{0}, one, interactive);
    std::size_t most = 0;
    for (std::size_t round = 1; round < ReservationWindows::maxLimit; ++round) {
        std::size_t started = 0;
        while (started <= ReservationWindows::maxLimit && windows.isOpen(Millis{1}, one, interactive)) {
            windows.startReservation(one, interactive);
            started += 1;
        }
        most = std::max(most, started);
        CHECK(started == (round == 1 ? 1 : 2));
        windows.endReservation(one, interactive);
    }
    CHECK(windows.isOpen(Millis{1}, one, interactive));
    CHECK(most == 2);
}

TEST_CASE("after one of five pending reservations is refused, another may start when one of the rest ends")
{
    ReservationWindows windows;
    for (int i = 0; i < 5; ++i) {
        windows.startReservation(one, interactive);
    }
    windows.recordFull(Millis{0}, one, interactive);
    CHECK(!windows.isOpen(Millis{1}, one, interactive));
    windows.endReservation(one, interactive);
    CHECK(windows.isOpen(Millis{1}, one, interactive));
}
