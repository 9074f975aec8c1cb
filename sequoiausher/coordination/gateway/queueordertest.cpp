#include "sequoiausher/coordination/gateway/queueorder.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("requests with less to read come first, but never before a more urgent class")
{
    CHECK(shortestFirstPriority(RequestClass::Interactive, 110)
          < shortestFirstPriority(RequestClass::Interactive, 2400));
    CHECK(shortestFirstPriority(RequestClass::Interactive, 2400)
          < shortestFirstPriority(RequestClass::Interactive, 9200));
    CHECK(shortestFirstPriority(RequestClass::Urgent, 1000000) < shortestFirstPriority(RequestClass::Interactive, 0));
    CHECK(shortestFirstPriority(RequestClass::Interactive, 1000000)
          < shortestFirstPriority(RequestClass::Background, 0));
    CHECK(shortestFirstPriority(RequestClass::Background, 1000000) < enginePriorityCount);
}

// Guards against requests of one kind that overtake each other because their prompts differ a little.
TEST_CASE("requests of similar length have the same priority")
{
    CHECK(shortestFirstPriority(RequestClass::Urgent, 0) == shortestFirstPriority(RequestClass::Urgent, 1023));
    CHECK(shortestFirstPriority(RequestClass::Urgent, 1024) == shortestFirstPriority(RequestClass::Urgent, 4095));
    CHECK(shortestFirstPriority(RequestClass::Urgent, 4096) == shortestFirstPriority(RequestClass::Urgent, 100000));
}
