#include "sequoiausher/protocol/settings/logsection.h"

#include "sequoiausher/base/ini/inidocument.h"

#include <doctest/doctest.h>

#include <string>

using namespace Sequoiausher;

namespace {

LogSettings read(const std::string &lines, Problems &problems)
{
    const IniDocument document = parseIni("[log]\n" + lines, "l.ini", problems);
    IniReader reader(document, problems);
    LogSettings settings;
    readOptionalSection(reader, "log", readLogSection, settings);
    reader.finish();
    return settings;
}

} // namespace

TEST_CASE("what the section of the log says is taken, and the rest keeps its default")
{
    Problems problems;
    const LogSettings given = read("level = debug\nformat = json\nrepeats_per_interval = 7\n", problems);
    CHECK(given.lowest == LogLevel::Debug);
    CHECK(given.format == LogFormat::Json);
    CHECK(given.repeatsPerInterval == 7);
    const LogSettings none = read("", problems);
    CHECK(none.lowest == LogSettings().lowest);
    CHECK(none.format == LogSettings().format);
    CHECK(none.repeatsPerInterval == LogSettings().repeatsPerInterval);
    CHECK_NOTHROW(throwOnErrors(Step::Settings, "l.ini", problems));
}

TEST_CASE("what is wrong in the section of the log is told, and the default stays")
{
    for (const char *line :
         {"level = loud", "format = xml", "repeats_per_interval = 1000001", "repeats_per_interval ="}) {
        CAPTURE(line);
        Problems problems;
        const LogSettings settings = read(std::string(line) + "\n", problems);
        CHECK_THROWS_AS(throwOnErrors(Step::Settings, "l.ini", problems), Error);
        CHECK(settings.lowest == LogSettings().lowest);
        CHECK(settings.format == LogSettings().format);
        CHECK(settings.repeatsPerInterval == LogSettings().repeatsPerInterval);
    }
}
