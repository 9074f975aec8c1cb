#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("an error names its step, its peer and its reason")
{
    const Error error(Step::Connect, "router r3", "connection refused");
    CHECK(std::string(error.what()) == "connect router r3: connection refused");
    CHECK(error.step() == Step::Connect);
    CHECK(error.peer() == "router r3");
    CHECK(error.reason() == "connection refused");
}

TEST_CASE("names are found both ways, and unknown ones are refused")
{
    CHECK(nameOf(Step::Claim) == "claim");
    CHECK(parseName<Step>("claim") == Step::Claim);
    CHECK(!parseName<Step>("clam").has_value());
    CHECK(allNames<Step>().substr(0, 15) == "settings, rules");
}
