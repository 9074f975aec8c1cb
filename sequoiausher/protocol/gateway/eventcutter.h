#pragma once

// Cuts a stream of server-sent events into whole events without changing a byte. Only whole events may reach a caller:
// after a break the stream goes on at another target with the next event, and half an event before it could not be
// taken back.
//
//     EventCutter cutter("12");               // the caller has events up to 12
//     std::string whole = cutter.feed(bytes);

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** Cuts one stream, over all targets that it comes from. */
class EventCutter
{
public:
    /** @param lastId the event after which the stream begins; empty for its start. */
    explicit EventCutter(std::string lastId = {});

    /** The whole events that bytes complete. An event that was given out before is left out. */
    std::string feed(std::string_view bytes);
    /** What is left of an event that is not complete; dropped by begin(). */
    const std::string &rest() const;
    /** Whether part of an event has arrived, and not its end. Line ends alone are no part of one. */
    bool isInsideEvent() const;
    /** The id of the last event given out. */
    const std::string &lastId() const;
    std::uint64_t eventCount() const;
    /** The stream goes on from another target. */
    void begin();

private:
    bool isRepeated(std::string_view event);

    std::string pending;
    std::string last;
    std::optional<std::uint64_t> lastNumber;
    std::uint64_t events = 0;
    /** Where the search for the end of the first pending event goes on. */
    std::size_t searched = 0;
};

} // namespace Sequoiausher
