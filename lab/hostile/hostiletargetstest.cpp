#include "lab/hostile/hostilebed.h"
#include "lab/support/labcall.h"
#include "platform/standindialect.h"
#include "sequoiausher/protocol/tunnel/tunnelframes.h"
#include "sequoiausher/transport/http/testloop.h"

#include <QTimer>

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

// Each case guards against a target, or a store, that sends bytes without an end: the gateway which called it must
// live, keep to the memory of its settings, and answer ordinary callers, whatever its callers read.

namespace {

constexpr std::size_t someConnections = 20;
constexpr std::size_t manyConnections = 180;
constexpr std::size_t pieceBytes = 65536;

/** What a target sends: first begin, then piece again and again, as fast as it is taken. */
struct Pouring
{
    std::string begin;
    std::string piece;
};

std::string answerHead(const FakeRequest &request, const std::string &fields)
{
    const std::string attempt = StandInDialect::readOrder(request.head).attemptId;
    return "HTTP/1.1 200 OK\r\n" + StandInDialect::answerFields(attempt, "s-1") + fields + "\r\n";
}

std::string letters()
{
    return std::string(pieceBytes, 'a');
}

struct Bed
{
    using Draw = std::function<Pouring(const FakeRequest &request)>;

    explicit Bed(Draw draws) : draw(std::move(draws))
    {
        this->bed.target().answers = [this](FakeRequest &request) {
            // Ordinary requests, beside those of the crowd.
            if (request.head.method == "GET") {
                request.reply("200 OK", "ok");
                return;
            }
            this->runs += 1;
            const Pouring pouring = this->draw(request);
            request.send(pouring.begin);
            this->pourings[request.connection.get()] = {request, pouring.piece};
        };
        this->bed.target().lost = [this](const FakeConnection &connection) {
            this->pourings.erase(const_cast<FakeConnection *>(&connection));
        };
        QObject::connect(&this->timer, &QTimer::timeout, [this] { this->pour(); });
        this->timer.start(1);
        this->bed.start();
    }

    void pour()
    {
        for (auto &[connection, each] : this->pourings) {
            if (!each.second.empty() && connection->stream->isOpen()
                && connection->stream->pendingBytes() < pieceBytes) {
                each.first.send(each.second);
                this->poured += each.second.size();
            }
        }
    }

    static std::string crowdsRequest()
    {
        return HostileBed::beginOfHead("POST") + "Content-Length: 0\r\n\r\n";
    }

    void playAndCheck(std::size_t connections, CrowdReading reading)
    {
        CrowdPlan plan;
        plan.address = this->bed.address(Door::Callers);
        plan.connections = connections;
        plan.first = crowdsRequest();
        plan.reading = reading;
        this->bed.play(plan);
        this->check();
    }

    void check()
    {
        CAPTURE(this->bed.lastLines());
        CAPTURE(this->poured);
        CAPTURE(this->bed.peak().memoryBytes);
        CAPTURE(this->bed.peak().unreadBytes);
        CAPTURE(this->bed.peak().unsentBytes);
        CAPTURE(this->runs);
        this->checkProcess();
        CHECK(this->bed.wasServedBesideCrowd());
        CHECK(this->bed.wasReadyBesideCrowd());
        CHECK(this->bed.servesOrdinaryCaller());
        CHECK(this->bed.isReady());
    }

    void checkProcess()
    {
        MESSAGE("peak MB: " << (this->bed.peakBytes() >> 20U));
        CHECK(this->runs > 0);
        CHECK(this->bed.gateway().isRunning());
        CHECK(this->bed.peakBytes() <= HostileBed::memoryBytes);
    }

    /** Made before anything that needs an event loop. */
    QCoreApplication &application = Internal::testApplication();
    Draw draw;
    QTimer timer;
    std::map<FakeConnection *, std::pair<FakeRequest, std::string>> pourings;
    std::size_t poured = 0;
    int runs = 0;
    HostileBed bed;
};

} // namespace

TEST_CASE("targets that send a body without a length and without an end to callers that read nothing")
{
    Bed bed([](const FakeRequest &request) {
        return Pouring{answerHead(request, "Connection: close\r\n"), letters()};
    });
    bed.playAndCheck(manyConnections, CrowdReading::Nothing);
}

TEST_CASE("targets that send a body without a length and without an end to callers that read it")
{
    Bed bed([](const FakeRequest &request) {
        return Pouring{answerHead(request, "Connection: close\r\n"), letters()};
    });
    bed.playAndCheck(someConnections, CrowdReading::Everything);
}

