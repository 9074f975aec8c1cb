// Bytes from the platform's store, in which anybody may have written an entry.

#include "lab/fuzz/fuzztargets.h"

#include "platform/platformdialect.h"

#include "sequoiausher/base/error.h"

#include <QByteArray>
#include <QJsonDocument>

#include <algorithm>
#include <memory>
#include <string>

namespace Sequoiausher {

namespace {

const std::string goodItem = R"({"key":"servers/good","value":")"
    + QByteArray(R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":"ready",)"
                 R"("cold_remaining_ms":0,"sequence_number":4,"born":1764700000000})")
          .toBase64()
          .toStdString()
    + R"("})";

bool isGood(const GatewayTarget &target)
{
    return listedName(target).value == "good" && target.slots == 6;
}

void checkPage(const GatewayDialect &dialect, const std::string &items)
{
    const StoredTargets page
        = dialect.readTargetsAnswer(R"({"items":[)" + items + goodItem + R"(],"has_more":true,"current_rev":7})");
    if (std::none_of(page.targets.begin(), page.targets.end(), isGood) || page.next != "servers/good") {
        throw FuzzFinding("a good entry was lost with others of its page");
    }
}

void checkEvents(const GatewayDialect &dialect, const std::string &items)
{
    const StoreEvents heard = dialect.readWatchAnswer(R"({"events":[)" + items + goodItem + R"(],"current_rev":7})");
    const bool hasGood = std::any_of(heard.events.begin(), heard.events.end(), [](const StoreEvent &event) {
        return event.target && isGood(*event.target);
    });
    if (!hasGood) {
        throw FuzzFinding("a good entry was lost with others of a watch's answer");
    }
}

/** Whether the bytes are values of a list, each followed by a comma, so that one more value makes the list whole. */
bool isItems(const std::string &bytes)
{
    const auto isWhole = [&bytes](const char *last) {
        return QJsonDocument::fromJson(QByteArray::fromStdString("[" + bytes + last + "]")).isArray();
    };
    // Within a text, or within a value of another kind, only one of these would fit.
    return isWhole("0") && isWhole(goodItem.c_str());
}

} // namespace

void feedStore(std::string_view bytes)
{
    static const std::unique_ptr<const GatewayDialect> dialect = makePlatformDialect();
    const std::string body(bytes);
    for (const auto read : {+[](const GatewayDialect &by, const std::string &text) { by.readTargetsAnswer(text); },
                            +[](const GatewayDialect &by, const std::string &text) { by.readWatchAnswer(text); },
                            +[](const GatewayDialect &by, const std::string &text) {
                                by.readConfiguration(by.readConfigurationAnswer(200, text).raw);
                            }}) {
        try {
            read(*dialect, body);
        } catch (const Error &) {
            // Refused with a reason, as it should be.
        }
    }
    if (isItems(body)) {
        checkPage(*dialect, body);
        checkEvents(*dialect, body);
    }
}

} // namespace Sequoiausher
