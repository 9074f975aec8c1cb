#include "sequoiausher/cli/requeststory.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace Sequoiausher;

TEST_CASE("the lines of one request are put in order, over several machines, with what was believed")
{
    std::istringstream log(
        "g2 {\"time\":\"T3\",\"level\":\"info\",\"part\":\"entry\",\"message\":\"request ended\",\"request\":\"r1\","
        "\"status\":\"502\"}\n"
        "g1 {\"time\":\"T1\",\"level\":\"info\",\"part\":\"config\",\"message\":\"configuration in force\","
        "\"revision\":\"3\"}\n"
        "g1 {\"time\":\"T2\",\"level\":\"info\",\"part\":\"entry\",\"message\":\"attempt ended without an answer\","
        "\"request\":\"r1\",\"how\":\"broken\"}\n"
        "g1 {\"time\":\"T4\",\"level\":\"info\",\"part\":\"config\",\"message\":\"configuration in force\","
        "\"revision\":\"4\"}\n"
        "g1 {\"time\":\"T2\",\"level\":\"info\",\"part\":\"entry\",\"message\":\"request ended\",\"request\":\"r2\"}\n"
        "not a line of ours\n");
    const RequestStory story = readRequestStory(log, "r1");
    CHECK(story.unread == 1);
    CHECK(toText(story)
          == "what was believed:\n  T1 config: configuration in force revision=3 [g1]\n"
             "what became of request r1:\n  T2 entry: attempt ended without an answer how=broken [g1]\n"
             "  T3 entry: request ended status=502 [g2]\n");
}

TEST_CASE("a request that no line names is told")
{
    std::istringstream log;
    CHECK(toText(readRequestStory(log, "r1")) == "no line names the request r1\n");
}
