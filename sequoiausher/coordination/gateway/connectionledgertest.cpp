#include "sequoiausher/coordination/gateway/connectionledger.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

namespace {

constexpr Millis second{1000};

std::vector<ConnectionLedger::Number> descriptorOrder(ConnectionLedger &ledger, Millis now)
{
    std::vector<ConnectionLedger::Number> order;
    while (const auto yields = ledger.yieldsDescriptor(now)) {
        order.push_back(*yields);
        ledger.remove(*yields);
    }
    return order;
}

} // namespace

TEST_CASE("connections give up descriptors in the order of their uses, and one in use does not")
{
    ConnectionLedger ledger;
    const std::vector<ConnectionUse> uses{ConnectionUse::InUse,
                                          ConnectionUse::Unread,
                                          ConnectionUse::Kept,
                                          ConnectionUse::Body,
                                          ConnectionUse::Stalled,
                                          ConnectionUse::Head,
                                          ConnectionUse::Silent,
                                          ConnectionUse::Closing};
    for (std::size_t i = 0; i < uses.size(); ++i) {
        ledger.add(i, second);
        ledger.setUse(i, uses[i], second);
    }
    CHECK(descriptorOrder(ledger, second * 3) == std::vector<ConnectionLedger::Number>{7, 6, 5, 4, 3, 2, 1});
    CHECK(ledger.size() == 1);
}

// Guards against a client that keeps its place by sending its request byte by byte.
TEST_CASE("among connections of one use the one that has had it for longest yields, however often that was told")
{
    ConnectionLedger ledger;
    ledger.add(1, Millis{0});
    ledger.add(2, Millis{0});
    ledger.setUse(1, ConnectionUse::Head, Millis{10});
    ledger.setUse(2, ConnectionUse::Head, Millis{20});
    ledger.setUse(1, ConnectionUse::Head, Millis{500});
    for (const Millis now : {Millis{600}, second * 3}) {
        CHECK(ledger.yieldsDescriptor(now) == 1);
    }
    ledger.setUse(1, ConnectionUse::InUse, Millis{600});
    CHECK(ledger.yieldsDescriptor(Millis{600}) == 2);
    CHECK(ledger.yieldsDescriptor(second * 3) == 2);
}

// Guards against closing an ordinary caller whose request is on its way, beside clients that hold parts of requests.
TEST_CASE("a new connection outlasts those that stand still, and beside new ones the oldest yields")
{
    constexpr Millis now{5000};
    ConnectionLedger ledger;
    ledger.add(1, now - Millis{100});
    ledger.add(2, now - Millis{300});
    ledger.setUse(2, ConnectionUse::Head, now - Millis{300});
    ledger.add(3, now - Millis{200});
    ledger.add(4, now - second);
    ledger.setUse(4, ConnectionUse::Head, now - second);
    ledger.add(5, now);
    ledger.setUse(5, ConnectionUse::Stalled, now);
    ledger.add(6, now - second * 4);
    ledger.setUse(6, ConnectionUse::Body, now - second * 4);
    ledger.add(7, now - second * 4);
    ledger.setUse(7, ConnectionUse::Kept, now - second * 4);
    ledger.add(8, now);
    ledger.setUse(8, ConnectionUse::Closing, now);
    CHECK(descriptorOrder(ledger, now) == std::vector<ConnectionLedger::Number>{8, 4, 5, 2, 3, 1, 6, 7});
}

// Guards against closing a caller that reads slowly in place of one that reads nothing.
TEST_CASE("by memory the connection yields whose caller would need longest for what it holds")
{
    ConnectionLedger ledger;
    for (const ConnectionLedger::Number number : {1, 2, 3}) {
        ledger.add(number, Millis{0});
        ledger.setHeld(number, {100000, 0}, 0, Millis{0});
    }
    for (Millis now = second; now < second * 10; now += second) {
        ledger.setHeld(1, {100000, 0}, 50000, now);
        ledger.setHeld(2, {100000, 0}, 160, now);
        ledger.setHeld(3, {100000, 0}, 0, now);
    }
    CHECK(ledger.yieldMemory(1, second * 10) == std::vector<ConnectionLedger::Number>{3});
    CHECK(ledger.yieldMemory(150000, second * 10) == std::vector<ConnectionLedger::Number>{3, 2});
    CHECK(ledger.yieldMemory(1000000, second * 10).size() == 3);
}

TEST_CASE("a connection that holds nothing gives up no memory")
{
    ConnectionLedger ledger;
    ledger.add(1, Millis{0});
    CHECK(ledger.yieldMemory(1000, second).empty());
    ledger.setHeld(1, {0, 40}, 0, Millis{0});
    CHECK(ledger.yieldMemory(1000, second).size() == 1);
}

// Guards against cutting a request that runs for long in favour of callers that come and read nothing.
TEST_CASE("a request that only waits for its target gives up no memory, an answer that is not taken does")
{
    ConnectionLedger ledger;
    for (const ConnectionLedger::Number number : {1, 2}) {
        ledger.add(number, Millis{0});
        ledger.setUse(number, ConnectionUse::InUse, Millis{0});
    }
    ledger.setHeld(1, {0, 2000}, 0, Millis{0});
    ledger.setHeld(2, {1000, 0}, 0, second * 9);
    CHECK(ledger.yieldMemory(100000, second * 10) == std::vector<ConnectionLedger::Number>{2});
}

TEST_CASE("a caller has stalled once it has taken nothing of an answer for the stalled time")
{
    ConnectionLedger ledger;
    ledger.add(1, Millis{0});
    CHECK_FALSE(ledger.hasStalled(1, second * 5));
    ledger.setHeld(1, {500, 0}, 0, second * 5);
    CHECK_FALSE(ledger.hasStalled(1, second * 5));
    CHECK(ledger.hasStalled(1, second * 5 + ConnectionLedger::stalledTime));
    ledger.setHeld(1, {499, 0}, 1, second * 6);
    CHECK_FALSE(ledger.hasStalled(1, second * 6));
    CHECK_FALSE(ledger.hasStalled(2, second * 6));
}
