#include "sequoiausher/transport/gateway/storecall.h"

#include "sequoiausher/transport/http/testloop.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <QCoreApplication>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace Sequoiausher;
using namespace Sequoiausher::Internal;

namespace {

constexpr Millis timeout{2000};

struct Bed
{
    Bed()
    {
        this->server.answers = [this](FakeRequest &request) { request.reply("200 OK", this->body); };
        this->calls = std::make_unique<StoreCalls>(this->server.address(), std::uint64_t{16} << 20U);
    }
    StoreAnswer get()
    {
        std::optional<StoreAnswer> answer;
        this->calls->get("/x", timeout, [&answer](const StoreAnswer &given) { answer = given; });
        REQUIRE(runUntil([&answer] { return answer.has_value(); }));
        return *answer;
    }

    /** Made before anything that needs an event loop. */
    QCoreApplication &application = testApplication();
    FakeServer server;
    std::unique_ptr<StoreCalls> calls;
    std::string body = "first";
};

} // namespace

// Guards against an answer to nothing that is taken for that of the next call.
TEST_CASE("bytes that came before a call count for nothing")
{
    Bed bed;
    REQUIRE(bed.get().body == "first");
    REQUIRE(bed.server.seen.size() == 1);
    bed.server.seen.front().send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    bed.body = "second";
    CHECK(bed.get().body == "second");
    CHECK(bed.server.connections == 2);
}

TEST_CASE("an answer that is too large says so")
{
    Bed bed;
    CHECK_FALSE(bed.get().isTooLarge);
    constexpr std::size_t tooLarge = std::size_t{17} << 20U;
    bed.body = std::string(tooLarge, 'x');
    const StoreAnswer answer = bed.get();
    CHECK(answer.isTooLarge);
    CHECK(answer.status == 0);
    bed.body = "small";
    CHECK(bed.get().body == "small");
}
