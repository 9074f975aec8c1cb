#include "sequoiausher/protocol/settings/logsection.h"

namespace Sequoiausher {

namespace {

constexpr IntegerRange repeatsRange{0, 1000000, "lines"};

} // namespace

void readLogSection(SectionReader &section, LogSettings &settings)
{
    settings.lowest = section.name<LogLevel>("level").value_or(settings.lowest);
    settings.format = section.name<LogFormat>("format").value_or(settings.format);
    if (const auto repeats = section.integer("repeats_per_interval", repeatsRange)) {
        settings.repeatsPerInterval = static_cast<std::uint32_t>(*repeats);
    }
}

} // namespace Sequoiausher
