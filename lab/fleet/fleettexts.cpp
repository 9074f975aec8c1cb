#include "lab/fleet/fleettexts.h"

#include <QtCore/QByteArray>
#include <QtCore/QCryptographicHash>

namespace Sequoiausher::Lab {

namespace {

constexpr std::size_t dataCentres = 4;

std::string line(const std::string &key, const std::string &value)
{
    return key + " = " + value + "\n";
}

std::string line(const std::string &key, std::int64_t value)
{
    return line(key, std::to_string(value));
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string targets(const std::string &pool, const std::vector<std::uint16_t> &ports, int capacity)
{
    std::string text;
    for (std::size_t i = 0; i < ports.size(); ++i) {
        text += "\n[target " + pool + "-" + std::to_string(i + 1) + "]\n";
        text += line("address", loopback(ports[i]));
        text += line("data_centre", dataCentreOf(i));
        text += line("incarnation", 1);
        text += line("capacity", capacity);
    }
    return text;
}

} // namespace

std::string dataCentreOf(std::size_t number)
{
    return "nl-west-" + std::to_string(number % dataCentres + 1);
}

std::string routerSettings(const RouterRow &router, const FleetOptions &options)
{
    std::string text = "[router]\n";
    text += line("name", router.name);
    text += line("data_centre", router.dataCentre);
    text += line("address", loopback(router.port));
    text += line("peer_address", loopback(router.peerPort));
    text += line("workers", options.workers);
    text += "\n[platform]\n" + line("address", loopback(router.platformPort));
    text += "\n[claims]\n";
    text += line("lifetime_ms", options.claimLifetime.count);
    text += line("dispatch_window_ms", options.dispatchWindow.count);
    // In the proportion of the defaults: a claim must end well before what it counts may be too old to dispatch on.
    text += line("claim_timeout_ms", options.dispatchWindow.count / 2);
    text += line("settle_time_ms", options.settleTime.count);
    text += "\n[limits]\n" + line("first_byte_timeout_ms", options.firstByteTimeout.count);
    text += "\n[drain]\n";
    text += line("grace_ms", options.drainGrace.count);
    text += line("notice_ms", options.drainNotice.count);
    return text + options.moreSettings;
}

std::string instancesDocument(const std::vector<InstanceRow> &rows)
{
    std::string text;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        text += "[instance " + rows[i].name + "]\n";
        text += line("address", loopback(rows[i].port));
        text += line("peer_address", loopback(rows[i].peerPort));
        text += line("data_centre", dataCentreOf(i));
        text += line("state", rows[i].state);
        if (rows[i].firstStart != 0) {
            text += line("first_start", rows[i].firstStart);
        }
        text += "\n";
    }
    return text;
}

std::string organisationsDocument()
{
    const QByteArray digest = QCryptographicHash::hash(QByteArray(labApiKey), QCryptographicHash::Sha256);
    return "[organisation lab]\n" + line("key_sha256", digest.toHex().toStdString());
}

std::string engineDocument(const std::vector<std::uint16_t> &ports)
{
    constexpr int capacity = 64;
    return "[pool]\nkind = engine\n" + line("model", enginePool) + targets("plate", ports, capacity);
}

std::string serviceDocument(const std::vector<std::uint16_t> &ports)
{
    constexpr int capacity = 1000;
    return "[pool]\nkind = service\n" + targets("desk", ports, capacity);
}

std::string fleetRules()
{
    return R"([rule plates]
when.path = /v1/chat/completions
when.model = plate-model
then.pool = plate-model

[rule order-desk-read]
when.path = /orders*
when.method = GET, HEAD
then.pool = order-desk
then.policy = least-loaded
then.retry = idempotent
then.claim = none

[rule order-desk-write]
when.path = /orders*
then.pool = order-desk
then.policy = least-loaded
then.retry = safe
then.claim = required
then.deadline_ms = 20000
)";
}

} // namespace Sequoiausher::Lab
