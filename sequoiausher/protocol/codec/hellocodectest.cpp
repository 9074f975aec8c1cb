#include "sequoiausher/protocol/codec/hellocodec.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("a hello comes back with every field")
{
    const Hello hello{7, InstanceId{"r1"}, 1234567890123, DataCentreId{"brest-1"}, InstanceId{"r2"}, 200};
    CHECK(decodeHello(encodeHello(hello), "r1") == hello);
}

// Symptom: a crash while a connection opens.
// Events: something that is no router (a port scan, a browser, a cut connection) writes to the peer port.
// Cause: reading a buffer that nobody verified.
TEST_CASE("what is no hello is refused")
{
    const std::string good = encodeHello({1, InstanceId{"r1"}, 1, DataCentreId{"a"}, InstanceId{"r2"}});
    for (std::size_t length = 0; length < good.size() - 4; ++length) {
        CHECK_THROWS_AS(decodeHello(good.substr(0, length), "r1"), Error);
    }
    CHECK_THROWS_AS(decodeHello("GET / HTTP/1.1\r\n\r\n", "r1"), Error);
    CHECK_THROWS_AS(decodeHello(std::string(5000, '\0'), "r1"), Error);
    CHECK_THROWS_AS(decodeHello(encodeHello({}), "r1"), Error);
}