TEST_CASE("targets that send a body without an end to callers that read little")
{
    Bed bed([](const FakeRequest &request) {
        return Pouring{answerHead(request, "Content-Length: 900000000000\r\n"), letters()};
    });
    bed.playAndCheck(manyConnections, CrowdReading::Little);
}

TEST_CASE("targets that send chunks without an end")
{
    Bed bed([](const FakeRequest &request) {
        return Pouring{answerHead(request, "Transfer-Encoding: chunked\r\n"), "10000\r\n" + letters() + "\r\n"};
    });
    bed.playAndCheck(manyConnections, CrowdReading::Nothing);
}

TEST_CASE("targets that send chunks of one byte without an end")
{
    Bed bed([](const FakeRequest &request) {
        std::string piece;
        for (int i = 0; i < 8192; ++i) {
            piece += "1\r\na\r\n";
        }
        return Pouring{answerHead(request, "Transfer-Encoding: chunked\r\n"), piece};
    });
    bed.playAndCheck(someConnections, CrowdReading::Everything);
}

TEST_CASE("targets that send a refusal without an end")
{
    Bed bed([](const FakeRequest &) {
        return Pouring{"HTTP/1.1 503 Service Unavailable\r\n" + StandInDialect::notRunField() + "\r\n", letters()};
    });
    bed.playAndCheck(manyConnections, CrowdReading::Nothing);
}

TEST_CASE("targets that send a head without an end")
{
    Bed bed([](const FakeRequest &) { return Pouring{"HTTP/1.1 200 OK\r\nX: ", letters()}; });
    bed.playAndCheck(manyConnections, CrowdReading::Nothing);
}

TEST_CASE("targets that stop at the end of the longest head")
{
    Bed bed([](const FakeRequest &) { return Pouring{"HTTP/1.1 200 OK\r\nX: " + std::string(32000, 'a'), ""}; });
    bed.playAndCheck(manyConnections, CrowdReading::Nothing);
}

TEST_CASE("targets that send as many fields as a head holds and then nothing")
{
    Bed bed([](const FakeRequest &request) {
        std::string fields = "Content-Length: 2\r\n";
        while (fields.size() < 32000) {
            fields += "a:\r\n";
        }
        return Pouring{answerHead(request, fields), ""};
    });
    bed.playAndCheck(manyConnections, CrowdReading::Nothing);
}

TEST_CASE("targets that send interim answers without an end")
{
    Bed bed([](const FakeRequest &) { return Pouring{"", "HTTP/1.1 102 Processing\r\n\r\n"}; });
    bed.playAndCheck(manyConnections, CrowdReading::Nothing);
}

TEST_CASE("targets that send bytes that are no answer")
{
    Bed bed([](const FakeRequest &) { return Pouring{"", std::string(pieceBytes, '\0')}; });
    bed.playAndCheck(manyConnections, CrowdReading::Nothing);
}

TEST_CASE("targets that send more after a whole answer")
{
    Bed bed([](const FakeRequest &request) {
        return Pouring{answerHead(request, "Content-Length: 2\r\n") + "ok", letters()};
    });
    bed.playAndCheck(manyConnections, CrowdReading::Everything);
}

TEST_CASE("targets that send bytes without an end through tunnels that nobody reads")
{
    Bed bed([](const FakeRequest &request) {
        return Pouring{answerHead(request, "Connection: close\r\n"), letters()};
    });
    CrowdPlan plan;
    plan.address = bed.bed.address(Door::Tunnels);
    plan.connections = manyConnections;
    plan.first = encodeTunnelRequest(TargetId{HostileBed::targetId()})
        + "POST /desk/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    bed.bed.play(plan);
    bed.check();
}

TEST_CASE("a store that sends answers without an end, beside targets that do")
{
    Bed bed([](const FakeRequest &request) {
        return Pouring{answerHead(request, "Connection: close\r\n"), letters()};
    });
    CrowdPlan plan;
    plan.address = bed.bed.address(Door::Callers);
    plan.connections = manyConnections;
    plan.first = Bed::crowdsRequest();
    bed.bed.begin(plan);
    for (const StoreMood mood : {StoreMood::PouringBody, StoreMood::PouringHead}) {
        bed.bed.store().setMood(mood);
        // Shorter than the time for which a proof of the configuration holds.
        bed.bed.observe(Millis{2000});
        bed.bed.store().setMood(StoreMood::Up);
        bed.bed.observe(Millis{2000});
    }
    bed.bed.endCrowds();
    bed.check();
}
