#include "sequoiausher/state/answers/keptanswer.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

// Guards against a caller that gets half of an answer, or the answer to another request. An answer is handed over from
// router to router, a part of it is lost or replaced by a part of another answer, and the receiver does not check it.
TEST_CASE("an answer that was changed on its way is not whole")
{
    struct Row
    {
        const char *name;
        KeptAnswer answer;
        std::string body;
        bool whole;
    };
    const std::string body = R"({"plate": "AB-123-C"})";
    const KeptAnswer answer = describe({0, 1}, {0, 2}, 3, {200, "application/json"}, body);
    KeptAnswer otherAttempt = answer;
    otherAttempt.attempt = {0, 9};
    KeptAnswer otherKey = answer;
    otherKey.key = {0, 9};
    KeptAnswer otherRequest = answer;
    otherRequest.bodyDigest = 9;
    KeptAnswer otherStatus = answer;
    otherStatus.head.status = 500;
    KeptAnswer otherType = answer;
    otherType.head.contentType = "text/plain";
    KeptAnswer older = answer;
    older.age = Millis{1000};
    const std::vector<Row> rows{
        {"as it was", answer, body, true},
        {"older", older, body, true},
        {"cut", answer, body.substr(0, body.size() - 1), false},
        {"longer", answer, body + " ", false},
        {"empty", answer, "", false},
        {"one byte differs", answer, R"({"plate": "AB-123-D"})", false},
        {"of another attempt", otherAttempt, body, false},
        {"of another key", otherKey, body, false},
        {"of another request body", otherRequest, body, false},
        {"of another status", otherStatus, body, false},
        {"of another type", otherType, body, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CHECK(isWhole(row.answer, row.body) == row.whole);
    }
}

TEST_CASE("an empty body is a whole answer")
{
    CHECK(isWhole(describe({0, 1}, {0, 2}, 3, {204, ""}, ""), ""));
}
