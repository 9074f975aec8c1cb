#include "sequoiausher/transport/router/operatorserver.h"

#include "sequoiausher/transport/http/httpclient.h"
#include "sequoiausher/transport/http/testloop.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace Sequoiausher;

namespace {

// printf %s secret | sha256sum
constexpr const char *secretSha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

RouterSettings settingsWith(const std::string &tokenSha256)
{
    RouterSettings settings;
    settings.name.value = "r1";
    settings.dataCentre.value = "dc";
    settings.address = "127.0.0.1:1";
    settings.peerAddress = "127.0.0.1:2";
    settings.platform.addresses = {"127.0.0.1:3"};
    settings.operators.address = "127.0.0.1:0";
    settings.operators.tokenSha256 = tokenSha256;
    return settings;
}

/** A listener of a router that is not started. */
class Listener
{
public:
    explicit Listener(const std::string &tokenSha256) : node(settingsWith(tokenSha256), 7, log, metrics)
    {
        this->server.listen();
    }

    int ask(const std::string &method, const std::string &path, const std::string &authorization = "")
    {
        HttpRequest request;
        request.method = method;
        request.url = "http://127.0.0.1:" + std::to_string(this->server.port()) + path;
        if (!authorization.empty()) {
            request.headers.add("Authorization", authorization);
        }
        int status = 0;
        bool ended = false;
        this->body.clear();
        HttpCallbacks callbacks;
        callbacks.onHead = [&](int code, const HttpHeaders & /*headers*/) { status = code; };
        callbacks.onData = [&](std::string_view bytes) { this->body += bytes; };
        callbacks.onEnd = [&] { ended = true; };
        callbacks.onError = [&](const ClientError & /*error*/) { ended = true; };
        this->client.send(request, {}, callbacks);
        REQUIRE(Internal::runUntil([&] { return ended; }));
        return status;
    }

    std::ostringstream lines;
    Log log{LogSettings{}, lines, [] { return Millis{0}; }};
    Metrics metrics;
    Node node;
    int drains = 0;
    std::string body;
    HttpClient client{HttpClientOptions{}};
    OperatorServer server{node, metrics, log, [this] { ++this->drains; }};
};

} // namespace

TEST_CASE("operators read each page, and nothing else is there")
{
    Internal::testApplication();
    Listener listener("");
    CHECK(listener.ask("GET", "/status") == 200);
    CHECK(listener.body.find(R"("instance":"r1")") != std::string::npos);
    CHECK(listener.ask("GET", "/metrics") == 200);
    CHECK(listener.ask("GET", "/report") == 200);
    CHECK(listener.body.find(R"("arms":[])") != std::string::npos);
    CHECK(listener.ask("GET", "/documents") == 200);
    CHECK(listener.body == R"({"documents":[]})");
    CHECK(listener.ask("GET", "/v1/models") == 404);
    CHECK(listener.ask("POST", "/status") == 405);
    CHECK(listener.ask("GET", "/drain") == 405);
    CHECK(listener.drains == 0);
    CHECK(listener.ask("POST", "/drain") == 202);
    CHECK(listener.drains == 1);
}

TEST_CASE("with a token set, only its bearer orders to drain")
{
    Internal::testApplication();
    Listener listener(secretSha256);
    for (const char *wrong : {"", "Bearer", "Bearer ", "Bearer wrong", "Basic secret", "secret", "Bearer  secret"}) {
        CAPTURE(wrong);
        CHECK(listener.ask("POST", "/drain", wrong) == 401);
    }
    CHECK(listener.drains == 0);
    CHECK(listener.lines.str().find("main: an order to drain came without the token peer=") != std::string::npos);
    CHECK(listener.ask("POST", "/drain", "Bearer secret") == 202);
    CHECK(listener.drains == 1);
}
