#include "sequoiausher/transport/stream/httpreader.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

struct RequestCase
{
    const char *what;
    std::string bytes;
    HttpFault fault;
    std::string left;
};

} // namespace

// Guards against request smuggling: a head has two conflicting lengths, the router uses one and the target the other,
// so the target runs a request that is part of another one's body.
TEST_CASE("a request whose end is doubtful is refused")
{
    const std::string start = "POST /a/ HTTP/1.1\r\nHost: x\r\n";
    const std::vector<RequestCase> cases{
        {"length", start + "Content-Length: 3\r\n\r\nabcGET", HttpFault::None, "GET"},
        {"chunks", start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET", HttpFault::None, "GET"},
        {"both", start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", HttpFault::Malformed, ""},
        {"both, turned",
         start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
         HttpFault::Malformed,
         ""},
        {"two lengths", start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", HttpFault::Malformed, ""},
        {"coding", start + "Transfer-Encoding: identity\r\n\r\n", HttpFault::Malformed, ""},
        {"coding list", start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", HttpFault::Malformed, ""},
        {"odd coding", start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", HttpFault::Malformed, ""},
        {"bad chunk end", start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcX0\r\n\r\n", HttpFault::Malformed, ""},
        {"negative length", start + "Content-Length: -3\r\n\r\n", HttpFault::Malformed, ""},
        {"space before colon", start + "Content-Length : 3\r\n\r\nabc", HttpFault::Malformed, ""},
    };
    for (const RequestCase &given : cases) {
        CAPTURE(given.what);
        HttpReader reader(HttpReader::Kind::Request, {});
        std::string bytes = given.bytes;
        reader.read(bytes);
        CHECK(reader.fault() == given.fault);
        CHECK(reader.isComplete() == (given.fault == HttpFault::None));
        if (given.fault == HttpFault::None) {
            CHECK(bytes == given.left);
            CHECK(reader.takeBody() == "abc");
        }
    }
}

TEST_CASE("a message is read whole however its bytes arrive")
{
    const std::string message
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n4\r\nid: \r\n3\r\n1\n\n\r\n0\r\n\r\n";
    for (std::size_t cut = 1; cut < message.size(); ++cut) {
        HttpReader reader(HttpReader::Kind::Answer, {});
        std::string bytes = message.substr(0, cut);
        reader.read(bytes);
        CHECK_FALSE(reader.isComplete());
        bytes += message.substr(cut);
        reader.read(bytes);
        REQUIRE(reader.isComplete());
        CHECK(reader.takeBody() == "id: 1\n\n");
        CHECK(reader.head().status == 200);
        CHECK(reader.head().headers.value("x") == "y");
    }
}

TEST_CASE("an answer without a length ends with its connection, one with a length does not")
{
    HttpReader open(HttpReader::Kind::Answer, {});
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\nabc";
    open.read(bytes);
    CHECK_FALSE(open.isComplete());
    open.finish();
    CHECK(open.isComplete());

    HttpReader sized(HttpReader::Kind::Answer, {});
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
    sized.read(bytes);
    sized.finish();
    CHECK_FALSE(sized.isComplete());
}

TEST_CASE("limits are told apart")
{
    HttpReader reader(HttpReader::Kind::Request, {.headBytes = 64, .bodyBytes = 4});
    std::string bytes = "GET / HTTP/1.1\r\nX: " + std::string(100, 'a') + "\r\n\r\n";
    reader.read(bytes);
    CHECK(reader.fault() == HttpFault::HeadTooLong);
    reader.restart();
    bytes = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde";
    reader.read(bytes);
    CHECK(reader.fault() == HttpFault::BodyTooLong);
}

// Guards against a sender that exhausts memory by bytes in which a line or a block of fields never ends.
TEST_CASE(
    "bytes that never reach the end of a head, a chunk's line or the trailers are refused within the head's limit")
{
    constexpr std::uint32_t limit = 4096;
    constexpr std::size_t pieceBytes = 1000;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Case
    {
        std::string begin;
        std::string piece;
    };
    const std::vector<Case> cases{
        {"", std::string(pieceBytes, '\0')},
        {"", std::string(pieceBytes, 'a')},
        {"", std::string(pieceBytes, '\n')},
        {"HTTP/1.1 200 ", std::string(pieceBytes, 'a')},
        {"HTTP/1.1 200 OK\r\nX: ", std::string(pieceBytes, 'a')},
        {"HTTP/1.1 200 OK\r\n", "X: " + std::string(pieceBytes, 'a') + "\r\n"},
        {chunked, std::string(pieceBytes, '0')},
        {chunked, std::string(pieceBytes, 'a')},
        {chunked + "4;x=", std::string(pieceBytes, 'a')},
        {chunked + "4\r\nabcd\r\n0\r\n", "X: " + std::string(pieceBytes, 'a') + "\r\n"},
    };
    for (const Case &each : cases) {
        CAPTURE(each.begin);
        CAPTURE(each.piece.substr(0, 4));
        HttpReader reader(HttpReader::Kind::Answer, {.headBytes = limit, .bodyBytes = 1048576});
        std::string bytes = each.begin;
        std::size_t mostHeld = 0;
        constexpr int pieces = 100;
        for (int i = 0; i < pieces && reader.fault() == HttpFault::None; ++i) {
            bytes += each.piece;
            reader.read(bytes);
            mostHeld = std::max(mostHeld, bytes.size());
        }
        CHECK(reader.fault() != HttpFault::None);
        CHECK(mostHeld <= limit + 2 * pieceBytes);
    }
}

// Guards against an answer of a target in trouble that is passed on as one: with a status that callers know no meaning
// of, or with a line that is no field.
TEST_CASE("an answer whose head is none of HTTP is malformed, wherever it is cut")
{
    const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
    std::vector<std::string> heads;
    for (const char *line : {"HTTP/1.1 000 OK",
                             "HTTP/1.1 001 OK",
                             "HTTP/1.1 099 OK",
                             "HTTP/1.1 600 OK",
                             "HTTP/1.1 999 OK",
                             "HTTP/1.1 20 OK",
                             "HTTP/1.1 2000 OK",
                             "HTTP/1.1 2x0 OK",
                             "HTTP/1.1 +20 OK",
                             "HTTP/1.1 -20 OK",
                             "HTTP/1.1  200 OK",
                             "HTTP/1.1",
                             "HTTP/2.0 200 OK",
                             "http/1.1 200 OK",
                             " HTTP/1.1 200 OK"}) {
        heads.push_back(line + rest);
    }
    std::vector<std::string> fields{"X Y: 1",
                                    "X\tY: 1",
                                    "X\x01Y: 1",
                                    "X\x7fY: 1",
                                    "X\xe9Y: 1",
                                    "X : 1",
                                    ": 1",
                                    "X",
                                    "X\x1f: 1",
                                    "X: a\x01",
                                    "X: a\x7f",
                                    "X?Y: 1",
                                    "X: ?"};
    // A zero byte, which no literal holds.
    for (std::string &field : fields) {
        std::replace(field.begin(), field.end(), '?', '\0');
        std::string head = "HTTP/1.1 200 OK\r\n";
        heads.push_back(head.append(field).append(rest));
    }
    for (const std::string &head : heads) {
        CAPTURE(head);
        HttpReader reader(HttpReader::Kind::Answer, {});
        std::string bytes = head;
        reader.read(bytes);
        CHECK(reader.fault() == HttpFault::Malformed);
        CHECK_FALSE(reader.isComplete());
        HttpReader slow(HttpReader::Kind::Answer, {});
        std::string pending;
        for (const char each : head) {
            pending += each;
            slow.read(pending);
        }
        slow.finish();
        CHECK(slow.fault() == HttpFault::Malformed);
        CHECK_FALSE(slow.hasHead());
    }
}

TEST_CASE("each status from 100 to 599 is one")
{
    for (int status = 100; status < 600; ++status) {
        HttpReader reader(HttpReader::Kind::Answer, {});
        std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Any\r\nContent-Length: 0\r\n\r\n";
        reader.read(bytes);
        CAPTURE(status);
        CHECK(reader.isComplete());
        CHECK(reader.head().status == status);
    }
}
