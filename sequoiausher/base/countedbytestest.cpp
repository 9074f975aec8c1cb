#include "sequoiausher/base/countedbytes.h"

#include <doctest/doctest.h>

#include <memory>

using namespace Sequoiausher;

TEST_CASE("a total holds the bytes of the parts that exist")
{
    const auto total = std::make_shared<std::size_t>(0);
    CountedBytes lasting(total);
    lasting.set(100);
    {
        CountedBytes passing(total);
        passing.set(50);
        passing.set(20);
        CHECK(*total == 120);
    }
    CHECK(*total == 100);
    const auto other = std::make_shared<std::size_t>(0);
    lasting.moveTo(other);
    CHECK(*total == 0);
    CHECK(*other == 100);
}
