#include "sequoiausher/transport/peers/framing.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

TEST_CASE("frames come out whole however the bytes are cut")
{
    const std::vector<std::string> bodies{"", "a", std::string(300, 'b'), "", "c"};
    std::string stream;
    for (const std::string &body : bodies) {
        stream += framed(body);
    }
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        FrameAssembler assembler("r1", 300);
        std::vector<std::string> seen;
        for (std::size_t at = 0; at < stream.size(); at += step) {
            assembler.feed(std::string_view(stream).substr(at, step));
            while (auto body = assembler.next()) {
                seen.push_back(*body);
            }
        }
        CHECK(seen == bodies);
    }
}

TEST_CASE("a frame acknowledges another beside its length, once both sides know how")
{
    const std::string plain = framed("abc");
    const std::string acknowledging = framed("abc", 255);
    CHECK(plain == std::string("\0\0\0\3abc", 7));
    CHECK(acknowledging.size() == plain.size());
    FrameAssembler assembler("r1", 300);
    assembler.feed(plain + acknowledging + framed("", 1) + plain);
    CHECK(assembler.next() == "abc");
    assembler.expectAcknowledgements();
    CHECK(assembler.next() == "abc");
    CHECK(assembler.acknowledged() == 255);
    CHECK(assembler.next() == "");
    CHECK(assembler.acknowledged() == 1);
    CHECK(assembler.next() == "abc");
    CHECK(assembler.acknowledged() == noFrame);

    FrameAssembler old("r1", 300);
    old.feed(acknowledging);
    CHECK_THROWS_AS(old.next(), Error);
}

// Guards against memory that grows because a program which is no router writes text to the peer port, whose first four
// bytes are read as a length of gigabytes.
TEST_CASE("a frame above the bound is refused as soon as it is announced")
{
    FrameAssembler assembler("r1", 300);
    assembler.feed("GET ");
    CHECK_THROWS_AS(assembler.next(), Error);
    FrameAssembler byOne("r1", 300);
    byOne.feed(framed(std::string(301, 'x')).substr(0, 4));
    CHECK_THROWS_AS(byOne.next(), Error);
    FrameAssembler acknowledging("r1", 300);
    acknowledging.expectAcknowledgements();
    acknowledging.feed(framed(std::string(301, 'x'), 7).substr(0, 4));
    CHECK_THROWS_AS(acknowledging.next(), Error);
}
