#include "sequoiausher/transport/gateway/connectionfields.h"

#include "sequoiausher/coordination/gateway/connectiontimeouts.h"

namespace Sequoiausher {

namespace {

constexpr std::int64_t millisPerSecond = 1000;

} // namespace

std::string connectionFields(const ConnectionFate &fate)
{
    if (fate.closes) {
        return "Connection: close\r\n";
    }
    const std::int64_t seconds = announcedIdleTime(fate.idleLimit).count / millisPerSecond;
    if (seconds == 0) {
        return {};
    }
    return "Connection: keep-alive\r\nKeep-Alive: timeout=" + std::to_string(seconds) + "\r\n";
}

} // namespace Sequoiausher
