#include "sequoiausher/coordination/gateway/peerbook.h"

#include <doctest/doctest.h>

#include <deque>
#include <set>

using namespace Sequoiausher;

namespace {

InstanceId nameOf(std::size_t i)
{
    return InstanceId{"10.0.0." + std::to_string(i) + ":8229"};
}

} // namespace

TEST_CASE("all gateways learn of all others from three seeds, of which one is stale")
{
    for (const std::size_t size : {7UL, 66UL}) {
        const std::vector<InstanceId> seeds{nameOf(0), nameOf(1), nameOf(999)};
        std::deque<PeerBook> books;
        for (std::size_t i = 0; i < size; ++i) {
            books.emplace_back(nameOf(i), seeds, i);
        }
        for (int round = 0; round < 12; ++round) {
            const Millis now{1000 + round * 300};
            for (std::size_t i = 0; i < size; ++i) {
                GatewayReport report;
                report.members = books[i].members(now);
                for (const InstanceId &to : books[i].due(now)) {
                    for (std::size_t j = 0; j < size; ++j) {
                        if (to == nameOf(j)) {
                            books[j].heardFrom(nameOf(i), report, now);
                        }
                    }
                }
            }
        }
        for (const PeerBook &book : books) {
            CHECK(book.fleetSize(Millis{5000}) == size);
        }
    }
}

TEST_CASE("one that is silent is no member soon, and is forgotten after a minute")
{
    PeerBook book(nameOf(0), {nameOf(1)}, 1);
    CHECK(book.fleetSize(Millis{0}) == 12);
    GatewayReport report;
    report.sentAt = Millis{77};
    book.heardFrom(nameOf(1), report, Millis{1000});
    book.heardFrom(nameOf(2), report, Millis{1000});
    CHECK(book.members(Millis{2000}).size() == 3);
    CHECK(book.newestFrom(nameOf(2)) == Millis{77});
    CHECK(book.members(Millis{7000}).size() == 1);
    CHECK(book.fleetSize(Millis{7000}) == 3);
    book.heardFrom(nameOf(1), report, Millis{62000});
    CHECK(book.fleetSize(Millis{62000}) == 2);
    CHECK(book.peers() == std::vector{nameOf(1)});
}
