#include "sequoiausher/coordination/answers/holdersearch.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr ClaimKey key{3, 4};

std::vector<InstanceId> routers()
{
    std::vector<InstanceId> names;
    for (int i = 1; i <= 7; ++i) {
        names.push_back(InstanceId{"r" + std::to_string(i)});
    }
    return names;
}

InstanceList without(const std::vector<InstanceId> &absent)
{
    std::vector<InstanceId> names = routers();
    for (const InstanceId &each : absent) {
        std::erase(names, each);
    }
    return makeInstanceList(names);
}

std::vector<InstanceId> allAsked(const InstanceId &holder, const InstanceList &reachable)
{
    HolderSearch search;
    search.begin(key, holder, reachable);
    std::vector<InstanceId> asked;
    while (const auto next = search.next()) {
        CHECK(search.isLastAskedHolder() == (*next == holder));
        asked.push_back(*next);
    }
    return asked;
}

bool contains(const std::vector<InstanceId> &names, const InstanceId &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

TEST_CASE("a reachable holder is asked first, and each router once")
{
    const std::vector<InstanceId> ranked = without({}).selectInstances(key, 7);
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        CAPTURE(rank);
        const std::vector<InstanceId> asked = allAsked(ranked[rank], without({}));
        REQUIRE(asked.size() == 1 + maxSuccessors);
        CHECK(asked.front() == ranked[rank]);
        for (std::size_t i = 1; i < asked.size(); ++i) {
            CHECK(asked[i] == ranked[rank <= i - 1 ? i : i - 1]);
        }
    }
}

TEST_CASE("an unreachable holder is asked last")
{
    const std::vector<InstanceId> ranked = without({}).selectInstances(key, 7);
    const std::vector<InstanceId> asked = allAsked(ranked[0], without({ranked[0]}));
    REQUIRE(asked.size() == 1 + maxSuccessors);
    CHECK(asked.front() == ranked[1]);
    CHECK(asked.back() == ranked[0]);
}

TEST_CASE("in a fleet of one only the holder is asked, and it has no successor")
{
    const InstanceId only{"r1"};
    CHECK(allAsked(only, makeInstanceList({only})) == std::vector{only});
    CHECK(!successorFor(makeInstanceList({}), key).has_value());
}

// Guards against a retry that is answered with 'unknown' after a rolling update, although a router keeps the answer:
// routers restart one after another under their names, each one that keeps the answer hands it over, and the retry does
// not ask the last of them.
TEST_CASE("an answer is found after any rolling replacement of all routers")
{
    const std::vector<InstanceId> names = routers();
    for (std::size_t holder = 0; holder < names.size(); ++holder) {
        for (std::size_t begin = 0; begin < names.size(); ++begin) {
            InstanceId keeper = names[holder];
            for (std::size_t step = 0; step < names.size(); ++step) {
                const InstanceId &stops = names[(begin + step) % names.size()];
                if (keeper == stops) {
                    keeper = *successorFor(without({stops}), key);
                }
                CHECK(contains(allAsked(names[holder], without({})), keeper));
                CHECK(contains(allAsked(names[holder], without({stops})), keeper));
            }
        }
    }
}

TEST_CASE("an answer is found if the lists of the sending and the asking router differ by two")
{
    const std::vector<InstanceId> names = routers();
    const std::vector<InstanceId> ranked = without({}).selectInstances(key, names.size());
    for (const InstanceId &holder : names) {
        for (const InstanceId &first : names) {
            for (const InstanceId &second : names) {
                const std::vector<InstanceId> missing{holder, first, second};
                const InstanceId keeper = *successorFor(without(missing), key);
                CHECK(contains(allAsked(holder, without({})), keeper));
            }
        }
    }
}
