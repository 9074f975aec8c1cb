#include "lab/support/fault.h"

#include <QtCore/QByteArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

namespace Sequoiausher::Lab {

std::optional<Fault> parseFault(std::string_view json)
{
    const QJsonDocument document
        = QJsonDocument::fromJson(QByteArray(json.data(), static_cast<qsizetype>(json.size())));
    const auto mode = parseName<FaultMode>(document.object().value("mode").toString().toStdString());
    if (!mode) {
        return std::nullopt;
    }
    return Fault{*mode, document.object().value("value").toInteger()};
}

} // namespace Sequoiausher::Lab
