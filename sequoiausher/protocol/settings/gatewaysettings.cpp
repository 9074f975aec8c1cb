#include "sequoiausher/protocol/settings/gatewaysettings.h"

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/protocol/settings/logsection.h"

#include <cmath>
#include <cstdlib>

namespace Sequoiausher {

namespace {

constexpr double millisPerSecond = 1000;

/** The entry of the key; nullptr where it is missing or has no value. */
const IniEntry *filled(SectionReader &section, std::string_view key)
{
    const IniEntry *entry = section.entry(key);
    return entry != nullptr && !entry->value.empty() ? entry : nullptr;
}

/** Sets field where the key has a good number from least to most. */
void readNumber(SectionReader &section, std::string_view key, double least, double most, double &field)
{
    const IniEntry *entry = filled(section, key);
    if (entry == nullptr) {
        return;
    }
    char *end = nullptr;
    const double value = std::strtod(entry->value.c_str(), &end);
    if (end == nullptr || *end != '\0' || !std::isfinite(value) || value < least || value > most) {
        section.report(*entry, "a number from " + std::to_string(least) + " to " + std::to_string(most));
        return;
    }
    field = value;
}

/** A span that is written in milliseconds, with or without a fraction. */
void readMillis(SectionReader &section, std::string_view key, double least, double most, Millis &field)
{
    auto value = static_cast<double>(field.count);
    readNumber(section, key, least, most, value);
    field = Millis{std::llround(value)};
}

/** A span that is written in seconds. */
void readSeconds(SectionReader &section, std::string_view key, double least, double most, Millis &field)
{
    double value = static_cast<double>(field.count) / millisPerSecond;
    readNumber(section, key, least, most, value);
    field = Millis{std::llround(value * millisPerSecond)};
}

void readAddress(SectionReader &section, std::string_view key, std::string &field)
{
    if (filled(section, key) != nullptr) {
        field = section.address(key).value_or("");
    }
}

void readPort(SectionReader &section, std::string_view key, std::uint16_t &field)
{
    constexpr double mostPort = 65535;
    double port = field;
    readNumber(section, key, 0, mostPort, port);
    field = static_cast<std::uint16_t>(port);
}

/** Each part is the name of a data centre, a colon and that of its region. */
void readRegions(SectionReader &section, std::map<DataCentreId, RegionId> &regions)
{
    const IniEntry *entry = filled(section, "regions");
    if (entry == nullptr) {
        return;
    }
    for (const std::string &part : section.list("regions").value_or(std::vector<std::string>())) {
        const std::size_t colon = part.find(':');
        const bool isPair = colon != std::string::npos && colon > 0 && colon + 1 < part.size();
        if (!isPair || !regions.emplace(DataCentreId{part.substr(0, colon)}, RegionId{part.substr(colon + 1)}).second) {
            section.report(*entry, "each data centre once with its region, as in hall-a:north, hall-b:west");
            return;
        }
    }
}

void readGateway(SectionReader &section, GatewaySettings &settings)
{
    section.require("name", "the gateway's name");
    section.require("data_centre", "the data centre's name");
    section.require("address", "IP number and port for callers, as in 10.1.2.3:8080");
    section.require("ready_address", "IP number and port for questions whether it is ready, as in 10.1.2.3:8081");
    section.require("peer_address", "IP number and port for other gateways, as in 10.1.2.3:7100");
    settings.name.value = section.plainName("name").value_or("");
    settings.dataCentre.value = section.plainName("data_centre").value_or("");
    settings.address = section.address("address").value_or("");
    settings.readyAddress = section.address("ready_address").value_or("");
    settings.peerAddress = section.address("peer_address").value_or("");
    readAddress(section, "peer_listen_address", settings.peerListenAddress);
    readAddress(section, "metrics_address", settings.metricsAddress);
    readPort(section, "tunnel_port", settings.tunnelPort);
    constexpr double mostCores = 1024;
    constexpr double mostMbps = 1000000;
    readNumber(section, "processor_share", 0, mostCores, settings.processorShare);
    readRegions(section, settings.regions);
    readNumber(section, "link_mbps", 0, mostMbps, settings.linkMbps);
    constexpr double mostDescriptors = 1000000;
    double descriptors = 0;
    readNumber(section, "descriptors", 0, mostDescriptors, descriptors);
    settings.descriptors = static_cast<std::uint32_t>(descriptors);
    constexpr double mostMemoryMb = 1000000;
    double memoryMb = settings.memoryMb;
    readNumber(section, "memory_mb", 0, mostMemoryMb, memoryMb);
    settings.memoryMb = static_cast<std::uint32_t>(memoryMb);
    if (const IniEntry *rules = filled(section, "rules")) {
        settings.rulesFile = rules->value;
    }
}

void readStore(SectionReader &section, StoreSettings &settings)
{
    constexpr double minuteMs = 60000;
    section.require("address", "the store's IP number and port");
    settings.address = section.address("address").value_or("");
    readMillis(section, "call_timeout_ms", 10, minuteMs, settings.callTimeout);
    readMillis(section, "watch_time_ms", 100, minuteMs, settings.watchTime);
    readMillis(section, "watch_delay_ms", 10, minuteMs, settings.watchDelay);
    readMillis(section, "proof_interval_ms", 100, minuteMs, settings.proofInterval);
}

void readPeers(SectionReader &section, std::vector<InstanceId> &seeds)
{
    if (filled(section, "seeds") == nullptr) {
        return;
    }
    for (const std::string &address : section.addresses("seeds").value_or(std::vector<std::string>())) {
        seeds.push_back(InstanceId{address});
    }
}

void readBounds(SectionReader &section, GatewaySettings &settings)
{
    constexpr double minuteMs = 60000;
    constexpr double mostRepeats = 1000000;
    readMillis(section, "key_freshness_ms", 100, minuteMs, settings.keyFreshness);
    readMillis(section, "leave_ms", 500, minuteMs, settings.leaveBound);
    readNumber(section, "repeat_ratio", 0, 1, settings.repeats.ratio);
    readNumber(section, "repeat_slack", 0, mostRepeats, settings.repeats.slack);
    readSeconds(section, "repeat_window_s", 1, 600, settings.repeats.window);
    settings.coldTargets = section.name<ColdTargetUse>("cold_targets").value_or(settings.coldTargets);
}

void readStop(SectionReader &section, GatewayStopSettings &settings)
{
    readSeconds(section, "grace_s", 0, 3600, settings.grace);
    readMillis(section, "notice_ms", 0, 60000, settings.notice);
}

void readLog(SectionReader &section, LogSettings &settings)
{
    constexpr double hourMs = 3600000;
    readLogSection(section, settings);
    readMillis(section, "repeat_interval_ms", 100, hourMs, settings.repeatInterval);
}

} // namespace

GatewaySettings parseGatewaySettings(std::string_view text, const std::string &file, Problems &problems)
{
    const IniDocument document = parseIni(text, file, problems);
    IniReader reader(document, problems);
    GatewaySettings settings;
    if (auto section = reader.requiredSection("gateway")) {
        readGateway(*section, settings);
        section->finish();
    }
    if (auto section = reader.requiredSection("store")) {
        readStore(*section, settings.store);
        section->finish();
    }
    readOptionalSection(reader, "peers", readPeers, settings.seeds);
    readOptionalSection(reader, "bounds", readBounds, settings);
    readOptionalSection(reader, "stop", readStop, settings.stop);
    readOptionalSection(reader, "log", readLog, settings.log);
    reader.finish();
    return settings;
}

GatewaySettings parseGatewaySettings(std::string_view text, const std::string &file)
{
    Problems problems;
    GatewaySettings settings = parseGatewaySettings(text, file, problems);
    throwOnErrors(Step::Settings, file, problems);
    return settings;
}

} // namespace Sequoiausher
