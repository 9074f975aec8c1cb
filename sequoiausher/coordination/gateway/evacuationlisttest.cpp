#include "sequoiausher/coordination/gateway/evacuationlist.h"

#include "sequoiausher/coordination/gateway/storeposition.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

using namespace Sequoiausher;

namespace {

const DataCentreId a{"a"};
const DataCentreId b{"b"};

GatewayEvacuation begun(const DataCentreId &dataCentre, Revision at)
{
    return {dataCentre, at, true};
}

GatewayEvacuation ended(const DataCentreId &dataCentre, Revision at)
{
    return {dataCentre, at, false};
}

} // namespace

TEST_CASE("a list and the changes after it show which data centres are evacuated")
{
    EvacuationList list;
    CHECK(list.completeUpTo() == 0);
    list.replaceAll({begun(a, 5)}, 10, Millis{0});
    CHECK(list.completeUpTo() == 10);
    CHECK(list.evacuated() == std::set{a});
    list.write(begun(b, 11));
    list.write(ended(a, 12));
    list.setCompleteUpTo(12);
    CHECK(list.completeUpTo() == 12);
    CHECK(list.evacuated() == std::set{b});
    list.write(begun(a, 13));
    CHECK(list.isEvacuated(a));
}

// Guards against a target in an evacuated data centre getting requests because an answer that was under way during the
// change, or a peer that was cut off, still has the state before it.
TEST_CASE("late states change nothing, whichever way they come")
{
    EvacuationList list;
    list.replaceAll({}, 10, Millis{0});
    list.write(begun(a, 12));
    list.write(ended(a, 11));
    list.merge({ended(a, 9)}, Millis{0});
    list.replaceAll({}, 9, Millis{0});
    list.replaceAll({}, 11, Millis{0});
    CHECK(list.isEvacuated(a));
    list.write(ended(a, 14));
    list.merge({begun(a, 12)}, Millis{0});
    list.write(begun(a, 13));
    CHECK_FALSE(list.isEvacuated(a));
}

// Guards against an evacuation that never ends: it was taken back before this gateway started, and a peer that was cut
// off meanwhile reports it.
TEST_CASE("a reported evacuation that the store no longer lists has ended, and the peer is told")
{
    EvacuationList list;
    list.replaceAll({}, 20, Millis{0});
    EvacuationList behind;
    behind.replaceAll({begun(a, 5)}, 10, Millis{0});
    list.merge(behind.states(), Millis{0});
    CHECK_FALSE(list.isEvacuated(a));
    behind.merge(list.states(), Millis{0});
    CHECK_FALSE(behind.isEvacuated(a));
    CHECK(list.digest() == behind.digest());
}

// Guards against sending to a data centre that is being emptied after the store came back from a copy made before the
// request: the operator writes the request again within about two seconds.
TEST_CASE("an evacuation that a restored store lacks lasts until there was time to request it again")
{
    EvacuationList list;
    list.replaceAll({begun(a, storePosition(1, 50))}, storePosition(1, 60), Millis{0});
    list.replaceAll({}, storePosition(2, 40), Millis{1000});
    CHECK(list.isEvacuated(a));
    SUBCASE("requested again")
    {
        list.write(begun(a, storePosition(2, 41)));
        list.tick(Millis{1000} + lostEvacuationGrace);
        CHECK(list.isEvacuated(a));
    }
    SUBCASE("not requested again")
    {
        list.tick(Millis{999} + lostEvacuationGrace);
        CHECK(list.isEvacuated(a));
        list.tick(Millis{1000} + lostEvacuationGrace);
        CHECK_FALSE(list.isEvacuated(a));
    }
    SUBCASE("a gateway that only hears from peers follows the one that read the store")
    {
        EvacuationList resting;
        resting.merge({begun(a, storePosition(1, 50))}, Millis{0});
        resting.tick(Millis{60000});
        CHECK(resting.isEvacuated(a));
        list.tick(Millis{1000} + lostEvacuationGrace);
        resting.merge(list.states(), Millis{60000});
        CHECK_FALSE(resting.isEvacuated(a));
    }
}

