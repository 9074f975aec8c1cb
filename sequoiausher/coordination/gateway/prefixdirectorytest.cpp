#include "sequoiausher/coordination/gateway/prefixdirectory.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const TargetId a{"a"};
const TargetId b{"b"};
const InstanceId peer{"p"};

} // namespace

TEST_CASE("targets hold the parts sent there, the earliest holder first, until a part is no longer used")
{
    PrefixDirectory directory;
    CHECK(directory.holders(1, Millis{0}).empty());
    directory.recordSent(1, a, Millis{0});
    directory.recordPeerPlacement(peer, 1, b, Millis{10}, UpdateScope::Own);
    directory.recordSent(1, b, Millis{30000});
    CHECK(directory.holders(1, Millis{50000}) == std::vector{a, b});
    CHECK(directory.holders(1, Millis{61000}) == std::vector{b});
    directory.removeHolder(1, b);
    CHECK(directory.holders(1, Millis{61000}).empty());
}

TEST_CASE("a placement is announced to peers once, and again while it stays in use")
{
    PrefixDirectory directory;
    directory.recordSent(1, a, Millis{0});
    directory.recordSent(1, a, Millis{100});
    CHECK(directory.takeUpdates(peer, UpdateScope::Own) == std::vector{GatewayPlacement{1, a}});
    directory.recordSent(1, a, Millis{200});
    CHECK(directory.takeUpdates(peer, UpdateScope::Own).empty());
    directory.recordSent(1, a, Millis{15200});
    CHECK(directory.takeUpdates(peer, UpdateScope::Own).size() == 1);
    directory.recordPeerPlacement(peer, 2, a, Millis{15200}, UpdateScope::Own);
    directory.recordSent(2, a, Millis{15300});
    CHECK(directory.takeUpdates(peer, UpdateScope::Own).empty());
}

TEST_CASE("a hub passes updates on: from its gateways to all, from other hubs to its gateways")
{
    PrefixDirectory directory;
    const InstanceId gateway{"g"};
    const InstanceId hub{"h"};
    directory.recordPeerPlacement(gateway, 1, a, Millis{0}, UpdateScope::Group);
    directory.recordPeerPlacement(hub, 2, b, Millis{0}, UpdateScope::All);
    directory.recordSent(3, a, Millis{0});
    CHECK(directory.takeUpdates(hub, UpdateScope::Group)
          == std::vector{GatewayPlacement{1, a}, GatewayPlacement{3, a}});
    CHECK(directory.takeUpdates(gateway, UpdateScope::All)
          == std::vector{GatewayPlacement{2, b}, GatewayPlacement{3, a}});
    CHECK(directory.takeUpdates(peer, UpdateScope::All).size() == 3);
    CHECK(directory.takeUpdates(peer, UpdateScope::All).empty());
}

TEST_CASE("the numbers of parts, holders and updates are bounded")
{
    PrefixDirectory directory({.ttl = Millis{60000}, .maxParts = 10, .maxHolders = 2});
    for (std::uint64_t part = 0; part < 100; ++part) {
        directory.recordSent(part, a, Millis{static_cast<std::int64_t>(part)});
    }
    CHECK(directory.size() == 10);
    CHECK(directory.holders(89, Millis{100}).empty());
    CHECK(directory.holders(90, Millis{100}) == std::vector{a});
    directory.recordSent(90, b, Millis{101});
    directory.recordSent(90, TargetId{"c"}, Millis{102});
    CHECK(directory.holders(90, Millis{103}) == std::vector{b, TargetId{"c"}});
    for (std::uint64_t part = 0; part < 1000; ++part) {
        directory.recordSent(part, b, Millis{200});
    }
    CHECK(directory.takeUpdates(peer, UpdateScope::Own).size() == 256);
}
