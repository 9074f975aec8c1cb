#include "lab/support/labhttp.h"

#include <QtCore/QByteArray>
#include <QtCore/QJsonDocument>

#include <charconv>
#include <random>

namespace Sequoiausher::Lab {

namespace {

std::int64_t integerOf(std::string_view text, std::int64_t fallback)
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc{} && end == text.data() + text.size() ? number : fallback;
}

} // namespace

void respondJson(HttpExchange &exchange, int status, const QJsonObject &json, HttpHeaders headers)
{
    const QByteArray body = QJsonDocument(json).toJson(QJsonDocument::Compact);
    headers.set("Content-Type", "application/json");
    const std::string_view id = exchange.headers().value(requestIdHeader);
    if (!id.empty() && !headers.has(requestIdHeader)) {
        headers.add(std::string(requestIdHeader), std::string(id));
    }
    exchange.respond(status, headers, std::string_view(body.constData(), static_cast<std::size_t>(body.size())));
}

void respondError(HttpExchange &exchange, int status, std::string_view message, const HttpHeaders &headers)
{
    const QString text = QString::fromUtf8(message.data(), static_cast<qsizetype>(message.size()));
    const QJsonObject error{
        {"message", text}, {"type", "lab_error"}, {"code", QJsonValue::Null}, {"param", QJsonValue::Null}};
    respondJson(exchange, status, QJsonObject{{"error", error}}, headers);
}

RequestId requestIdOf(const HttpExchange &exchange)
{
    const auto id = RequestId::fromHex(exchange.headers().value(requestIdHeader));
    return id ? *id : madeUpRequestId();
}

RequestId madeUpRequestId()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    const std::uint64_t high = generator();
    return RequestId{high, generator()};
}

std::int64_t integerHeader(const HttpExchange &exchange, std::string_view name, std::int64_t fallback)
{
    return integerOf(exchange.headers().value(name), fallback);
}

std::int64_t integerQuery(const HttpExchange &exchange, const std::string &name, std::int64_t fallback)
{
    return integerOf(exchange.queryItem(name), fallback);
}

QJsonObject jsonBody(const HttpExchange &exchange)
{
    const std::string &body = exchange.body();
    return QJsonDocument::fromJson(QByteArray::fromRawData(body.data(), static_cast<qsizetype>(body.size()))).object();
}

bool handleFaultCall(HttpExchange &exchange, Fault &fault)
{
    if (exchange.path() != "/lab/fault" || exchange.method() != "POST") {
        return false;
    }
    const auto parsed = parseFault(exchange.body());
    if (!parsed) {
        respondError(exchange, 400, "expected a mode of " + allNames<FaultMode>());
        return true;
    }
    fault = *parsed;
    respondJson(exchange, 200, QJsonObject{});
    return true;
}

} // namespace Sequoiausher::Lab
