#include "sequoiausher/protocol/clientapi/ssereader.h"

#include "sequoiausher/base/error.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

/** About the length of a token's line. */
constexpr std::size_t searchedAtOnce = 256;

/**
 * Where the first line ends. Two searches for one byte each are much cheaper than one for either, and go over a bounded
 * part at a time: else a stream of carriage returns alone would be searched to its end for each of its lines.
 */
std::size_t lineEnd(std::string_view bytes)
{
    for (std::size_t begin = 0; begin < bytes.size(); begin += searchedAtOnce) {
        const std::string_view part = bytes.substr(begin, searchedAtOnce);
        const std::size_t feed = part.find('\n');
        const std::size_t first = std::min(feed, part.substr(0, feed).find('\r'));
        if (first != std::string_view::npos) {
            return begin + first;
        }
    }
    return std::string_view::npos;
}

} // namespace

SseReader::SseReader(std::size_t maximumEventBytes) : limit(maximumEventBytes)
{
}

std::vector<SseEvent> SseReader::push(std::string_view bytes)
{
    std::vector<SseEvent> complete;
    while (!bytes.empty()) {
        // A line ends in CR, LF or CR LF; the LF of a pair may come with the next bytes.
        if (std::exchange(this->afterCarriageReturn, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const std::size_t end = lineEnd(bytes);
        const std::string_view part = bytes.substr(0, end);
        this->eventBytes += part.size();
        if (this->eventBytes > this->limit) {
            throw Error(
                Step::Decode, "event stream", "an event has more than " + std::to_string(this->limit) + " bytes");
        }
        if (end == std::string_view::npos) {
            this->line += part;
            break;
        }
        this->afterCarriageReturn = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        if (this->line.empty()) {
            this->takeLine(part, complete);
        } else {
            this->line += part;
            const std::string whole = std::exchange(this->line, {});
            this->takeLine(whole, complete);
        }
    }
    return complete;
}

bool SseReader::hasPartialEvent() const
{
    return this->hasData || !this->line.empty();
}

void SseReader::takeLine(std::string_view text, std::vector<SseEvent> &complete)
{
    if (std::exchange(this->atStart, false) && text.substr(0, byteOrderMark.size()) == byteOrderMark) {
        text.remove_prefix(byteOrderMark.size());
    }
    if (text.empty()) {
        this->dispatch(complete);
        return;
    }
    const std::size_t colon = text.find(':');
    if (colon == 0) {
        return;
    }
    std::string_view value = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    this->takeField(text.substr(0, colon), value);
}

void SseReader::takeField(std::string_view field, std::string_view value)
{
    if (field == "data") {
        if (this->hasData) {
            this->current.data += '\n';
        }
        this->current.data += value;
        this->hasData = true;
    } else if (field == "event") {
        this->current.event = value;
    } else if (field == "id" && value.find('\0') == std::string_view::npos) {
        this->current.id = value;
    }
}

void SseReader::dispatch(std::vector<SseEvent> &complete)
{
    this->eventBytes = 0;
    if (std::exchange(this->hasData, false)) {
        // The id stays for the events to come.
        complete.push_back(SseEvent{std::move(this->current.data), std::move(this->current.event), this->current.id});
    }
    this->current.data.clear();
    this->current.event.clear();
}

} // namespace Sequoiausher
