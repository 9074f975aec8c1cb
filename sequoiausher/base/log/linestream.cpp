#include "sequoiausher/base/log/linestream.h"

#include <cerrno>
#include <streambuf>
#include <string>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace Sequoiausher {

namespace {

/** The size of the buffer for a reader that is slow for a moment; lines beyond it are dropped. */
constexpr std::size_t mostWaiting = 256UL * 1024;

} // namespace

class LineStream::Private : public std::streambuf
{
public:
    explicit Private(int to) : descriptor(to), out(this)
    {
        const int flags = fcntl(this->descriptor, F_GETFL);
        if (flags >= 0) {
            fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
        }
    }

    int overflow(int c) override
    {
        if (c != traits_type::eof()) {
            this->line += static_cast<char>(c);
        }
        return c;
    }

    std::streamsize xsputn(const char *text, std::streamsize size) override
    {
        this->line.append(text, static_cast<std::size_t>(size));
        return size;
    }

    int sync() override
    {
        if (this->waiting.size() + this->line.size() > mostWaiting) {
            this->dropped += 1;
            this->untold += 1;
        } else {
            if (this->untold > 0) {
                this->waiting += "lines dropped for want of a reader: " + std::to_string(this->untold) + "\n";
                this->untold = 0;
            }
            this->waiting += this->line;
        }
        this->line.clear();
        this->send();
        return 0;
    }

    void send()
    {
        std::size_t sent = 0;
        while (sent < this->waiting.size()) {
            const ssize_t taken = write(this->descriptor, this->waiting.data() + sent, this->waiting.size() - sent);
            if (taken < 0 && errno == EINTR) {
                continue;
            }
            if (taken <= 0) {
                break;
            }
            sent += static_cast<std::size_t>(taken);
        }
        this->waiting.erase(0, sent);
    }

    int descriptor;
    std::ostream out;
    std::string line;
    /** Whole lines that are not written to the descriptor yet. */
    std::string waiting;
    std::uint64_t dropped = 0;
    std::uint64_t untold = 0;
};

LineStream::LineStream(int descriptor) : d(std::make_unique<Private>(descriptor))
{
}

LineStream::~LineStream()
{
    this->d->send();
}

std::ostream &LineStream::stream()
{
    return this->d->out;
}

std::uint64_t LineStream::dropped() const
{
    return this->d->dropped;
}

} // namespace Sequoiausher
