#pragma once

// Bytes that wait to be sent. Long ones that several connections may send, or one may send again, are shared and not
// copied.
//
//     OutputQueue queue;
//     queue.append("POST / HTTP/1.1\r\n\r\n");
//     queue.append(body);                                   // std::shared_ptr<const std::string>
//     while (!queue.empty()) { queue.consume(sendSome(queue.front())); }

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** See above. Not thread-safe. */
class OutputQueue
{
public:
    /** Appends a copy of the bytes. */
    void append(std::string_view bytes);
    /** Appends the bytes, which must not be null, without copying them. */
    void append(std::shared_ptr<const std::string> bytes);
    /** Returns the first bytes to send, valid until the next change; empty if there are none. */
    std::string_view front() const;
    /** Removes bytes from the front. @param count at most front().size(). */
    void consume(std::size_t count);
    void clear();

    bool empty() const;
    /** The bytes that wait. */
    std::size_t size() const;
    /** Those of them that are not shared. */
    std::size_t ownBytes() const;

private:
    struct Segment
    {
        std::string own;
        /** Null for own bytes. */
        std::shared_ptr<const std::string> shared;
        std::size_t consumed = 0;

        std::string_view rest() const;
    };

    std::deque<Segment> segments;
    std::size_t total = 0;
    std::size_t own = 0;
};

} // namespace Sequoiausher
