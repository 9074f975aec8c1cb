#include "sequoiausher/transport/stream/outputqueue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace Sequoiausher;

namespace {

/** Consumes all that waits, so many bytes at a time. */
std::string drain(OutputQueue &queue, std::size_t step)
{
    std::string sent;
    while (!queue.empty()) {
        const std::string_view next = queue.front().substr(0, step);
        sent += next;
        queue.consume(next.size());
    }
    return sent;
}

} // namespace

TEST_CASE("bytes leave in the order in which they were appended, whether copied or shared")
{
    const auto body = std::make_shared<const std::string>(200000, 'b');
    for (const std::size_t step : {std::size_t{1000}, std::size_t{70000}, std::size_t{1} << 20U}) {
        CAPTURE(step);
        OutputQueue queue;
        queue.append("head");
        queue.append("er");
        queue.append(body);
        queue.append(std::string(150000, 'c'));
        queue.append(std::string_view());
        CHECK(queue.size() == 350006);
        CHECK(queue.ownBytes() == 150006);
        CHECK(drain(queue, step) == "header" + *body + std::string(150000, 'c'));
        CHECK(queue.size() == 0);
        CHECK(queue.ownBytes() == 0);
        CHECK(queue.front().empty());
    }
}

TEST_CASE("bytes that were appended between two sends follow")
{
    OutputQueue queue;
    std::string appended;
    std::string sent;
    for (int round = 0; round < 500; ++round) {
        const std::string piece(1000, static_cast<char>('a' + round % 26));
        queue.append(piece);
        appended += piece;
        const std::size_t count = std::min<std::size_t>(queue.front().size(), 700);
        sent += queue.front().substr(0, count);
        queue.consume(count);
    }
    sent += drain(queue, 5000);
    CHECK(sent == appended);
}

TEST_CASE("shared bytes are released once they were sent or dropped")
{
    const auto body = std::make_shared<const std::string>("body");
    OutputQueue queue;
    queue.append(body);
    CHECK(body.use_count() == 2);
    drain(queue, 2);
    CHECK(body.use_count() == 1);
    queue.append(body);
    queue.clear();
    CHECK(body.use_count() == 1);
    CHECK(queue.empty());
}
