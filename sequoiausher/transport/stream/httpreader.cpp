#include "sequoiausher/transport/stream/httpreader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <utility>

namespace Sequoiausher {

namespace {

namespace Http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using View = boost::beast::string_view;

/** The statuses that have a class (RFC 9110, 15). */
constexpr int firstStatus = 100;
constexpr int lastStatus = 599;

/** The state of a parser. */
struct Collected
{
    HttpHead head;
    std::string body;
    bool hasHead = false;
    bool isComplete = false;
    /** A coding other than chunked, or chunked twice: the end of the message is ambiguous. */
    bool hasForeignCoding = false;
};

// The library defines the names of the functions.
template<bool isRequest>
class Parser : public Http::basic_parser<isRequest>
{
public:
    explicit Parser(Collected &into) : collected(into)
    {
    }

protected:
    void
    on_request_impl(Http::verb /*method*/, View method, View target, int version, ErrorCode & /*ec*/) override // NOLINT
    {
        this->collected.head.method = std::string(method);
        this->collected.head.target = std::string(target);
        this->collected.head.version = version;
    }
    void on_response_impl(int code, View /*reason*/, int version, ErrorCode &ec) override // NOLINT
    {
        if (code < firstStatus || code > lastStatus) {
            ec = Http::error::bad_status;
            return;
        }
        this->collected.head.status = code;
        this->collected.head.version = version;
    }
    void on_field_impl(Http::field name, View text, View value, ErrorCode & /*ec*/) override // NOLINT
    {
        if (name == Http::field::transfer_encoding) {
            const bool isSecond = this->collected.head.headers.has("transfer-encoding");
            this->collected.hasForeignCoding |= isSecond || !sameHeaderName({value.data(), value.size()}, "chunked");
        }
        this->collected.head.headers.add(std::string(text), std::string(value));
    }
    void on_header_impl(ErrorCode &ec) override // NOLINT
    {
        if (this->collected.hasForeignCoding) {
            ec = Http::error::bad_transfer_encoding;
            return;
        }
        this->collected.hasHead = true;
        this->collected.head.keepAlive = this->keep_alive();
        this->collected.head.chunked = this->chunked();
        if (const auto length = this->content_length()) {
            this->collected.head.contentLength = *length;
        }
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, ErrorCode & /*ec*/) override // NOLINT
    {
    }
    std::size_t on_body_impl(View bytes, ErrorCode & /*ec*/) override // NOLINT
    {
        this->collected.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, View /*extensions*/, ErrorCode & /*ec*/) override // NOLINT
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, View bytes, ErrorCode & /*ec*/) override // NOLINT
    {
        this->collected.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(ErrorCode & /*ec*/) override // NOLINT
    {
        this->collected.isComplete = true;
    }

private:
    Collected &collected;
};

HttpFault faultOf(const ErrorCode &code)
{
    if (code == Http::error::header_limit) {
        return HttpFault::HeadTooLong;
    }
    if (code == Http::error::body_limit) {
        return HttpFault::BodyTooLong;
    }
    return HttpFault::Malformed;
}

} // namespace

class HttpReader::Private
{
public:
    Private(Kind with, const HttpReaderLimits &most) : kind(with), limits(most)
    {
        this->restart();
    }

    void restart()
    {
        this->collected = Collected();
        this->fault = HttpFault::None;
        this->request.reset();
        this->answer.reset();
        if (this->kind == Kind::Request) {
            this->request = std::make_unique<Parser<true>>(this->collected);
            this->prepare(*this->request);
        } else {
            this->answer = std::make_unique<Parser<false>>(this->collected);
            this->prepare(*this->answer);
        }
    }

    template<bool isRequest>
    void prepare(Parser<isRequest> &parser)
    {
        parser.eager(true);
        parser.header_limit(this->limits.headBytes);
        parser.body_limit(this->limits.bodyBytes);
    }

    template<bool isRequest>
    void read(Parser<isRequest> &parser, std::string &bytes)
    {
        std::size_t used = 0;
        while (used < bytes.size() && !this->collected.isComplete && this->fault == HttpFault::None) {
            ErrorCode code;
            const std::size_t taken
                = parser.put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), code);
            used += taken;
            if (code == Http::error::need_more) {
                // A head must be contiguous; available bytes of a body have been consumed. The parser limits only the
                // head, not the line before a chunk or the fields after the last one.
                if (bytes.size() - used > this->limits.headBytes) {
                    this->fault = this->collected.hasHead ? HttpFault::Malformed : HttpFault::HeadTooLong;
                }
                break;
            }
            if (code) {
                this->fault = faultOf(code);
            } else if (taken == 0) {
                break;
            }
        }
        bytes.erase(0, used);
    }

    template<bool isRequest>
    void finish(Parser<isRequest> &parser)
    {
        if (!this->collected.hasHead || this->collected.isComplete || this->fault != HttpFault::None) {
            return;
        }
        ErrorCode code;
        parser.put_eof(code);
        if (code) {
            this->fault = faultOf(code);
        }
    }

    Kind kind;
    HttpReaderLimits limits;
    Collected collected;
    HttpFault fault = HttpFault::None;
    std::unique_ptr<Parser<true>> request;
    std::unique_ptr<Parser<false>> answer;
};

HttpReader::HttpReader(Kind kind, const HttpReaderLimits &limits) : d(std::make_unique<Private>(kind, limits))
{
}

HttpReader::~HttpReader() = default;

void HttpReader::setLimits(const HttpReaderLimits &limits)
{
    this->d->limits = limits;
}

void HttpReader::expectNoBody()
{
    if (this->d->answer) {
        this->d->answer->skip(true);
    }
}

void HttpReader::read(std::string &bytes)
{
    if (this->d->request) {
        this->d->read(*this->d->request, bytes);
    } else {
        this->d->read(*this->d->answer, bytes);
    }
}

void HttpReader::finish()
{
    if (this->d->answer) {
        this->d->finish(*this->d->answer);
    }
}

bool HttpReader::hasHead() const
{
    return this->d->collected.hasHead;
}

bool HttpReader::isComplete() const
{
    return this->d->collected.isComplete;
}

HttpFault HttpReader::fault() const
{
    return this->d->fault;
}

const HttpHead &HttpReader::head() const
{
    return this->d->collected.head;
}

HttpHead HttpReader::takeHead()
{
    return std::exchange(this->d->collected.head, HttpHead());
}

std::string HttpReader::takeBody()
{
    return std::exchange(this->d->collected.body, std::string());
}

std::size_t HttpReader::bodySize() const
{
    return this->d->collected.body.size();
}

void HttpReader::reserveBody(std::size_t bytes)
{
    this->d->collected.body.reserve(bytes);
}

void HttpReader::restart()
{
    this->d->restart();
}

} // namespace Sequoiausher
