#include "sequoiausher/coordination/gateway/suspectkey.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

TEST_CASE("the keys of a request are its own and one for each shared part")
{
    const SuspectedRequest request = describeRequest(OrganisationId{"garage"}, "/look", "body", {7, 8, 7});
    const std::vector<SuspectKey> keys = keysOf(request);
    REQUIRE(keys.size() == 3);
    CHECK(keys[0].kind == SuspectKind::Request);
    CHECK(keys[1] == SuspectKey{SuspectKind::PromptPart, keys[0].caller, 7});
    CHECK(keys[2] == SuspectKey{SuspectKind::PromptPart, keys[0].caller, 8});
}

// Guards against an organisation that has another one's part refused by sending the part's id with its own requests.
TEST_CASE("organisations that send the same part have different keys")
{
    const auto keyAt = [](const char *organisation) {
        return keysOf(describeRequest(OrganisationId{organisation}, "/look", "body", {7}))[1];
    };
    CHECK(keyAt("garage") == keyAt("garage"));
    CHECK(keyAt("garage") != keyAt("press"));
}

// Guards against memory that grows with what one caller writes into its prompt.
TEST_CASE("a request has a bounded number of keys")
{
    std::vector<std::uint64_t> parts(1000);
    std::generate(parts.begin(), parts.end(), [next = 0UL]() mutable { return next++; });
    CHECK(keysOf(describeRequest(OrganisationId{"garage"}, "/look", "body", parts)).size() == 65);
}
