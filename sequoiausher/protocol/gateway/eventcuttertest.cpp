#include "sequoiausher/protocol/gateway/eventcutter.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("events come out whole and unchanged, wherever the bytes are cut")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid:3\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventCutter cutter;
        std::string out = cutter.feed(std::string_view(stream).substr(0, cut));
        out += cutter.feed(std::string_view(stream).substr(cut));
        CHECK(out == stream);
        CHECK(cutter.lastId() == "3");
        CHECK(cutter.eventCount() == 4);
        CHECK(cutter.rest().empty());
    }
}

// Guards against a torn or repeated event in a resumed stream, which callers get if bytes are forwarded as they arrive.
TEST_CASE("a stream goes on at another target without a gap, a repetition or a torn event")
{
    EventCutter cutter;
    std::string out = cutter.feed("id: 1\n\nid: 2\n\nid: 3\nda");
    cutter.begin();
    out += cutter.feed("id: 2\n\nid: 3\ndata: c\n\n");
    CHECK(out == "id: 1\n\nid: 2\n\nid: 3\ndata: c\n\n");
}

TEST_CASE("a cut inside an event is known from one between two")
{
    for (const std::string event : {"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n"}) {
        for (std::size_t cut = 0; cut <= event.size(); ++cut) {
            EventCutter cutter;
            cutter.feed(event + event.substr(0, cut));
            CAPTURE(cut);
            CHECK(cutter.isInsideEvent() == (cut > 0 && cut < event.size()));
        }
        EventCutter cutter;
        cutter.feed(event + "\n");
        CHECK_FALSE(cutter.isInsideEvent());
    }
}

TEST_CASE("a stream that the caller resumes begins after what it has")
{
    EventCutter cutter("12");
    CHECK(cutter.feed("id: 12\n\nid: 13\n\n") == "id: 13\n\n");
}
