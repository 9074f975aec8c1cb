#include "sequoiausher/protocol/settings/routersettings.h"

#include "sequoiausher/base/ini/inidocument.h"
#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/protocol/settings/logsection.h"

namespace Sequoiausher {

namespace {

constexpr std::int64_t secondMs = 1000;
constexpr std::int64_t minuteMs = 60 * secondMs;
constexpr std::int64_t hourMs = 60 * minuteMs;
constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;
constexpr std::int64_t gibibyte = 1024 * mebibyte;

/** Sets field to the key's value where the section has a good one; else its default stays. */
template<typename Integer>
void readInteger(SectionReader &section, std::string_view key, const IntegerRange &range, Integer &field)
{
    if (const auto value = section.integer(key, range)) {
        field = static_cast<Integer>(*value);
    }
}

void readDuration(SectionReader &section, std::string_view key, const IntegerRange &range, Millis &field)
{
    field = section.duration(key, range).value_or(field);
}

void readRouter(SectionReader &section, RouterSettings &settings)
{
    section.require("name", "the instance's name, as in the document 'instances'");
    section.require("data_centre", "the data centre's name");
    section.require("address", "IP number and port for callers, as in 10.1.2.3:8080");
    section.require("peer_address", "IP number and port for other routers, as in 10.1.2.3:7100");
    settings.name.value = section.plainName("name").value_or("");
    settings.dataCentre.value = section.plainName("data_centre").value_or("");
    settings.address = section.address("address").value_or("");
    settings.peerAddress = section.address("peer_address").value_or("");
    readInteger(section, "workers", {1, 64, "threads"}, settings.workers);
    if (!settings.address.empty() && settings.address == settings.peerAddress) {
        section.report(*section.entry("peer_address"), "an address other than that of 'address'");
    }
}

void readPlatform(SectionReader &section, PlatformSettings &settings)
{
    section.require("address", "the configuration service's IP number and port, or several, comma separated");
    settings.addresses = section.addresses("address").value_or(settings.addresses);
    readDuration(section, "watch_timeout_ms", {100, 10 * minuteMs, ""}, settings.watchTimeout);
    readDuration(section, "call_timeout_ms", {10, minuteMs, ""}, settings.callTimeout);
    readInteger(section, "readers", {1, 64, "instances"}, settings.readers);
}

void readSeeds(SectionReader &section, std::vector<PeerSeed> &seeds)
{
    const auto parts = section.list("seeds");
    if (!parts) {
        return;
    }
    for (const std::string &part : *parts) {
        const std::size_t equals = part.find('=');
        const std::string name = part.substr(0, equals);
        const std::string address = equals == std::string::npos ? "" : part.substr(equals + 1);
        if (!isPlainName(name) || !isAddressAndPort(address)) {
            section.report(*section.entry("seeds"), "NAME=ADDRESS:PORT, comma separated, as in r2=10.1.2.4:7100");
            return;
        }
        seeds.push_back({InstanceId{name}, address});
    }
}

void readPeers(SectionReader &section, PeerSettings &settings)
{
    readSeeds(section, settings.seeds);
    readDuration(section, "probe_interval_ms", {50, minuteMs, ""}, settings.probeInterval);
    readDuration(section, "probe_timeout_ms", {10, minuteMs, ""}, settings.probeTimeout);
    readDuration(section, "connect_timeout_ms", {10, minuteMs, ""}, settings.connectTimeout);
    if (settings.probeTimeout > settings.probeInterval) {
        section.report("probe_timeout_ms " + std::to_string(settings.probeTimeout.count),
                       "at most probe_interval_ms, " + std::to_string(settings.probeInterval.count));
    }
}

void readClaims(SectionReader &section, ClaimParameters &parameters)
{
    readInteger(section, "witnesses", {1, 15, "instances"}, parameters.witnesses);
    readInteger(section, "quorum", {1, 15, "instances"}, parameters.quorum);
    readInteger(section, "max_records", {1000, 100000000, "claims"}, parameters.maxRecords);
    readDuration(section, "lifetime_ms", {10 * secondMs, 24 * hourMs, ""}, parameters.lifetime);
    readDuration(section, "dispatch_window_ms", {50, minuteMs, ""}, parameters.dispatchWindow);
    readDuration(section, "claim_timeout_ms", {10, minuteMs, ""}, parameters.claimTimeout);
    readDuration(section, "retry_delay_ms", {5, 10 * secondMs, ""}, parameters.retryDelay);
    readDuration(section, "settle_time_ms", {50, 2 * minuteMs, ""}, parameters.settleTime);
    try {
        checkClaimParameters(parameters);
    } catch (const Error &error) {
        section.report("values that contradict each other", error.reason());
    }
}

void readAdmission(SectionReader &section, AdmissionSettings &settings)
{
    readInteger(section, "bound_percent", {101, 1000, "percent of the mean load"}, settings.boundPercent);
    readDuration(section, "reserve_timeout_ms", {5, 10 * secondMs, ""}, settings.reserveTimeout);
    readDuration(section, "holdings_interval_ms", {100, minuteMs, ""}, settings.holdingsInterval);
}

void readLimits(SectionReader &section, LimitSettings &settings)
{
    readInteger(section, "max_body_bytes", {kibibyte, gibibyte, "bytes"}, settings.maxBodyBytes);
    readInteger(section, "max_header_bytes", {kibibyte, kibibyte * kibibyte, "bytes"}, settings.maxHeaderBytes);
    readInteger(section, "max_connections", {1, 1000000, "connections"}, settings.maxConnections);
    readInteger(section, "held_bytes", {mebibyte, 64 * gibibyte, "bytes"}, settings.heldBytes);
    readInteger(section, "queue_length", {0, 1000000, "requests"}, settings.queueLength);
    readDuration(section, "queue_time_ms", {0, hourMs, ""}, settings.queueTime);
    readDuration(section, "default_deadline_ms", {1, hourMs, ""}, settings.defaultDeadline);
    readDuration(section, "first_byte_timeout_ms", {10, hourMs, ""}, settings.firstByteTimeout);
    readDuration(section, "kept_answer_ms", {0, 24 * hourMs, ""}, settings.keptAnswer);
    readInteger(section, "kept_answer_bytes", {0, gibibyte, "bytes"}, settings.keptAnswerBytes);
}

void readLog(SectionReader &section, LogSettings &settings)
{
    readLogSection(section, settings);
    readDuration(section, "repeat_interval_ms", {100, hourMs, ""}, settings.repeatInterval);
}

void readDrain(SectionReader &section, DrainSettings &settings)
{
    readDuration(section, "grace_ms", {0, 24 * hourMs, ""}, settings.grace);
    readDuration(section, "notice_ms", {0, minuteMs, ""}, settings.notice);
    readDuration(section, "handover_ms", {0, minuteMs, ""}, settings.handover);
    readInteger(section, "handover_bytes", {0, gibibyte, "bytes"}, settings.handoverBytes);
}

void readOperators(SectionReader &section, RouterSettings &settings)
{
    section.require("address", "IP number and port for operators, as in 127.0.0.1:7401");
    OperatorSettings &operators = settings.operators;
    operators.address = section.address("address").value_or("");
    const bool taken = operators.address == settings.address || operators.address == settings.peerAddress;
    if (!operators.address.empty() && taken) {
        section.report(*section.entry("address"), "an address other than those of [router]");
    }
    if (const IniEntry *entry = section.entry("token_sha256")) {
        constexpr std::size_t digits = 64;
        operators.tokenSha256 = entry->value;
        if (entry->value.size() != digits || entry->value.find_first_not_of("0123456789abcdef") != std::string::npos) {
            section.report(*entry, "64 lower-case hexadecimal digits");
        }
    }
}

} // namespace

RouterSettings parseRouterSettings(std::string_view text, const std::string &file, Problems &problems)
{
    const IniDocument document = parseIni(text, file, problems);
    IniReader reader(document, problems);
    RouterSettings settings;
    if (auto section = reader.requiredSection("router")) {
        readRouter(*section, settings);
        section->finish();
    }
    if (auto section = reader.requiredSection("platform")) {
        readPlatform(*section, settings.platform);
        section->finish();
    }
    readOptionalSection(reader, "peers", readPeers, settings.peers);
    readOptionalSection(reader, "claims", readClaims, settings.claims);
    readOptionalSection(reader, "admission", readAdmission, settings.admission);
    readOptionalSection(reader, "limits", readLimits, settings.limits);
    readOptionalSection(reader, "log", readLog, settings.log);
    readOptionalSection(reader, "drain", readDrain, settings.drain);
    readOptionalSection(reader, "operators", readOperators, settings);
    reader.finish();
    return settings;
}

RouterSettings parseRouterSettings(std::string_view text, const std::string &file)
{
    Problems problems;
    RouterSettings settings = parseRouterSettings(text, file, problems);
    throwOnErrors(Step::Settings, file, problems);
    return settings;
}

} // namespace Sequoiausher
