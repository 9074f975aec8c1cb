#include "lab/hostile/hostilebed.h"
#include "lab/support/labcall.h"
#include "platform/standindialect.h"
#include "sequoiausher/transport/http/testloop.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

// Each case guards against entries of other writers in the platform's store that keep a gateway, which has just
// started, from serving: such an entry names no target, and costs nothing but itself.

namespace {

/** The entries of one page of the store's stand-in, and more than these. */
constexpr std::size_t pageEntries = 8;
constexpr int pageOfEntries = 10;

/** Parts of names that cannot stand in a request target as they are, or mean something else there. */
std::vector<std::string> oddParts()
{
    return {"%",  "%zz",  "#x",   " ",  "a b",      "&b=", "+",     "%C3%A9", "?x",  "=",  "\r\n",
            "\t", "\x01", "\x7f", "\"", "\xC3\xA9", "%00", "/../x", ";,@!$",  "[x]", "\\", "\r\n\r\nGET / HTTP/1.1"};
}

std::string keyOf(const std::string &name)
{
    return StandInDialect::targetKey(TargetId{name});
}

struct Bed
{
    /** Names with the part fill a page by themselves, and then end one after names that are plain. */
    void writeForeign(const std::string &begin, const std::string &part)
    {
        for (int i = 0; i < pageOfEntries; ++i) {
            // Some are copies of a good entry, so that the name alone tells that they are no targets.
            const std::string value = i % 2 == 0 ? "{}" : this->bed.targetEntry();
            const std::string number = std::to_string(i);
            this->bed.store().write(keyOf(std::string(begin).append("-").append(number).append(part)), value);
            this->bed.store().write(keyOf(std::string(begin).append("-x").append(number)), "{}");
        }
        this->bed.store().write(keyOf(begin + "-y" + part), this->bed.targetEntry());
    }
    /** The names by which requests at the target were meant for it. */
    bool isAskedByItsNameAlone()
    {
        for (const FakeRequest &request : this->bed.target().seen) {
            if (StandInDialect::readOrder(request.head).expectedTarget != HostileBed::targetId()) {
                return false;
            }
        }
        return !this->bed.target().seen.empty();
    }

    /** Made before anything that needs an event loop. */
    QCoreApplication &application = Internal::testApplication();
    HostileBed bed;
};

} // namespace

TEST_CASE("a gateway starts and serves beside entries whose names cannot stand in a call")
{
    Bed test;
    HostileBed &bed = test.bed;
    bed.target().isRecording = true;
    int number = 0;
    for (const std::string &part : oddParts()) {
        number += 1;
        test.writeForeign("a" + std::to_string(100 + number), part);
    }
    bed.startWithoutWaiting();
    const bool isReady = LabCaller::waitFor([&bed] { return bed.isReady(); }, Millis{5000});
    CAPTURE(bed.lastLines());
    CAPTURE(bed.store().listCalls());
    REQUIRE(isReady);
    for (int i = 0; i < 20; ++i) {
        REQUIRE(bed.servesOrdinaryCaller());
    }
    CHECK(test.isAskedByItsNameAlone());
    CHECK(bed.store().badCalls() == 0);
    // A page may repeat what follows the last plain key of the page before, which at most doubles the calls of one
    // list.
    CHECK(bed.store().listCalls() <= 2 * (bed.store().keys().size() / pageEntries + 1));
}

TEST_CASE("a gateway hears of good entries beside odd names that are written and removed")
{
    Bed test;
    HostileBed &bed = test.bed;
    bed.target().isRecording = true;
    bed.start();
    for (const std::string &part : oddParts()) {
        bed.store().write(keyOf("w" + part), bed.targetEntry());
        bed.store().remove(keyOf("w" + part));
        bed.store().write(keyOf("v" + part), bed.targetEntry());
    }
    bed.store().remove(keyOf(HostileBed::targetId()));
    LabCaller::waitFor([] { return false; }, Millis{500});
    CHECK_FALSE(bed.servesOrdinaryCaller());
    bed.store().write(keyOf("i-2"), bed.targetEntry());
    LabCaller::waitFor([] { return false; }, Millis{500});
    CAPTURE(bed.lastLines());
    bed.target().seen.clear();
    for (int i = 0; i < 20; ++i) {
        REQUIRE(bed.servesOrdinaryCaller());
    }
    for (const FakeRequest &request : bed.target().seen) {
        CHECK(StandInDialect::readOrder(request.head).expectedTarget == "i-2");
    }
    CHECK(bed.store().badCalls() == 0);
}

// The calls of a fleet share one rate, so a list that leads nowhere must not use it up, nor fill the memory.
TEST_CASE("a list that cannot be read to its end is asked for less and less often")
{
    for (const ListFault fault : {ListFault::Refused, ListFault::Repeated, ListFault::Unkeyed}) {
        CAPTURE(nameOf(fault));
        Bed test;
        HostileBed &bed = test.bed;
        test.writeForeign("a", "");
        bed.store().setListFault(fault);
        bed.startWithoutWaiting();
        LabCaller::waitFor([&bed] { return bed.store().listCalls() > 0; });
        const std::size_t before = bed.store().listCalls();
        LabCaller::waitFor([] { return false; }, Millis{3000});
        CAPTURE(bed.lastLines());
        // After shorter pauses some of 0.4 to 0.8 s; each try takes two calls.
        CHECK(bed.store().listCalls() - before <= 24);
        CHECK_FALSE(bed.isReady());
        bed.store().setListFault(ListFault::None);
        CHECK(LabCaller::waitFor([&bed] { return bed.isReady(); }, Millis{3000}));
        CHECK(bed.servesOrdinaryCaller());
    }
}

TEST_CASE("a list without an end is given up, and read when it has one")
{
    Bed test;
    HostileBed &bed = test.bed;
    bed.store().setListFault(ListFault::Endless);
    bed.startWithoutWaiting();
    bed.observe(Millis{4000});
    CHECK(bed.peakBytes() <= HostileBed::memoryBytes);
    CHECK(bed.gateway().isRunning());
    bed.store().setListFault(ListFault::None);
    CAPTURE(bed.lastLines());
    CHECK(LabCaller::waitFor([&bed] { return bed.isReady(); }, Millis{3000}));
    CHECK(bed.servesOrdinaryCaller());
}
