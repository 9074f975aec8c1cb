#include "sequoiausher/protocol/http/httpheaders.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("header names have no case")
{
    HttpHeaders headers;
    headers.add("X-Request-Id", "a");
    headers.add("x-request-id", "b");
    CHECK(headers.value("X-REQUEST-ID") == "a");
    headers.set("X-Request-ID", "c");
    CHECK(headers.entries.size() == 1);
    CHECK(headers.value("x-request-id") == "c");
    CHECK(!headers.has("X-Request"));
    CHECK(headers.value("X-Request").empty());
}

TEST_CASE("a field that would break out of its line is not writable")
{
    // Symptom: a target sees a header that no router wrote. A caller sends a value with a bare line feed, the router
    // copies it, and the target reads the rest of the value as a header line of its own.
    CHECK(isWritableHeader({"X-Chat-Id", "blue one"}));
    CHECK(!isWritableHeader({"X-Chat-Id", "blue\nX-Priority: 0"}));
    CHECK(!isWritableHeader({"X-Chat-Id", "blue\rX-Priority: 0"}));
    CHECK(!isWritableHeader({"X Chat", "blue"}));
    CHECK(!isWritableHeader({"X:Chat", "blue"}));
    CHECK(!isWritableHeader({"", "blue"}));
}
