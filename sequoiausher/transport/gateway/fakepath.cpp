#include "sequoiausher/transport/gateway/fakepath.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/stream/ipv4socket.h"

#include <optional>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Sequoiausher {

/** One carried connection. */
class FakePath::Carried
{
public:
    Carried(const std::string &address, int descriptor)
        : nearEnd(*this)
        , farEnd(*this)
        , nearStream(ByteStream::adopt(descriptor, &this->nearEnd))
        , farStream(ByteStream::dial(address, &this->farEnd))
    {
    }
    ~Carried()
    {
        for (const auto &stream : {this->nearStream, this->farStream}) {
            stream->forgetUser();
            stream->close();
        }
    }
    Carried(const Carried &) = delete;
    Carried &operator=(const Carried &) = delete;

    void silence()
    {
        this->isSilent = true;
    }
    void resume()
    {
        this->isSilent = false;
        for (End *each : {&this->nearEnd, &this->farEnd}) {
            // A sender that resets its connection sends nothing of it again.
            if (each->heldEnd != StreamEnd::Reset) {
                this->pass(*each);
            }
            if (const std::optional<StreamEnd> how = std::exchange(each->heldEnd, std::nullopt)) {
                this->end(*each, *how);
            }
        }
    }
    void reset()
    {
        for (const auto &stream : {this->nearStream, this->farStream}) {
            stream->forgetUser();
            stream->reset();
        }
    }

private:
    struct End : public ByteStreamUser
    {
        explicit End(Carried &of) : owner(of)
        {
        }
        void bytesArrived() override
        {
            this->owner.pass(*this);
        }
        void ended(StreamEnd how) override
        {
            this->owner.end(*this, how);
        }
        Carried &owner;
        /** How the connection ended while the path was silent. */
        std::optional<StreamEnd> heldEnd;
    };

    ByteStream &streamOf(const End &end)
    {
        return &end == &this->nearEnd ? *this->nearStream : *this->farStream;
    }
    ByteStream &otherOf(const End &end)
    {
        return &end == &this->nearEnd ? *this->farStream : *this->nearStream;
    }
    void pass(const End &end)
    {
        if (!this->isSilent) {
            this->otherOf(end).write(std::exchange(this->streamOf(end).input(), {}));
        }
    }
    void end(End &end, StreamEnd how)
    {
        if (this->isSilent) {
            end.heldEnd = how;
            return;
        }
        if (how == StreamEnd::Finished) {
            this->otherOf(end).closeGently();
        } else {
            this->otherOf(end).forgetUser();
            this->otherOf(end).reset();
        }
    }

    End nearEnd;
    End farEnd;
    std::shared_ptr<ByteStream> nearStream;
    std::shared_ptr<ByteStream> farStream;
    bool isSilent = false;
};

FakePath::FakePath(std::string address) : to(std::move(address)), listenAt("127.0.0.1:0")
{
    this->reservePort();
    this->listen();
}

FakePath::~FakePath()
{
    this->stopHanging();
    ::close(this->reserved);
}

void FakePath::reservePort()
{
    const Ipv4Socket opened = openIpv4Socket(this->listenAt, Step::Listen);
    this->reserved = opened.descriptor;
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    // The sockets interface takes every kind of address through the generic one.
    auto *const generic = reinterpret_cast<sockaddr *>(&bound); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
    const int on = 1;
    // With the option, which is set after bind(), a listener of this process may use the port too.
    if (bind(opened.descriptor, opened.address(), sizeof opened.at) != 0
        || setsockopt(opened.descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
        || getsockname(opened.descriptor, generic, &size) != 0) {
        ::close(this->reserved);
        throw Error(Step::Listen, this->listenAt, "no port for a test's path");
    }
    this->listenAt = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

void FakePath::listen()
{
    this->listener = std::make_unique<StreamListener>(this->listenAt, [this](int descriptor) {
        this->acceptedCount += 1;
        this->carried.push_back(std::make_unique<Carried>(this->to, descriptor));
    });
}

std::string FakePath::address() const
{
    return this->listenAt;
}

std::size_t FakePath::accepted() const
{
    return this->acceptedCount;
}

void FakePath::cut(PathCut how)
{
    if (std::exchange(this->isCut, true)) {
        return;
    }
    this->listener.reset();
    for (const auto &each : this->carried) {
        if (how == PathCut::Silent) {
            each->silence();
        } else if (how == PathCut::Reset) {
            each->reset();
        }
    }
    if (how == PathCut::Silent) {
        this->hang();
    }
}

void FakePath::heal()
{
    if (!std::exchange(this->isCut, false)) {
        return;
    }
    this->stopHanging();
    if (this->isTargetListening) {
        this->listen();
    }
    for (const auto &each : this->carried) {
        each->resume();
    }
}

void FakePath::setListening(bool on)
{
    this->isTargetListening = on;
    if (this->isCut) {
        return;
    }
    if (on && !this->listener) {
        this->listen();
    } else if (!on) {
        this->listener.reset();
    }
}

void FakePath::hang()
{
    // The kernel drops the opening packets of connections for which the queue of a listening socket has no room.
    const Ipv4Socket opened = openIpv4Socket(this->listenAt, Step::Listen);
    const int on = 1;
    setsockopt(opened.descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    this->hanging.push_back(opened.descriptor);
    if (bind(opened.descriptor, opened.address(), sizeof opened.at) != 0 || ::listen(opened.descriptor, 0) != 0) {
        throw Error(Step::Listen, this->listenAt, "a test's path cannot be silenced");
    }
    constexpr int fillers = 3;
    for (int i = 0; i < fillers; ++i) {
        const Ipv4Socket filler = openIpv4Socket(this->listenAt, Step::Connect);
        static_cast<void>(::connect(filler.descriptor, filler.address(), sizeof filler.at));
        this->hanging.push_back(filler.descriptor);
    }
}

void FakePath::stopHanging()
{
    for (const int descriptor : std::exchange(this->hanging, {})) {
        ::close(descriptor);
    }
}

} // namespace Sequoiausher
