#include "sequoiausher/base/log/linestream.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

#include <unistd.h>

using namespace Sequoiausher;

// Guards against a router that answers no requests while the reader of its log has stopped reading: the pipe is full,
// and a blocking call would wait for room.
TEST_CASE("a reader that stops reading costs lines, not time")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    LineStream lines(ends[1]);
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i) {
        lines.stream() << line << "\n" << std::flush;
    }
    CHECK(lines.dropped() > 0);
    // The reader continues: it gets whole lines and the number of missing ones.
    std::string seen;
    std::array<char, 65536> buffer{};
    for (int i = 0; i < 40; ++i) {
        const ssize_t taken = read(ends[0], buffer.data(), buffer.size());
        REQUIRE(taken > 0);
        seen.append(buffer.data(), static_cast<std::size_t>(taken));
        lines.stream() << "end\n" << std::flush;
        if (seen.find("lines dropped for want of a reader") != std::string::npos) {
            break;
        }
    }
    CHECK(seen.find("\nlines dropped for want of a reader: ") != std::string::npos);
    CHECK(seen.substr(0, 1001) == line + "\n");
    close(ends[0]);
    close(ends[1]);
}
