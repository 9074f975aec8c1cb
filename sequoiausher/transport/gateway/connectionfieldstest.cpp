#include "sequoiausher/transport/gateway/connectionfields.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("an answer says what becomes of its connection")
{
    CHECK(connectionFields({true, Millis{15000}}) == "Connection: close\r\n");
    CHECK(connectionFields({false, Millis{15000}}) == "Connection: keep-alive\r\nKeep-Alive: timeout=12\r\n");
    CHECK(connectionFields({false, Millis{1999}}) == "Connection: keep-alive\r\nKeep-Alive: timeout=1\r\n");
    CHECK(connectionFields({false, Millis{1249}}).empty());
}
