#include "lab/soak/streamcheck.h"

#include "sequoiausher/base/hashing.h"

#include <sstream>

namespace Sequoiausher::Lab {

namespace {

/** Streams have up to so many events, a few at least. */
constexpr std::uint32_t fewestEvents = 3;
constexpr std::uint32_t eventSpread = 24;

struct ReadEvent
{
    std::uint32_t id = 0;
    std::string callId;
    std::string count;
    std::string target;
};

std::optional<ReadEvent> readEvent(const std::string &text)
{
    std::istringstream words(text);
    std::string idWord;
    std::string dataWord;
    ReadEvent event;
    words >> idWord >> event.id >> dataWord >> event.callId >> event.count >> event.target;
    const bool isGood = idWord == "id:" && dataWord == "data:" && !event.target.empty();
    return isGood ? std::optional(event) : std::nullopt;
}

} // namespace

std::uint32_t eventsOf(const std::string &callId)
{
    return fewestEvents + static_cast<std::uint32_t>(hash64(callId) % eventSpread);
}

std::string eventOf(const std::string &callId, std::uint32_t number, const std::string &target)
{
    return "id: " + std::to_string(number) + "\ndata: " + callId + " " + std::to_string(number) + "/"
        + std::to_string(eventsOf(callId)) + " " + target + "\n\n";
}

std::uint32_t wholeEventsIn(const std::string &body)
{
    std::uint32_t count = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", end + 2)) {
        count += 1;
    }
    return count;
}

std::set<std::string> targetsIn(const std::string &body)
{
    std::set<std::string> targets;
    std::size_t at = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", at)) {
        if (const std::optional<ReadEvent> event = readEvent(body.substr(at, end - at))) {
            targets.insert(event->target);
        }
        at = end + 2;
    }
    return targets;
}

std::optional<std::string> streamFault(const SoakCall &call, const std::string &body, bool isWhole)
{
    const std::string &streamId = streamIdOf(call);
    std::uint32_t last = call.lastEvent;
    std::string first;
    std::size_t at = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", at)) {
        const std::optional<ReadEvent> event = readEvent(body.substr(at, end - at));
        at = end + 2;
        if (!event || event->callId != streamId) {
            return "an event is not the call's own after event " + std::to_string(last);
        }
        if (event->id != last + 1) {
            return "event " + std::to_string(event->id) + " follows event " + std::to_string(last);
        }
        last = event->id;
        first = first.empty() ? event->target : first;
        if (call.kind == CallKind::Note && event->target != first) {
            return "events of " + first + " and of " + event->target + " are joined";
        }
    }
    if (isWhole && (last != eventsOf(streamId) || at != body.size())) {
        return "it ends as whole after event " + std::to_string(last) + " of " + std::to_string(eventsOf(streamId));
    }
    return std::nullopt;
}

} // namespace Sequoiausher::Lab
