#include "sequoiausher/coordination/gateway/partdirectory.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const TargetId a{"a"};
const TargetId b{"b"};

} // namespace

TEST_CASE("a part is where it was sent, the first place first, until nobody asks for it")
{
    PartDirectory directory;
    CHECK(directory.holders(1, Millis{0}).empty());
    directory.sent(1, a, Millis{0});
    directory.heard(1, b, Millis{10});
    directory.sent(1, b, Millis{30000});
    CHECK(directory.holders(1, Millis{50000}) == std::vector{a, b});
    CHECK(directory.holders(1, Millis{61000}) == std::vector{b});
    directory.dropped(1, b);
    CHECK(directory.holders(1, Millis{61000}).empty());
}

TEST_CASE("peers hear of a placement once, and again while it stays in use")
{
    PartDirectory directory;
    directory.sent(1, a, Millis{0});
    directory.sent(1, a, Millis{100});
    CHECK(directory.takeNews() == std::vector{GatewayPlacement{1, a}});
    directory.sent(1, a, Millis{200});
    CHECK(directory.takeNews().empty());
    directory.sent(1, a, Millis{15200});
    CHECK(directory.takeNews().size() == 1);
    directory.heard(2, a, Millis{15200});
    directory.sent(2, a, Millis{15300});
    CHECK(directory.takeNews().empty());
}

TEST_CASE("what is remembered is bounded")
{
    PartDirectory directory({.life = Millis{60000}, .mostParts = 10, .mostHolders = 2});
    for (std::uint64_t part = 0; part < 100; ++part) {
        directory.sent(part, a, Millis{static_cast<std::int64_t>(part)});
    }
    CHECK(directory.size() == 10);
    CHECK(directory.holders(89, Millis{100}).empty());
    CHECK(directory.holders(90, Millis{100}) == std::vector{a});
    directory.sent(90, b, Millis{101});
    directory.sent(90, TargetId{"c"}, Millis{102});
    CHECK(directory.holders(90, Millis{103}) == std::vector{b, TargetId{"c"}});
    for (std::uint64_t part = 0; part < 1000; ++part) {
        directory.sent(part, b, Millis{200});
    }
    CHECK(directory.takeNews().size() == 256);
}
