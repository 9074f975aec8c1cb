#include "sequoiausher/base/hashing.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace Sequoiausher;

namespace {

std::vector<InstanceId> instances(int count)
{
    std::vector<InstanceId> members;
    for (int i = 0; i < count; ++i) {
        members.push_back(InstanceId{"r" + std::to_string(i)});
    }
    return members;
}

} // namespace

TEST_CASE("hashes are the same on every build")
{
    CHECK(hash64("") == 0x2d06800538d394c2ULL);
    CHECK(claimKeyOf(OrganisationId{"ab"}, "c") != claimKeyOf(OrganisationId{"a"}, "bc"));
}

TEST_CASE("a prefix is known by its organisation and its name, and an empty one is none")
{
    CHECK(prefixHashOf(OrganisationId{"a"}, "") == 0);
    CHECK(prefixHashOf(OrganisationId{"a"}, "orders") == prefixHashOf(OrganisationId{"a"}, "orders"));
    CHECK(prefixHashOf(OrganisationId{"a"}, "orders") != prefixHashOf(OrganisationId{"b"}, "orders"));
    CHECK(prefixHashOf(OrganisationId{"a"}, "orders") != prefixHashOf(OrganisationId{"a"}, "jobs"));
}

TEST_CASE("rendezvous order does not depend on the order of the list")
{
    std::vector<InstanceId> members = instances(20);
    const auto first = rendezvousTop(members, 42, 5);
    std::reverse(members.begin(), members.end());
    CHECK(rendezvousTop(members, 42, 5) == first);
    CHECK(first.size() == 5);
    CHECK(rendezvousTop(instances(3), 42, 5).size() == 3);
}

TEST_CASE("draws are evenly spread above 0 and up to 1")
{
    CHECK(unitDraw(0) > 0);
    CHECK(unitDraw(~std::uint64_t{0}) == 1);
    int below = 0;
    for (int i = 0; i < 1000; ++i) {
        below += unitDraw(hash64(std::to_string(i))) < 0.25 ? 1 : 0;
    }
    CHECK(below > 200);
    CHECK(below < 300);
}

TEST_CASE("a lost member moves only the keys it was first for")
{
    const std::vector<InstanceId> before = instances(20);
    std::vector<InstanceId> after = before;
    const InstanceId lost = after.back();
    after.pop_back();
    std::map<InstanceId, int> perMember;
    for (std::uint64_t key = 0; key < 2000; ++key) {
        const InstanceId first = rendezvousTop(before, key, 1).front();
        perMember[first] += 1;
        if (first != lost) {
            CHECK(rendezvousTop(after, key, 1).front() == first);
        }
    }
    for (const auto &entry : perMember) {
        CAPTURE(entry.first.value);
        CHECK(entry.second > 50);
        CHECK(entry.second < 160);
    }
}
