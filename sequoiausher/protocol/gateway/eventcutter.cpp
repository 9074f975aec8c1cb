#include "sequoiausher/protocol/gateway/eventcutter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::string_view blankLine = "\n\n";
constexpr std::string_view blankLineWithReturns = "\r\n\r\n";
constexpr std::string_view idField = "id:";

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    return problem == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

/** The value of the event's id line; empty where it has none. */
std::string_view idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t lineEnd = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, lineEnd);
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.substr(0, idField.size()) != idField) {
            continue;
        }
        line.remove_prefix(idField.size());
        return !line.empty() && line.front() == ' ' ? line.substr(1) : line;
    }
    return {};
}

/** One past the end of the first event in text; npos where it has no whole one. */
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    const std::size_t plain = text.find(blankLine, from);
    const std::size_t returns = text.find(blankLineWithReturns, from);
    const std::size_t plainEnd = plain == std::string_view::npos ? plain : plain + blankLine.size();
    const std::size_t returnsEnd = returns == std::string_view::npos ? returns : returns + blankLineWithReturns.size();
    return std::min(plainEnd, returnsEnd);
}

} // namespace

EventCutter::EventCutter(std::string lastId) : last(std::move(lastId)), lastNumber(numberOf(this->last))
{
}

std::string EventCutter::feed(std::string_view bytes)
{
    this->pending += bytes;
    std::string whole;
    std::size_t used = 0;
    while (true) {
        const std::size_t end = endOfEvent(this->pending, std::max(used, this->searched));
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event = std::string_view(this->pending).substr(used, end - used);
        if (!this->isRepeated(event)) {
            whole += event;
            this->events += 1;
        }
        used = end;
        this->searched = 0;
    }
    this->pending.erase(0, used);
    // The mark may lie over the border of two pieces, so its last bytes are looked at again.
    constexpr std::size_t overlap = blankLineWithReturns.size() - 1;
    this->searched = this->pending.size() > overlap ? this->pending.size() - overlap : 0;
    return whole;
}

bool EventCutter::isRepeated(std::string_view event)
{
    const std::string_view id = idOf(event);
    if (id.empty()) {
        return false;
    }
    const std::optional<std::uint64_t> number = numberOf(id);
    if (number && this->lastNumber && *number <= *this->lastNumber) {
        return true;
    }
    this->last = std::string(id);
    this->lastNumber = number;
    return false;
}

const std::string &EventCutter::rest() const
{
    return this->pending;
}

bool EventCutter::isInsideEvent() const
{
    return this->pending.find_first_not_of("\r\n") != std::string::npos;
}

const std::string &EventCutter::lastId() const
{
    return this->last;
}

std::uint64_t EventCutter::eventCount() const
{
    return this->events;
}

void EventCutter::begin()
{
    this->pending.clear();
    this->searched = 0;
}

} // namespace Sequoiausher
