#include "sequoiausher/base/log/log.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace Sequoiausher;

namespace {

/** A log that writes into a string, with a time that the test sets. */
struct Fixture
{
    explicit Fixture(const LogSettings &settings) : log(settings, this->stream, [this] { return this->now; })
    {
    }

    long lines() const
    {
        const std::string text = this->stream.str();
        return std::count(text.begin(), text.end(), '\n');
    }

    Millis now{1000};
    std::ostringstream stream;
    Log log;
};

} // namespace

TEST_CASE("a line carries time, level, the part's prefix, the sentence and the fields")
{
    Fixture fixture({});
    fixture.log.warning(LogPart::Claims, "too few witnesses", {{"have", "2"}, {"peer", "a b"}});
    fixture.log.debug(LogPart::Claims, "not written at this level");
    CHECK(fixture.stream.str() == "1970-01-01T00:00:01.000Z warning claims: too few witnesses have=2 peer=\"a b\"\n");
}

TEST_CASE("JSON lines")
{
    LogSettings settings;
    settings.format = LogFormat::Json;
    Fixture fixture(settings);
    fixture.log.info(LogPart::Main, "started", {{"name", "r\"1"}});
    CHECK(fixture.stream.str()
          == "{\"time\":\"1970-01-01T00:00:01.000Z\",\"level\":\"info\",\"part\":\"main\",\"message\":\"started\","
             "\"name\":\"r\\\"1\"}\n");
}

// Guards against forged lines. A caller sends a header with a line feed and a made-up line, and the header is logged as
// a field without escaping.
TEST_CASE("a value cannot forge a line")
{
    Fixture fixture({});
    fixture.log.info(LogPart::Entry, "refused", {{"chat", "x\n1970 error main: forged"}});
    CHECK(fixture.lines() == 1);
}

// Guards against a dead peer that fills the disk: each of thousands of sends fails and logs the same message, without a
// limit on repeats.
TEST_CASE("repeats are held back and counted, other sentences are not")
{
    LogSettings settings;
    settings.repeatsPerInterval = 3;
    Fixture fixture(settings);
    for (int i = 0; i < 100; ++i) {
        fixture.log.info(LogPart::Peers, "send failed");
    }
    CHECK(fixture.lines() == 3);
    fixture.log.info(LogPart::Targets, "send failed");
    CHECK(fixture.lines() == 4);
    SUBCASE("the next one after the interval tells the count")
    {
        fixture.now += settings.repeatInterval;
        fixture.log.info(LogPart::Peers, "send failed");
        CHECK(fixture.stream.str().find("peers: send failed suppressed=97") != std::string::npos);
    }
    SUBCASE("a burst that stopped is told too")
    {
        fixture.now += settings.repeatInterval;
        fixture.log.writeSuppressed();
        CHECK(fixture.stream.str().find("peers: send failed suppressed=97") != std::string::npos);
    }
    SUBCASE("a clock set back does not silence the log")
    {
        fixture.now = Millis{0};
        fixture.log.info(LogPart::Peers, "send failed");
        CHECK(fixture.lines() == 5);
    }
}

// Guards against lines that appear twice: Boost.Log has one core for the process, and every sink gets every record.
TEST_CASE("two logs stay apart")
{
    Fixture first({});
    Fixture second({});
    first.log.info(LogPart::Main, "one");
    second.log.info(LogPart::Main, "two");
    CHECK(first.lines() == 1);
    CHECK(second.lines() == 1);
}
