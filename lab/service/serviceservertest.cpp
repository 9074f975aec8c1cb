#include "lab/service/serviceserver.h"

#include "lab/support/labcall.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QJsonArray>
#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

const std::string requestId = "00000000000000000000000000000001";

} // namespace

TEST_CASE("each run is logged with its keys, and each fault shows")
{
    struct Case
    {
        const char *fault;
        int status;
        bool whole;
        bool ownId;
        int runs;
    };
    const Case cases[] = {
        {R"({"mode": "none"})", 200, true, true, 1},
        {R"({"mode": "refuse"})", 503, true, true, 0},
        {R"({"mode": "slow", "value": 30})", 200, true, true, 1},
        {R"({"mode": "silent"})", 0, false, false, 0},
        {R"({"mode": "silent", "value": 1})", 0, false, false, 1},
        {R"({"mode": "break_midway"})", 200, false, true, 1},
        {R"({"mode": "wrong_id"})", 200, true, false, 1},
        {R"({"mode": "crossed"})", 200, true, true, 1},
        {R"({"mode": "error500"})", 500, true, true, 0},
        {R"({"mode": "error500", "value": 1})", 500, true, true, 1},
    };
    for (const Case &row : cases) {
        CAPTURE(row.fault);
        ServiceServer service(ServiceServerOptions{});
        service.listen();
        LabCaller caller(service.port());
        CHECK(caller.call("POST", "/lab/fault", row.fault).status == 200);
        const HttpHeaders headers{{{"X-Request-Id", requestId}, {"Idempotency-Key", "order-7"}}};
        const LabAnswer answer = caller.call("PUT", "/desk/orders/7", "body", headers, Millis{600});
        CHECK(answer.status == row.status);
        CHECK(answer.whole == row.whole);
        CHECK((answer.headers.value("X-Request-Id") == requestId) == row.ownId);
        const QJsonArray runs = caller.call("GET", "/lab/runs").json().value("runs").toArray();
        REQUIRE(runs.size() == row.runs);
        if (row.runs > 0) {
            CHECK(runs.at(0).toObject().value("idempotency_key").toString() == "order-7");
            CHECK(runs.at(0).toObject().value("request_id").toString().toStdString() == requestId);
        }
    }
}
