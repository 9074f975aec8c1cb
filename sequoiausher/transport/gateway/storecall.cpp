#include "sequoiausher/transport/gateway/storecall.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/httpreader.h"

#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::uint32_t longestHead = 32768;
/** The store accepts connections within milliseconds, so one that is not open by then has failed. */
constexpr Millis connectTime{700};

} // namespace

class StoreCalls::Private : public ByteStreamUser
{
public:
    Private(std::string at, std::uint64_t longestAnswer)
        : address(std::move(at))
        , reader(HttpReader::Kind::Answer, {longestHead, longestAnswer})
    {
    }
    ~Private() override
    {
        this->drop();
    }

    void drop()
    {
        if (this->stream) {
            this->stream->forgetUser();
            this->stream->close();
            this->old = std::move(this->stream);
            this->stream.reset();
        }
    }

    void fail(const std::string &problem, bool isTooLarge = false)
    {
        this->drop();
        if (Done told = std::exchange(this->done, nullptr)) {
            told(StoreAnswer{0, {}, {}, this->startedAt, problem, isTooLarge});
        }
    }

    void complete()
    {
        StoreAnswer answer{
            this->reader.head().status, this->reader.head(), this->reader.takeBody(), this->startedAt, {}, false};
        // Bytes after an answer belong to no call, and a connection on which an answer was lost delivers nothing more.
        if (!this->reader.head().keepAlive || !this->stream || !this->stream->input().empty()) {
            this->drop();
        }
        if (Done told = std::exchange(this->done, nullptr)) {
            told(answer);
        }
    }

    void bytesArrived() override
    {
        if (!this->done) {
            this->drop();
            return;
        }
        this->reader.read(this->stream->input());
        if (this->reader.fault() != HttpFault::None) {
            const bool isTooLarge = this->reader.fault() == HttpFault::BodyTooLong;
            this->fail(isTooLarge ? "the answer is too large" : "the answer cannot be read", isTooLarge);
        } else if (this->reader.isComplete()) {
            this->complete();
        }
    }

    void ended(StreamEnd how) override
    {
        if (how == StreamEnd::Finished && this->done) {
            this->reader.finish();
            if (this->reader.isComplete()) {
                this->complete();
                return;
            }
        }
        this->fail(std::string(nameOf(how)));
    }

    std::string address;
    HttpReader reader;
    std::shared_ptr<ByteStream> stream;
    /** Destroyed with the next connection, because a connection must not be destroyed during its own call. */
    std::shared_ptr<ByteStream> old;
    Done done;
    Millis startedAt;
    Millis timeout;
};

StoreCalls::StoreCalls(std::string address, std::uint64_t longestAnswer)
    : d(std::make_unique<Private>(std::move(address), longestAnswer))
{
}

StoreCalls::~StoreCalls() = default;

void StoreCalls::get(const std::string &target, Millis timeout, Done done)
{
    this->d->done = std::move(done);
    this->d->startedAt = Millis::monotonicNow();
    this->d->timeout = timeout;
    this->d->reader.restart();
    // Bytes that came before the call was written belong to no call.
    if (this->d->stream && (!this->d->stream->input().empty() || this->d->stream->unreadBytes() > 0)) {
        this->d->drop();
    }
    if (!this->d->stream || !this->d->stream->isOpen()) {
        try {
            this->d->stream = ByteStream::dial(this->d->address, this->d.get());
        } catch (const Error &) {
            // Reported at the next tick, because done must not be called before get() returns.
            this->d->stream.reset();
            this->d->timeout = Millis{0};
            return;
        }
    }
    this->d->stream->write("GET " + target + " HTTP/1.1\r\nHost: " + this->d->address + "\r\n\r\n");
}

bool StoreCalls::isBusy() const
{
    return this->d->done != nullptr;
}

void StoreCalls::cancel()
{
    this->d->drop();
    this->d->done = nullptr;
}

void StoreCalls::tick(Millis now)
{
    if (!this->d->done) {
        return;
    }
    const Millis taken = now - this->d->startedAt;
    const bool isConnecting = this->d->stream && !this->d->stream->isConnected();
    if (taken >= this->d->timeout || (isConnecting && taken >= connectTime)) {
        this->d->fail(isConnecting ? "no connection in time" : "no answer in time");
    }
}

} // namespace Sequoiausher