TEST_CASE("a restored store that lists an evacuation which had ended is believed until it ends there too")
{
    EvacuationList list;
    list.replaceAll({}, storePosition(1, 60), Millis{0});
    list.write(begun(a, storePosition(1, 61)));
    list.write(ended(a, storePosition(1, 70)));
    list.replaceAll({begun(a, storePosition(2, 61))}, storePosition(2, 65), Millis{1000});
    CHECK(list.isEvacuated(a));
    list.write(ended(a, storePosition(2, 66)));
    CHECK_FALSE(list.isEvacuated(a));
}

TEST_CASE("digests are equal for equal lists only, and never 0")
{
    EvacuationList one;
    EvacuationList other;
    CHECK(one.digest() == other.digest());
    CHECK(one.digest() != 0);
    one.write(begun(a, 3));
    CHECK(one.digest() != other.digest());
    other.merge(one.states(), Millis{0});
    CHECK(one.digest() == other.digest());
    one.write(ended(a, 4));
    CHECK(one.digest() != other.digest());
}

// A fleet in which a few gateways read the store, and reports between gateways are late, lost and doubled. The naive
// model is the store itself: whoever heard from it last knows all of it.
TEST_CASE("fleets of 3 to 300 gateways agree with the store whatever became of their reports")
{
    for (const std::size_t gateways : {std::size_t{3}, std::size_t{20}, std::size_t{300}}) {
        std::mt19937_64 random(gateways);
        std::vector<EvacuationList> fleet(gateways);
        std::map<DataCentreId, Revision> store;
        std::vector<GatewayEvacuation> events;
        Revision revision = 1;
        std::vector<std::vector<GatewayEvacuation>> underWay;
        for (auto &each : fleet) {
            each.replaceAll({}, revision, Millis{0});
        }
        const auto listOf = [&store] {
            std::vector<GatewayEvacuation> list;
            for (const auto &[dataCentre, at] : store) {
                list.push_back(begun(dataCentre, at));
            }
            return list;
        };
        for (int step = 0; step < 400; ++step) {
            const Millis now{step * 100};
            revision += 1 + random() % 5;
            const DataCentreId dataCentre{std::string(1, static_cast<char>('a' + random() % 4))};
            if (random() % 3 == 0) {
                if (store.erase(dataCentre) > 0) {
                    events.push_back(ended(dataCentre, revision));
                } else {
                    store[dataCentre] = revision;
                    events.push_back(begun(dataCentre, revision));
                }
            }
            // Two gateways read the store: one by its events, one by a list.
            for (const GatewayEvacuation &event : events) {
                fleet[0].write(event);
            }
            fleet[1].replaceAll(listOf(), revision, now);
            for (std::size_t i = 0; i < gateways; ++i) {
                underWay.push_back(fleet[random() % gateways].states());
                if (random() % 4 != 0) {
                    fleet[random() % gateways].merge(underWay[random() % underWay.size()], now);
                }
            }
            if (underWay.size() > 2000) {
                underWay.erase(underWay.begin(), underWay.begin() + 1000);
            }
            if (random() % 10 == 0) {
                // A restart: it knows nothing until it has listed the store.
                EvacuationList &started = fleet[2 + random() % (gateways - 2)];
                started = EvacuationList();
                started.replaceAll(listOf(), revision, now);
                const std::set<DataCentreId> names = started.evacuated();
                CHECK(names.size() == store.size());
            }
            for (const std::size_t reader : {0, 1}) {
                for (const auto &[name, at] : store) {
                    CHECK(fleet[reader].isEvacuated(name));
                }
                CHECK(fleet[reader].evacuated().size() == store.size());
            }
        }
        // One last round of reports that all arrive.
        for (auto &each : fleet) {
            each.merge(fleet[0].states(), Millis{50000});
            each.merge(fleet[1].states(), Millis{50000});
            CHECK(each.evacuated() == fleet[0].evacuated());
        }
    }
}
