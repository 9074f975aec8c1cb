#include "sequoiausher/transport/router/operatorpages.h"

#include "sequoiausher/base/metrics/prometheus.h"
#include "sequoiausher/transport/router/reportpage.h"
#include "sequoiausher/transport/router/statuspage.h"

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;

void respond(HttpExchange &exchange, const char *type, const std::string &body)
{
    HttpHeaders headers;
    headers.add("Content-Type", type);
    exchange.respond(statusOk, headers, body);
}

} // namespace

bool answerOperatorPage(HttpExchange &exchange, const Node &node, const Metrics &metrics)
{
    const std::string &path = exchange.path();
    if (path == "/metrics") {
        respond(exchange, "text/plain; version=0.0.4", toPrometheus(metrics.snapshot()));
    } else if (path == "/status") {
        respond(exchange, "application/json", statusJson(node.status()));
    } else if (path == "/report") {
        respond(exchange, "application/json", reportJson(metrics.snapshot()));
    } else {
        return false;
    }
    return true;
}

} // namespace Sequoiausher
