#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

#include <QDir>
#include <QFile>
#include <QTemporaryDir>

#include <map>
#include <memory>
#include <string>

using namespace Sequoiausher;

namespace {

constexpr const char *reservingRules = "[rule engines]\n"
                                       "then.pool = routed\n"
                                       "then.policy = room-rendezvous\n"
                                       "then.cache_miss = copy\n"
                                       "then.queue_order = shortest-first\n"
                                       "then.overload = reserve\n";

/** Gateways whose rules let one of them place all prompts, before three engines. */
struct PromptBed : GatewayTestbed
{
    PromptBed()
    {
        const std::string file = this->folder.filePath("rules.ini").toStdString();
        QFile rules(QString::fromStdString(file));
        REQUIRE(rules.open(QIODevice::WriteOnly));
        rules.write(reservingRules);
        rules.close();
        this->settings.rulesFile = file;
        this->publish(configuration());
        for (const char *name : {"t0", "t1", "t2"}) {
            this->addTarget(name, "llm").answers = [this, name](FakeRequest &request) {
                this->runs[name] += 1;
                request.reply("200 OK", "id: 1\ndata: x\n\n", "Content-Type: text/event-stream\r\nX-Signed: 1\r\n");
            };
        }
        this->start();
    }
    ~PromptBed()
    {
        this->neighbour.reset();
    }

    void startNeighbour()
    {
        this->other = this->settingsOfNeighbour();
        this->other.rulesFile = this->settings.rulesFile;
        this->neighbour = std::make_unique<GatewayNode>(*this->dialect, this->other, *this->log, [] {});
        this->neighbour->start();
        REQUIRE(waitFor([this] { return this->neighbour->isReady(); }));
        // Until each has a report of the other.
        waitFor([] { return false; }, Millis{1000});
    }

    int ask(const std::string &document)
    {
        FakeCaller caller(this->address());
        const std::string number = std::to_string(++this->calls);
        caller.send("POST /talk/1 HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: id-" + number + "\r\nX-Parts: manual,"
                    + document + ",own" + number + "\r\nContent-Length: 0\r\n\r\n");
        waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
        return caller.reply.status;
    }

    QTemporaryDir folder;
    GatewaySettings other;
    std::unique_ptr<GatewayNode> neighbour;
    std::map<std::string, int> runs;
    int calls = 0;
};

} // namespace

TEST_CASE("the owner keeps prompts with one part at the engine that has read it")
{
    PromptBed bed;
    for (int i = 0; i < 20; ++i) {
        CHECK(bed.ask("document") == 200);
    }
    CHECK(bed.runs.size() == 1);
    const std::string logged = bed.logged.str();
    CHECK(logged.find("reservation=granted") != std::string::npos);
    CHECK(logged.find("reservation=no-reply") == std::string::npos);
    CHECK(logged.find("tokens_to_read=1 ") != std::string::npos);
}

// Guards against a fleet that stands still with the owner of its engines: one of the two gateways owns them, and ends.
TEST_CASE("prompts are served when the other gateway ends, and stay where their part was read")
{
    PromptBed bed;
    bed.startNeighbour();
    for (int i = 0; i < 20; ++i) {
        CHECK(bed.ask("document") == 200);
    }
    CHECK(bed.runs.size() == 1);
    bed.neighbour.reset();
    for (int i = 0; i < 20; ++i) {
        const Millis begun = Millis::monotonicNow();
        CHECK(bed.ask("document") == 200);
        CHECK(Millis::monotonicNow() - begun < Millis{500});
    }
    CHECK(bed.runs.size() == 1);
}
