#include "sequoiausher/base/identifiers.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("a 128-bit number survives its hexadecimal form")
{
    const RequestId id{0x0123456789abcdefULL, 0xfedcba9876543210ULL};
    CHECK(id.toHex() == "0123456789abcdeffedcba9876543210");
    CHECK(RequestId::fromHex(id.toHex()) == id);
}

TEST_CASE("text that is not 32 hexadecimal digits is refused")
{
    for (const char *text : {"", "12", "0123456789abcdeffedcba987654321g", "0123456789ABCDEFFEDCBA9876543210"}) {
        CAPTURE(text);
        CHECK(!RequestId::fromHex(text).has_value());
    }
}
