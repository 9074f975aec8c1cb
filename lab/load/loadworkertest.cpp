#include "lab/load/loadworker.h"

#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/http/testloop.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;
using namespace Sequoiausher::Internal;

namespace {

/** An engine that spoils or refuses some of its answers, and counts them. */
class FaultyEngine : public HttpHandler
{
public:
    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        constexpr int faults = 10;
        const int fault = this->count++ % faults;
        const QJsonObject json = QJsonDocument::fromJson(QByteArray::fromStdString(exchange->body())).object();
        const std::string last
            = json.value("messages").toArray().last().toObject().value("content").toString().toStdString();
        const std::string nonce = last.substr(last.rfind(' ') + 1);
        HttpHeaders headers;
        headers.add("X-Request-Id", "a");
        if (fault == 1) {
            headers.add("X-Ran", "no");
            exchange->respond(503, headers, "{}");
            return;
        }
        exchange->startStream(200, headers);
        const std::string id = fault == 2 ? "b" : "a";
        exchange->writeChunk(chunk(id, 0, "echo-" + (fault == 3 ? nonce + "x" : nonce) + " ", "null"));
        if (fault == 4) {
            exchange->abortStream();
            return;
        }
        exchange->writeChunk(chunk(id, fault == 5 ? 2 : 1, "", "\"length\""));
        exchange->writeChunk(fault == 6 ? "" : "data: [DONE]\n\n");
        exchange->endStream();
    }

    int count = 0;

private:
    static std::string chunk(const std::string &id, int offset, const std::string &text, const std::string &finish)
    {
        return R"(data: {"id":"chatcmpl-)" + id + R"(","offset":)" + std::to_string(offset)
            + R"(,"choices":[{"delta":{"content":")" + text + R"("},"finish_reason":)" + finish + "}]}\n\n";
    }
};

std::uint64_t countOf(const LoadSeries &series, AnswerVerdict verdict)
{
    const auto found = series.verdicts.find(verdict);
    return found == series.verdicts.end() ? 0 : found->second;
}

LoadWorkerOptions optionsFor(const HttpServer &server)
{
    LoadWorkerOptions options;
    options.plan.urls = {"http://127.0.0.1:" + std::to_string(server.port())};
    options.plan.organisations = {{"maker", "key", 1}};
    options.duration = Millis{400};
    return options;
}

LoadReport run(const LoadWorkerOptions &options)
{
    LoadWorker worker(options, 0);
    worker.start();
    CHECK(runUntil([&worker] { return worker.isFinished(); }, 15000));
    return worker.report();
}

} // namespace

TEST_CASE("each spoilt answer is counted as what it is")
{
    testApplication();
    FaultyEngine engine;
    HttpServer server(engine, {});
    server.listen();
    LoadWorkerOptions options = optionsFor(server);
    options.concurrency = 1;
    const LoadReport report = run(options);
    const LoadSeries all = report.total();
    REQUIRE(engine.count >= 10);
    const auto rounds = static_cast<std::uint64_t>(engine.count / 10);
    CHECK(all.sent == static_cast<std::uint64_t>(engine.count));
    CHECK(countOf(all, AnswerVerdict::Whole) >= 4 * rounds);
    CHECK((all.refusals.at({503, "no"}) >= rounds));
    CHECK(countOf(all, AnswerVerdict::Foreign) >= 2 * rounds);
    CHECK(all.errors.at(ClientErrorKind::BrokenBody) >= rounds);
    CHECK(countOf(all, AnswerVerdict::Disordered) >= rounds);
    CHECK(countOf(all, AnswerVerdict::Incomplete) >= rounds);
    CHECK(report.wrongAnswers() >= 4 * rounds);
    CHECK(toTable(report).find("refused 503 ran no") != std::string::npos);
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(toJson(report))).object();
    CHECK(json.value("sent").toInteger() == engine.count);
}

TEST_CASE("an open loop keeps its rate, and stops where nobody answers")
{
    class Silent : public HttpHandler
    {
        void handle(std::shared_ptr<HttpExchange> exchange) override
        {
            this->kept.push_back(std::move(exchange));
        }

    public:
        std::vector<std::shared_ptr<HttpExchange>> kept;
    };
    testApplication();
    Silent silent;
    HttpServer server(silent, {});
    server.listen();
    LoadWorkerOptions options = optionsFor(server);
    options.rate = 500;
    options.drain = Millis{300};
    options.plan.keyedShare = 1;
    options.plan.duplicateShare = 1;
    const LoadReport report = run(options);
    const LoadSeries all = report.total();
    // 200 arrivals of 2 sendings are expected; the bounds lie five standard deviations away.
    CHECK(all.sent > 2 * 130);
    CHECK(all.sent < 2 * 270);
    CHECK(all.errors.at(ClientErrorKind::Cancelled) == all.sent);
    CHECK(report.pairsNoneWhole * 2 == all.sent);
    CHECK(report.seconds < 5);
}
