#include "sequoiausher/protocol/clientapi/clientrequest.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace Sequoiausher;

namespace {

using Headers = std::map<std::string, std::string, std::less<>>;

RequestHead headWith(const Headers &headers, const std::string &path = std::string(chatCompletionsPath))
{
    return RequestHead{"POST", path, [headers](std::string_view name) {
                           const auto found = headers.find(name);
                           return found == headers.end() ? std::string() : found->second;
                       }};
}

const Headers key{{"Authorization", "Bearer sk-1"}};
const std::string goodBody
    = R"({"model":"plate-7b","stream":true,"messages":[{"role":"user","content":"check 12-AB-3"}]})";

} // namespace

TEST_CASE("a chat request is read with its defaults")
{
    const ClientRequest request = parseClientRequest(headWith(key), goodBody);
    CHECK(request.isChat);
    CHECK(request.apiKey == "sk-1");
    CHECK(request.model == "plate-7b");
    CHECK(request.streamed);
    CHECK(request.requestClass == RequestClass::Interactive);
    CHECK(request.promptLength == 13);
    CHECK(!request.deadline.has_value());
    CHECK(request.chat.substr(0, 7) == "digest-");
}

TEST_CASE("a chat without an id is known by how it began")
{
    const auto chatOf = [](const std::string &messages) {
        return parseClientRequest(headWith(key), R"({"model":"m","messages":[)" + messages + "]}").chat;
    };
    const std::string first = R"({"role":"user","content":"a"},{"role":"assistant","content":"b"})";
    CHECK(chatOf(first) == chatOf(first + R"(,{"role":"user","content":"c"})"));
    CHECK(chatOf(first) != chatOf(R"({"role":"user","content":"x"})"));
}

TEST_CASE("chats that begin with the same message share a prefix, unless the caller names another")
{
    const auto prefixOf = [](const Headers &headers, const std::string &rest) {
        const std::string system = R"({"role":"system","content":"You check plate orders."})";
        return parseClientRequest(headWith(headers), R"({"model":"m","messages":[)" + system + rest + "]}").prefix;
    };
    const std::string question = R"(,{"role":"user","content":"a"})";
    CHECK(prefixOf(key, question) == prefixOf(key, R"(,{"role":"user","content":"b"})"));
    Headers named = key;
    named["X-Prefix-Id"] = "orders-3";
    CHECK(prefixOf(named, question) == "orders-3");
    const std::string other = R"({"model":"m","messages":[{"role":"system","content":"You answer dealers."}]})";
    CHECK(parseClientRequest(headWith(key), other).prefix != prefixOf(key, question));
    const std::string parts = R"({"model":"m","messages":[{"role":"system","content":[{"type":"text","text":"x"}]}]})";
    CHECK(parseClientRequest(headWith(key), parts).prefix.substr(0, 7) == "digest-");
    CHECK(parseClientRequest(headWith(key, "/presses/7/emboss"), "").prefix.empty());
}

TEST_CASE("a plain service's body is not read")
{
    const ClientRequest request = parseClientRequest(headWith(key, "/presses/7/emboss"), "not json");
    CHECK(!request.isChat);
    CHECK(request.promptLength == 8);
}

TEST_CASE("each bad request names the field at fault")
{
    struct Case
    {
        Headers headers;
        std::string body;
        int status;
        std::string param;
    };
    const auto with = [](const std::string &name, const std::string &value) {
        Headers headers = key;
        headers[name] = value;
        return headers;
    };
    const Case cases[] = {
        {{}, goodBody, 401, "Authorization"},
        {{{"Authorization", "Basic x"}}, goodBody, 401, "Authorization"},
        {{{"Authorization", "Bearer "}}, goodBody, 401, "Authorization"},
        {with("X-Class", "review"), goodBody, 400, "X-Class"},
        {with("X-Chat-Id", std::string(129, 'c')), goodBody, 400, "X-Chat-Id"},
        {with("X-Prefix-Id", std::string(129, 'c')), goodBody, 400, "X-Prefix-Id"},
        {with("Idempotency-Key", "two words"), goodBody, 400, "Idempotency-Key"},
        {with("Idempotency-Key", std::string(256, 'k')), goodBody, 400, "Idempotency-Key"},
        {with("X-Deadline-Ms", "0"), goodBody, 400, "X-Deadline-Ms"},
        {with("X-Deadline-Ms", "3600001"), goodBody, 400, "X-Deadline-Ms"},
        {with("X-Deadline-Ms", "5s"), goodBody, 400, "X-Deadline-Ms"},
        {key, "", 400, ""},
        {key, "[]", 400, ""},
        {key, "{\"model\":", 400, ""},
        {key, R"({"messages":[{}]})", 400, "model"},
        {key, R"({"model":7,"messages":[{}]})", 400, "model"},
        {key, R"({"model":"m"})", 400, "messages"},
        {key, R"({"model":"m","messages":[]})", 400, "messages"},
        {key, R"({"model":"m","messages":["hi"]})", 400, "messages"},
        {key, R"({"model":"m","messages":[{}],"stream":"yes"})", 400, "stream"},
    };
    for (const Case &each : cases) {
        CAPTURE(each.body);
        CAPTURE(each.param);
        try {
            parseClientRequest(headWith(each.headers), each.body);
            FAIL("accepted");
        } catch (const BadRequest &bad) {
            CHECK(bad.error().status == each.status);
            CHECK(bad.error().param == each.param);
            CHECK(!bad.error().message.empty());
        }
    }
}

TEST_CASE("an error has OpenAI's shape")
{
    CHECK(
        errorBody(ApiError{429, "rate_limited", "Come back later.", ""})
        == R"({"error":{"code":"rate_limited","message":"Come back later.","param":null,"type":"rate_limit_error"}})");
}

TEST_CASE("any headers and body are read or refused by a bad-request error alone")
{
    const auto readsOrRefuses = [](const RequestHead &head, const std::string &body) {
        try {
            parseClientRequest(head, body);
        } catch (const BadRequest &bad) {
            return bad.error().status == 400 || bad.error().status == 401;
        }
        return true;
    };
    CHECK(rc::check("random headers", [&](const std::string &value, const std::string &body) {
        for (const char *name :
             {"Authorization", "X-Class", "X-Chat-Id", "X-Prefix-Id", "Idempotency-Key", "X-Deadline-Ms"}) {
            Headers headers = key;
            headers[name] = value;
            RC_ASSERT(readsOrRefuses(headWith(headers), body));
        }
    }));
    CHECK(rc::check("altered body", [&] {
        std::string body = goodBody;
        for (int i = 0; i < 4; ++i) {
            body.at(*rc::gen::inRange<std::size_t>(0, body.size())) = *rc::gen::arbitrary<char>();
        }
        RC_ASSERT(readsOrRefuses(headWith(key), body));
    }));
    const std::string deep(100000, '[');
    CHECK(readsOrRefuses(headWith(key), R"({"model":"m","messages":)" + deep));
}
