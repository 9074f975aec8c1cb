#pragma once

// Small helpers over HttpExchange that the stand-ins share: JSON answers, OpenAI's error shape, request ids, and the
// call that sets a fault.
//
//     if (handleFaultCall(*exchange, this->fault)) {
//         return;
//     }
//     respondError(*exchange, 404, "unknown path");

#include "lab/support/fault.h"
#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/transport/http/httpserver.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonObject>

#include <cstdint>
#include <string>
#include <string_view>

namespace Sequoiausher::Lab {

/** The header that carries a request's id from end to end. */
inline constexpr std::string_view requestIdHeader = "X-Request-Id";

/** Answers with a JSON object. The request's id is echoed unless headers has one. */
void respondJson(HttpExchange &exchange, int status, const QJsonObject &json, HttpHeaders headers = {});

/** Answers with {"error": {"message", "type", "code", "param"}}. */
void respondError(HttpExchange &exchange, int status, std::string_view message, const HttpHeaders &headers = {});

/** The id in X-Request-Id, or a made-up one where there is none or it is malformed. */
RequestId requestIdOf(const HttpExchange &exchange);

/** A made-up id, different at each call and in each process. */
RequestId madeUpRequestId();

/** The value of a header as an integer, or fallback where it is missing or malformed. */
std::int64_t integerHeader(const HttpExchange &exchange, std::string_view name, std::int64_t fallback);

/** The value of a query item as an integer, or fallback where it is missing or malformed. */
std::int64_t integerQuery(const HttpExchange &exchange, const std::string &name, std::int64_t fallback);

/** The body as a JSON object, empty where it is none. */
QJsonObject jsonBody(const HttpExchange &exchange);

/** Handles POST /lab/fault; false where exchange is another call. */
bool handleFaultCall(HttpExchange &exchange, Fault &fault);

} // namespace Sequoiausher::Lab
