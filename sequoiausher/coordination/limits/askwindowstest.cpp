#include "sequoiausher/coordination/limits/askwindows.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

const OrganisationId one{"a"};
const OrganisationId other{"b"};
constexpr auto urgent = RequestClass::Urgent;
constexpr auto interactive = RequestClass::Interactive;

} // namespace

TEST_CASE("an answer of full closes the window of its organisation and class alone")
{
    AskWindows windows;
    windows.asks(one, interactive);
    windows.full(Millis{50}, one, interactive);
    CHECK(!windows.isOpen(Millis{49}, one, interactive));
    CHECK(windows.isOpen(Millis{50}, one, interactive));
    CHECK(windows.isOpen(Millis{0}, one, urgent));
    CHECK(windows.isOpen(Millis{0}, other, interactive));
    CHECK(windows.nextEnd(Millis{0}) == Millis{50});
    CHECK(windows.nextEnd(Millis{50}) == Millis::never());
}

TEST_CASE("the window grows by one with each place got, until there is none")
{
    AskWindows windows;
    windows.asks(one, interactive);
    windows.full(Millis{0}, one, interactive);
    std::size_t most = 0;
    for (std::size_t round = 1; round < AskWindows::widest; ++round) {
        std::size_t asked = 0;
        while (asked <= AskWindows::widest && windows.isOpen(Millis{1}, one, interactive)) {
            windows.asks(one, interactive);
            asked += 1;
        }
        most = std::max(most, asked);
        CHECK(asked == (round == 1 ? 1 : 2));
        windows.answered(one, interactive);
    }
    CHECK(windows.isOpen(Millis{1}, one, interactive));
    CHECK(most == 2);
}

TEST_CASE("with several that ask, one that is refused leaves a window for the others")
{
    AskWindows windows;
    for (int i = 0; i < 5; ++i) {
        windows.asks(one, interactive);
    }
    windows.full(Millis{0}, one, interactive);
    CHECK(!windows.isOpen(Millis{1}, one, interactive));
    windows.answered(one, interactive);
    CHECK(windows.isOpen(Millis{1}, one, interactive));
}
