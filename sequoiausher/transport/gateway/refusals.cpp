#include "sequoiausher/transport/gateway/refusals.h"

#include <array>
#include <cstdio>

namespace Sequoiausher {

namespace {

constexpr double millisPerSecond = 1000;

} // namespace

std::string ownAnswer(const GatewayDialect &dialect, const CallerRequest &request, const OwnAnswer &answer)
{
    const std::string body = answer.isHead ? "" : answer.reason + "\n";
    std::string bytes
        = "HTTP/1.1 " + std::to_string(answer.status) + " " + std::string(reasonOf(answer.status)) + "\r\n";
    bytes += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!request.attemptId.empty()) {
        bytes += dialect.attemptField(request);
    }
    if (answer.retryAfter) {
        std::array<char, 32> seconds{};
        std::snprintf(
            seconds.data(), seconds.size(), "%.3f", static_cast<double>(answer.retryAfter->count) / millisPerSecond);
        bytes += std::string("Retry-After: ") + seconds.data() + "\r\n";
    }
    bytes += connectionFields(answer.connection);
    return bytes + "\r\n" + body;
}

} // namespace Sequoiausher
