#pragma once

// Splits a stream of server-sent events into its events, in whatever parts the bytes arrive.
// Source: WHATWG HTML, section 9.2.6, "Interpreting an event stream"; "retry" fields are passed over.
//
//     SseReader reader;
//     for (const SseEvent &event : reader.push(bytes)) {
//         use(event.data);
//     }

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** One event. */
struct SseEvent
{
    /** The data lines, joined by line feeds. */
    std::string data;
    /** The event's type; empty where none was given. */
    std::string event;
    /** The last id seen in the stream up to this event. */
    std::string id;

    bool operator==(const SseEvent &) const = default;
};

/** The splitter of one stream. */
class SseReader
{
public:
    /** @param maximumEventBytes longest event, field names included, and longest line. */
    explicit SseReader(std::size_t maximumEventBytes = std::size_t{1} << 20U);

    /**
     * Takes the next bytes and returns the events that are complete by them; events without data are passed over.
     * Throws Error (step decode) where an event grows beyond the limit; the stream is of no use from then on.
     */
    std::vector<SseEvent> push(std::string_view bytes);

    /** Whether bytes of an event that is not complete wait: at the end of a stream, it broke off within one. */
    bool hasPartialEvent() const;

private:
    void takeLine(std::string_view line, std::vector<SseEvent> &complete);
    void takeField(std::string_view field, std::string_view value);
    void dispatch(std::vector<SseEvent> &complete);

    std::size_t limit;
    std::string line;
    SseEvent current;
    bool hasData = false;
    bool afterCarriageReturn = false;
    bool atStart = true;
    std::size_t eventBytes = 0;
};

} // namespace Sequoiausher
