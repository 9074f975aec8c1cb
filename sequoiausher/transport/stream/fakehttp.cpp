#include "sequoiausher/transport/stream/fakehttp.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/peers/peeraddress.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Sequoiausher {

std::string FakeRequest::header(const std::string &name) const
{
    return std::string(this->head.headers.value(name));
}

void FakeRequest::send(const std::string &bytes) const
{
    this->connection->stream->write(bytes);
}

void FakeRequest::reply(const std::string &status, const std::string &content, const std::string &fields) const
{
    this->send("HTTP/1.1 " + status + "\r\n" + this->ownFields() + fields
               + "Content-Length: " + std::to_string(content.size()) + "\r\n\r\n" + content);
}

void FakeRequest::beginEvents() const
{
    this->send("HTTP/1.1 200 OK\r\n" + this->ownFields()
               + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
}

void FakeRequest::event(int id) const
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: x\n\n";
    std::ostringstream chunk;
    chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
    this->send(chunk.str());
}

void FakeRequest::endEvents() const
{
    this->send("0\r\n\r\n");
}

void FakeRequest::close() const
{
    this->connection->stream->closeGently();
}

void FakeRequest::reset() const
{
    this->connection->stream->reset();
}

std::string FakeRequest::ownFields() const
{
    const FakeServer *server = this->connection->server;
    return server != nullptr && server->ownFields ? server->ownFields(*this) : std::string();
}

FakeServer::FakeServer(const std::string &listenAt)
    : listener(std::make_unique<StreamListener>(listenAt, [this](int descriptor) {
        this->connections += 1;
        this->ended.clear();
        this->open.push_back(std::make_shared<FakeConnection>(*this, descriptor));
    }))
{
}

FakeServer::~FakeServer()
{
    // Requests of a test may hold their connections after this server is destroyed.
    for (const auto &connection : this->open) {
        connection->server = nullptr;
        connection->stream->forgetUser();
        connection->stream->close();
    }
}

std::string FakeServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->listener->port());
}

FakeConnection::FakeConnection(FakeServer &to, int at)
    : server(&to)
    , stream(ByteStream::adopt(at, this))
    , reader(HttpReader::Kind::Request, {})
{
}

FakeConnection::~FakeConnection()
{
    this->stream->forgetUser();
}

void FakeServer::forget(const FakeConnection &connection)
{
    const auto held = std::find_if(
        this->open.begin(), this->open.end(), [&connection](const auto &one) { return one.get() == &connection; });
    if (held != this->open.end()) {
        (*held)->server = nullptr;
        this->ended.push_back(std::move(*held));
        this->open.erase(held);
    }
}

void FakeConnection::bytesArrived()
{
    this->reader.read(this->stream->input());
    while (this->server != nullptr && this->reader.isComplete()) {
        FakeRequest request{this->shared_from_this(), this->reader.head(), this->reader.takeBody()};
        if (this->server->isRecording) {
            this->server->seen.push_back(request);
        }
        this->reader.restart();
        if (this->server->answers) {
            this->server->answers(request);
        }
        this->reader.read(this->stream->input());
    }
}

void FakeConnection::ended(StreamEnd /*how*/)
{
    if (this->server == nullptr) {
        return;
    }
    this->server->closed += 1;
    if (this->server->lost) {
        this->server->lost(*this);
    }
    this->server->forget(*this);
}

FakeCaller::FakeCaller(const std::string &address)
    : stream(ByteStream::dial(address, this))
    , reader(HttpReader::Kind::Answer, {65536, 1UL << 30U})
{
}

FakeCaller::~FakeCaller()
{
    this->stream->forgetUser();
    this->stream->close();
}

void FakeCaller::send(const std::string &bytes)
{
    this->reply = CallerReply();
    this->reader.restart();
    this->stream->write(bytes);
}

void FakeCaller::close()
{
    this->stream->forgetUser();
    this->stream->close();
}

void FakeCaller::bytesArrived()
{
    this->reader.read(this->stream->input());
    this->reply.body += this->reader.takeBody();
    this->reply.head = this->reader.head();
    this->reply.status = this->reader.head().status;
    this->reply.isWhole = this->reader.isComplete();
    if (this->changed) {
        this->changed();
    }
}

void FakeCaller::ended(StreamEnd how)
{
    if (how == StreamEnd::Finished) {
        this->reader.finish();
        this->reply.isWhole = this->reader.isComplete();
    }
    this->reply.end = how;
    this->reply.hasEnded = true;
    if (this->changed) {
        this->changed();
    }
}

CrossingCaller::CrossingCaller(const std::string &address, int receiveBytes)
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , reader(HttpReader::Kind::Answer, {65536, 1UL << 30U})
{
    if (receiveBytes > 0) {
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    const PeerAddress parsed = parsePeerAddress(address);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(parsed.port);
    inet_pton(AF_INET, parsed.host.c_str(), &to.sin_addr);
    if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        ::close(this->descriptor);
        throw Error(Step::Connect, address, std::strerror(errno));
    }
    fcntl(this->descriptor, F_SETFL, O_NONBLOCK);
}

CrossingCaller::~CrossingCaller()
{
    ::close(this->descriptor);
}

void CrossingCaller::send(const std::string &bytes)
{
    this->status = 0;
    this->body.clear();
    this->input.clear();
    this->reader.restart();
    this->sendMore(bytes);
}

void CrossingCaller::next()
{
    this->status = 0;
    this->body.clear();
    this->reader.restart();
}

void CrossingCaller::sendMore(const std::string &bytes)
{
    if (::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
        // Nobody has read what cannot be sent.
        this->wasReset = true;
    }
}

bool CrossingCaller::look()
{
    std::array<char, 65536> buffer{};
    while (!this->hasEnd) {
        const ssize_t taken = recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (taken < 0) {
            // The kernel reports a reset once, to the first call.
            this->wasReset = this->wasReset || (errno != EAGAIN && errno != EINTR);
            break;
        }
        this->hasEnd = taken == 0;
        this->input.append(buffer.data(), static_cast<std::size_t>(taken));
    }
    this->reader.read(this->input);
    this->body += this->reader.takeBody();
    this->head = this->reader.head();
    this->status = this->head.status;
    return this->reader.isComplete();
}

bool CrossingCaller::isFinished()
{
    this->look();
    return this->hasEnd;
}

bool CrossingCaller::isReset()
{
    int problem = 0;
    socklen_t size = sizeof problem;
    // The kernel reports it once.
    getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &problem, &size);
    this->wasReset = this->wasReset || problem != 0;
    return this->wasReset;
}

} // namespace Sequoiausher
