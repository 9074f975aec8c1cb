#include "sequoiausher/protocol/clientapi/apierror.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace Sequoiausher {

namespace {

constexpr int firstServerError = 500;
constexpr int tooManyRequests = 429;
constexpr int unauthorized = 401;

QString typeOf(int status)
{
    if (status == unauthorized) {
        return QStringLiteral("authentication_error");
    }
    if (status == tooManyRequests) {
        return QStringLiteral("rate_limit_error");
    }
    return status >= firstServerError ? QStringLiteral("server_error") : QStringLiteral("invalid_request_error");
}

} // namespace

std::string errorBody(const ApiError &error)
{
    QJsonObject inner;
    inner[QStringLiteral("message")] = QString::fromStdString(error.message);
    inner[QStringLiteral("type")] = typeOf(error.status);
    inner[QStringLiteral("code")] = QString::fromStdString(error.code);
    inner[QStringLiteral("param")] = error.param.empty() ? QJsonValue() : QString::fromStdString(error.param);
    const QJsonObject outer{{QStringLiteral("error"), inner}};
    return QJsonDocument(outer).toJson(QJsonDocument::Compact).toStdString();
}

std::string errorEvent(const ApiError &error)
{
    return "data: " + errorBody(error) + "\n\n";
}

} // namespace Sequoiausher
