#include "sequoiausher/protocol/targetapi/targetload.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <cstdint>
#include <limits>

namespace Sequoiausher {

namespace {

/** Far above what one target runs, and far below where sums of loads overflow. */
constexpr std::int64_t maximumRequests = 1000000;
constexpr std::int64_t maximumAge = 86400000;

std::optional<std::int64_t> numberOf(const QJsonObject &object, const char *name, std::int64_t maximum)
{
    const QJsonValue value = object.value(QLatin1String(name));
    if (value.isUndefined()) {
        return 0;
    }
    // What goes wrong: a target that says -1 would count as four thousand million requests, and so as full for good.
    const std::int64_t number = value.toInteger(-1);
    return number >= 0 && number <= maximum ? std::optional(number) : std::nullopt;
}

} // namespace

std::optional<ReportedLoad> parseTargetLoad(Millis now, std::string_view body)
{
    if (body.size() > maximumLoadBytes) {
        return std::nullopt;
    }
    const QByteArray bytes = QByteArray::fromRawData(body.data(), static_cast<qsizetype>(body.size()));
    const QJsonDocument json = QJsonDocument::fromJson(bytes);
    if (!json.isObject()) {
        return std::nullopt;
    }
    const QJsonObject object = json.object();
    // A service may answer every path with some object. Read as a load of nothing, that would draw all requests to it.
    if (!object.contains(QLatin1String("in_flight"))) {
        return std::nullopt;
    }
    const auto incarnation = numberOf(object, "incarnation", std::numeric_limits<std::int64_t>::max());
    const auto inFlight = numberOf(object, "in_flight", maximumRequests);
    const auto queued = numberOf(object, "queued", maximumRequests);
    const auto age = numberOf(object, "age_ms", maximumAge);
    if (!incarnation || !inFlight || !queued || !age) {
        return std::nullopt;
    }
    ReportedLoad load;
    load.incarnation = static_cast<Incarnation>(*incarnation);
    load.load = static_cast<std::uint32_t>(*inFlight + *queued);
    load.measuredAt = now - Millis{*age};
    return load;
}

} // namespace Sequoiausher
