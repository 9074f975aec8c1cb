#include "sequoiausher/transport/stream/outputqueue.h"

#include <utility>

namespace Sequoiausher {

namespace {

/** Consumed bytes beyond so many are removed as soon as they are half of their segment. */
constexpr std::size_t compactBytes = 65536;

} // namespace

std::string_view OutputQueue::Segment::rest() const
{
    const std::string &bytes = this->shared ? *this->shared : this->own;
    return std::string_view(bytes).substr(this->consumed);
}

void OutputQueue::append(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (this->segments.empty() || this->segments.back().shared) {
        this->segments.emplace_back();
    }
    this->segments.back().own += bytes;
    this->total += bytes.size();
    this->own += bytes.size();
}

void OutputQueue::append(std::shared_ptr<const std::string> bytes)
{
    if (bytes->empty()) {
        return;
    }
    this->total += bytes->size();
    this->segments.push_back({{}, std::move(bytes), 0});
}

std::string_view OutputQueue::front() const
{
    return this->segments.empty() ? std::string_view() : this->segments.front().rest();
}

void OutputQueue::consume(std::size_t count)
{
    if (count == 0) {
        return;
    }
    Segment &first = this->segments.front();
    first.consumed += count;
    this->total -= count;
    this->own -= first.shared ? 0 : count;
    if (first.rest().empty()) {
        this->segments.pop_front();
    } else if (!first.shared && first.consumed >= compactBytes && first.consumed >= first.own.size() / 2) {
        first.own.erase(0, std::exchange(first.consumed, 0));
    }
}

void OutputQueue::clear()
{
    this->segments.clear();
    this->total = 0;
    this->own = 0;
}

bool OutputQueue::empty() const
{
    return this->total == 0;
}

std::size_t OutputQueue::size() const
{
    return this->total;
}

std::size_t OutputQueue::ownBytes() const
{
    return this->own;
}

} // namespace Sequoiausher
