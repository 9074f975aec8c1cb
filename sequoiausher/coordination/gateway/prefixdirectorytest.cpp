#include "sequoiausher/coordination/gateway/prefixdirectory.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const TargetId a{"a"};
const TargetId b{"b"};
const InstanceId peer{"p"};

} // namespace

TEST_CASE("a part is where it was sent, the first place first, until nobody asks for it")
{
    PrefixDirectory directory;
    CHECK(directory.holders(1, Millis{0}).empty());
    directory.sent(1, a, Millis{0});
    directory.heard(peer, 1, b, Millis{10}, NewsScope::Own);
    directory.sent(1, b, Millis{30000});
    CHECK(directory.holders(1, Millis{50000}) == std::vector{a, b});
    CHECK(directory.holders(1, Millis{61000}) == std::vector{b});
    directory.dropped(1, b);
    CHECK(directory.holders(1, Millis{61000}).empty());
}

TEST_CASE("peers hear of a placement once, and again while it stays in use")
{
    PrefixDirectory directory;
    directory.sent(1, a, Millis{0});
    directory.sent(1, a, Millis{100});
    CHECK(directory.newsFor(peer, NewsScope::Own) == std::vector{GatewayPlacement{1, a}});
    directory.sent(1, a, Millis{200});
    CHECK(directory.newsFor(peer, NewsScope::Own).empty());
    directory.sent(1, a, Millis{15200});
    CHECK(directory.newsFor(peer, NewsScope::Own).size() == 1);
    directory.heard(peer, 2, a, Millis{15200}, NewsScope::Own);
    directory.sent(2, a, Millis{15300});
    CHECK(directory.newsFor(peer, NewsScope::Own).empty());
}

TEST_CASE("a hub passes on what it hears: from its gateways to all, from other hubs to its gateways")
{
    PrefixDirectory directory;
    const InstanceId gateway{"g"};
    const InstanceId hub{"h"};
    directory.heard(gateway, 1, a, Millis{0}, NewsScope::Group);
    directory.heard(hub, 2, b, Millis{0}, NewsScope::All);
    directory.sent(3, a, Millis{0});
    CHECK(directory.newsFor(hub, NewsScope::Group) == std::vector{GatewayPlacement{1, a}, GatewayPlacement{3, a}});
    CHECK(directory.newsFor(gateway, NewsScope::All) == std::vector{GatewayPlacement{2, b}, GatewayPlacement{3, a}});
    CHECK(directory.newsFor(peer, NewsScope::All).size() == 3);
    CHECK(directory.newsFor(peer, NewsScope::All).empty());
}

TEST_CASE("what is remembered is bounded")
{
    PrefixDirectory directory({.life = Millis{60000}, .mostParts = 10, .mostHolders = 2});
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
    CHECK(directory.newsFor(peer, NewsScope::Own).size() == 256);
}
